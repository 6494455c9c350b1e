"""Tests of jobs with rack preferences, checkpoints and recurrences."""

from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.job import Job
from cyclamenscale.jobs.keys import job_key
from cyclamenscale.jobs.model import (
    DONE,
    JobRecord,
    JobSpec,
    ProgressRecord,
    Recurrence,
    Step,
)
from cyclamenscale.util.codec import decode_record, encode_record
from test.jobs.world import QUEUE, World

NEED = Resources(16.0, 16.0)


def racks(world, task=""):
    """Return the racks on which tasks run, optionally of one job."""
    workers = world.workers.workers
    return {workers[w].entry.rack for _, _, w in world.running(task)}


def test_a_gang_that_is_faster_on_one_rack_gets_one():
    """Guards against a gang spread over racks although it fits one."""
    world = World(workers=6)
    world.lead()
    world.run()
    # A rack holds two workers of 64 processors each: eight such tasks.
    step = Step(6, NEED, gang=True, same_rack=True)
    world.submit("j1", step)
    world.run()
    assert len(world.running("j1")) == 6
    assert len(racks(world, "j1")) == 1


def test_a_gang_that_fits_no_rack_is_spread():
    """Guards against a gang that waits forever for a rack to fit it."""
    world = World(workers=6)
    world.lead()
    world.run()
    world.submit("j1", Step(12, NEED, gang=True, same_rack=True))
    world.run()
    assert len(world.running("j1")) == 12
    assert len(racks(world, "j1")) > 1


def test_tasks_go_to_the_rack_of_their_data_first():
    """Guards against tasks placed far from their data needlessly."""
    world = World(workers=6)
    world.lead()
    world.run()
    near = world.workers.workers["pool-a-4"].entry.rack
    world.submit("j1", Step(8, NEED, rack=near))
    world.run()
    assert racks(world, "j1") == {near}
    world.submit("j2", Step(2, NEED, rack=near))
    world.run()
    assert len(world.running("j2")) == 2


def test_a_task_starts_again_from_its_checkpoint():
    """Guards against repeated work although a checkpoint was saved."""
    world = World(workers=1)
    world.lead()
    world.run()
    world.submit("j1", Step(1, NEED, checkpoints=True))
    world.run()
    starts = []
    world.on_start = starts.append
    worker = world.workers.workers["pool-a-0"]
    worker.end(("j1.0.0.0", 1), "lapsed", "saved-7")
    world.run()
    assert [order.checkpoint for order in starts] == ["saved-7"]


def test_a_checkpoint_survives_a_change_of_coordinator():
    """Guards against checkpoints lost in a takeover."""
    world = World(workers=1)
    world.lead()
    world.run()
    world.submit("j1", Step(2, NEED, checkpoints=True))
    world.run()
    worker = world.workers.workers["pool-a-0"]
    worker.end(("j1.0.0.0", 1), "failed", "saved-7")
    world.run()
    starts = []
    world.on_start = starts.append
    world.take_over("e2")
    worker.end(("j1.0.0.0", max(n for _, n in worker.runs)), "lapsed")
    world.run(1.0)
    assert {order.checkpoint for order in starts} == {"saved-7"}
    assert not world.violations


def submit_recurring(world, first_in_s, interval_s, count):
    """Accept a recurring job; the first time is relative to now."""
    now_ms = int(world.clock() * 1000)
    recurrence = Recurrence(
        now_ms + int(first_in_s * 1000), int(interval_s * 1000), count
    )
    steps = (Step(1, NEED),)
    record = JobRecord("j1", QUEUE, 1, now_ms, JobSpec("x", steps, recurrence))
    world.steps["j1"] = steps
    revision = world.store.put(job_key("j1"), encode_record(record))
    world.coordinator.add_job(record, revision)
    return record


def test_occurrences_start_when_they_are_due():
    """Guards against an occurrence that starts early, or never."""
    world = World()
    world.lead()
    world.run()
    submit_recurring(world, 1.0, 2.0, 2)
    world.run(0.9)
    assert not world.running()
    world.run(0.3)
    assert [task for task, _, _ in world.running()] == ["j1.0.0.0"]
    world.run(2.0)
    # Occurrences may overlap.
    tasks = sorted(task for task, _, _ in world.running())
    assert tasks == ["j1.0.0.0", "j1.1.0.0"]
    world.finish("j1")
    world.run()
    item = world.store.items["cyclamen/progress/j1"]
    assert decode_record(item.value, ProgressRecord, "j1").state == DONE


def test_finished_occurrences_do_not_start_again_after_a_takeover():
    """Guards against an occurrence that a new coordinator opens twice."""
    world = World()
    world.lead()
    world.run()
    submit_recurring(world, 0.1, 0.5, 3)
    world.run(0.3)
    world.finish("j1.0")
    world.run(0.2)
    world.take_over("e2")
    world.run(4.5)
    tasks = sorted(task for task, _, _ in world.running())
    assert tasks == ["j1.1.0.0", "j1.2.0.0"]
    assert not world.violations


def test_an_occurrence_finished_before_an_earlier_one_stays_so():
    """Guards against progress stored as a count of finished occurrences.

    Occurrences overlap, and a later one may end first.
    """
    world = World()
    world.lead()
    world.run()
    record = submit_recurring(world, 0.1, 0.3, 3)
    world.run(0.7)
    world.finish("j1.1")
    world.run(0.3)
    world.take_over("e2")
    world.run(4.0)
    tasks = sorted(task for task, _, _ in world.running())
    assert tasks == ["j1.0.0.0", "j1.2.0.0"]
    assert not world.violations
    job = Job(record, QUEUE, 0.0)
    assert job.occurrence_count == 3


def test_an_occurrence_is_due_from_its_own_time():
    """Guards against recurring jobs ordered last because they seem late."""
    world = World()
    world.lead()
    world.run()
    submit_recurring(world, 60.0, 30.0, 2)
    world.run(60.2)
    job = world.coordinator.state.jobs["j1"]
    assert 0 < job.due_s - world.clock() <= job.objective_s


def test_a_running_occurrence_is_inherited_before_it_is_due_here():
    """Guards against a second run of a task that began by another clock.

    The wall clock of the first coordinator is ahead. The next one inherits
    a run of an occurrence that is not due by its own clock yet.
    """
    world = World()
    world.lead().state.wall = lambda: world.clock() + 2.0
    world.run()
    submit_recurring(world, 2.0, 10.0, 1)
    world.run()
    before = world.running()
    assert [task for task, _, _ in before] == ["j1.0.0.0"]
    world.take_over("e2")
    world.run(3.0)
    assert world.running() == before
    assert not world.violations
    world.finish("j1")
    world.run()
    item = world.store.items["cyclamen/progress/j1"]
    assert decode_record(item.value, ProgressRecord, "j1").state == DONE


def test_an_end_counts_before_its_occurrence_is_due_here():
    """Guards against a start after the task has ended done.

    The wall clock of the first coordinator is ahead. The run ends before
    the next one, by whose clock the occurrence is not due yet, polls its
    worker.
    """
    world = World()
    world.lead().state.wall = lambda: world.clock() + 2.0
    world.run()
    submit_recurring(world, 2.0, 10.0, 1)
    world.run()
    world.take_over("e2")
    world.finish("j1")
    world.run(3.0)
    assert not world.violations
    item = world.store.items["cyclamen/progress/j1"]
    assert decode_record(item.value, ProgressRecord, "j1").state == DONE


def test_a_finished_occurrence_does_not_open_for_an_old_run():
    """Guards against an occurrence that runs again after it has finished.

    A worker reports a run of it after the coordinator has recorded its end,
    as a speculative copy would.
    """
    world = World()
    world.lead()
    world.run()
    submit_recurring(world, 0.1, 1.0, 2)
    world.run(0.3)
    world.finish("j1.0")
    world.run(0.2)
    worker = next(iter(world.workers.workers.values()))
    worker.runs[("j1.0.0.0", 7)] = world.clock()
    worker.runs[("j1.5.0.0", 8)] = world.clock()
    worker.deadline_ms = worker.now_ms() + 60000
    world.run(0.2)
    assert not world.running()
    assert list(world.coordinator.state.jobs["j1"].occurrences) == []
