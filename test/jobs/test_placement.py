"""Tests of the order of jobs and of the reservation of workers."""

from unittest.mock import patch

import pytest

from cyclamenscale.errors import FieldError
from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.job import Job
from cyclamenscale.jobs.job_orders import due_first, find_order, small_first
from cyclamenscale.jobs.model import Advice, JobRecord, JobSpec, Step
from cyclamenscale.jobs.placement import MAX_CONSECUTIVE_FAILURES
from cyclamenscale.jobs.worker import Worker
from test.jobs.world import QUEUE, World, settled

SMALL = Step(2, Resources(2.0, 1.0), 500.0)
LARGE = Step(24, Resources(8.0, 1.0), 500.0)


def job(name, *steps, accepted_s=100.0, queue=QUEUE):
    """Return a job that was accepted at a given time."""
    spec = JobSpec("x", steps)
    return Job(JobRecord(name, queue, 1, 0, spec), queue, accepted_s)


def names(jobs, order, now_s):
    """Return the ids of the jobs as sorted by an order."""
    jobs = sorted(jobs, key=lambda found: order(found, now_s))
    return [found.record.id for found in jobs]


def test_many_small_jobs_pass_a_large_one_in_a_backlog():
    """Guards against one large job that makes many small ones late.

    A backlog of jobs whose work differs by a factor of fifty.
    """
    jobs = [job("large", LARGE), job("small", SMALL, accepted_s=100.5)]
    assert names(jobs, due_first, 100.6) == ["large", "small"]
    assert names(jobs, small_first, 100.6) == ["small", "large"]


def test_a_large_job_does_not_starve():
    """Guards against large jobs that starve.

    A steady stream of small jobs.
    """
    jobs = [job("large", LARGE), job("small", SMALL, accepted_s=104.0)]
    assert names(jobs, small_first, 100.1) == ["large", "small"]


@pytest.mark.parametrize("order", [due_first, small_first])
def test_a_late_job_does_not_delay_others(order):
    """Guards against a backlog in which every job becomes late."""
    jobs = [job("late", SMALL, accepted_s=90.0), job("fresh", SMALL)]
    assert names(jobs, order, 100.0) == ["fresh", "late"]


@pytest.mark.parametrize("order", [due_first, small_first])
def test_long_running_tasks_and_priority_come_first(order):
    """Guards against long-running tasks that wait behind short ones."""
    later = QUEUE._replace(priority=1)
    jobs = [
        job("second", SMALL, queue=later),
        job("first", SMALL),
        job("long", SMALL._replace(long_running=True)),
    ]
    assert names(jobs, order, 100.0) == ["long", "first", "second"]


def test_an_unknown_order_is_refused():
    """Guards against a setting that names an unknown policy."""
    with pytest.raises(FieldError):
        find_order("weights")


def test_a_worker_is_reserved_for_a_long_running_task():
    """Guards against a long-running task that small tasks keep from starting.

    Small tasks fill the worker again as soon as one of them ends.
    """
    world = World(workers=1)
    world.lead()
    world.run()
    for number in range(8):
        world.submit(f"s{number}", Step(1, Resources(8.0, 1.0)))
    world.run()
    world.submit("long", Step(1, Resources(16.0, 1.0), long_running=True))
    world.submit("next", Step(4, Resources(8.0, 1.0)))
    world.finish("s0")
    world.run()
    assert not world.running("next")
    world.finish("s1")
    world.run()
    assert world.running("long")


def test_a_worker_on_probation_with_a_long_running_task_is_tried():
    """Guards against a pool that stops for good after some failed jobs.

    A long-running task never ends, so that a worker on probation that has
    one would never be without runs.
    """
    world = World(workers=2)
    world.lead()
    world.run()
    full = Step(1, Resources(64.0, 1.0), long_running=True)
    world.submit("full", full)
    world.run()
    world.submit("long", Step(1, Resources(1.0, 1.0), long_running=True))
    world.run()
    for job in ("f0", "f1", "f2"):
        world.submit(job, Step(1, Resources(1.0, 1.0)))
    world.run()
    for job in ("f0", "f1", "f2") * world.attempts:
        world.finish(job, "failed")
        world.run()
    world.submit("good", Step(2, Resources(1.0, 1.0)))
    world.run()
    assert len(world.running("good")) == 1
    world.finish("good")
    world.run()
    assert len(world.running("good")) == 1


def short_jobs_beside_a_long_one(world: World, step: Step, jobs: int = 8):
    """Submit a long-running step, then short jobs; return how many began."""
    world.submit("long", step._replace(long_running=True))
    world.run()
    for number in range(jobs):
        world.submit(f"s{number}", SMALL)
    world.run(1.0)
    return sum(bool(world.running(f"s{number}.")) for number in range(jobs))


@pytest.mark.parametrize(
    "hopeless",
    [
        Step(5, Resources(1.0, 1.0), label="none"),
        Step(5, Resources(65.0, 1.0)),
        Step(5, Resources(1.0, 1000.0)),
        Step(5, Resources(1.0, 1.0, 1)),
    ],
    ids=["label", "processors", "memory", "accelerators"],
)
def test_a_long_running_task_that_fits_nowhere_reserves_no_worker(hopeless):
    """Guards against a pool that stands idle for a task that can't run."""
    world = World()
    world.lead()
    world.run()
    assert short_jobs_beside_a_long_one(world, hopeless) == 8


def test_workers_full_of_long_running_tasks_are_not_reserved():
    """Guards against room for short tasks that is kept for a later one."""
    world = World()
    world.lead()
    world.run()
    filling = Step(4, Resources(40.0, 1.0), long_running=True)
    world.submit("first", filling)
    world.run()
    assert short_jobs_beside_a_long_one(world, filling) == 8


def test_half_of_a_pool_is_reserved_at_most():
    """Guards against a pool that waits for short tasks that run for long."""
    world = World()
    world.lead()
    world.run()
    world.submit("busy", Step(4, Resources(1.0, 1.0), max_per_worker=1))
    world.run()
    assert len({worker for _, _, worker in world.running("busy")}) == 4
    step = Step(5, Resources(64.0, 1.0))
    assert short_jobs_beside_a_long_one(world, step) == 8


def test_a_task_that_no_worker_may_run_reserves_no_worker():
    """Guards against a pool that stands idle for a step without tickets."""
    world = World(workers=1)
    world.workers.advise = lambda step, workers, expected_ms: settled({})
    advised = QUEUE._replace(advice=Advice(1.0, 1.0, 3000.0))
    world.lead()
    world.run()
    world.manifest.queues["replan"] = advised
    world.submit(
        "long", Step(1, Resources(1.0, 1.0), long_running=True), queue=advised
    )
    world.run()
    world.manifest.queues["other"] = QUEUE._replace(name="other")
    world.submit("next", SMALL, queue=QUEUE._replace(name="other"))
    world.run()
    assert world.running("next")


def test_a_gang_that_is_too_large_costs_little():
    """Guards against a leader that is busy with gangs that can't be done.

    Its loop was so busy that it lost its lease.
    """
    world = World(workers=62)
    world.lead()
    world.run()
    world.submit("gang", Step(10_000, Resources(0.5, 0.01), gang=True))
    counted = []
    fits_beside = Worker.fits_beside
    with patch.object(
        Worker,
        "fits_beside",
        lambda *args: counted.append(args) or fits_beside(*args),
    ):
        world.coordinator.placement.run()
    assert len(counted) <= 62
    assert not world.running("gang")


@pytest.mark.parametrize(
    ("step", "starts"),
    [
        (Step(8, Resources(16.0, 1.0), gang=True), True),
        (Step(9, Resources(16.0, 1.0), gang=True), False),
        (Step(4, Resources(1.0, 200.0), gang=True), False),
        (Step(2, Resources(1.0, 200.0), gang=True), True),
        (Step(3, Resources(1.0, 1.0), gang=True, max_per_worker=1), False),
        (Step(2, Resources(1.0, 1.0), gang=True, max_per_worker=1), True),
        (Step(1, Resources(1.0, 1.0, 1), gang=True), False),
    ],
)
def test_a_gang_starts_if_its_workers_have_room(step, starts):
    """Guards against a gang on workers that can't hold it, or none at all."""
    world = World(workers=2)
    world.lead()
    world.run()
    world.submit("gang", step)
    world.run()
    assert len(world.running("gang")) == (step.count if starts else 0)
    for worker in world.coordinator.state.workers.values():
        assert worker.fits_beside(worker.allocated, Resources(), False)


def put_on_probation(world: World, number: int) -> None:
    """Let the latest runs of the first workers have failed."""
    state = world.coordinator.state
    for name in sorted(state.workers)[:number]:
        state.workers[name].consecutive_failures = MAX_CONSECUTIVE_FAILURES


@pytest.mark.parametrize("failing", [3, 4])
def test_a_pool_whose_workers_are_on_probation_is_used_to_half(failing):
    """Guards against jobs that wait beside idle workers.

    Many jobs that always fail put sound workers on probation; each was then
    tested with one short task at a time.
    """
    world = World()
    world.lead()
    world.run()
    put_on_probation(world, failing)
    for number in range(100):
        world.submit(f"s{number}", Step(1, Resources(4.0, 1.0)))
    world.run(1.0)
    for worker in world.coordinator.state.workers.values():
        assert worker.allocated.processors >= 32.0


def test_two_failing_workers_of_four_are_tested_with_one_task():
    """Guards against many tasks for workers that fail all that they start."""
    world = World()
    world.lead()
    world.run()
    put_on_probation(world, 2)
    for number in range(100):
        world.submit(f"s{number}", Step(1, Resources(4.0, 1.0)))
    world.run(1.0)
    state = world.coordinator.state
    used = [
        state.workers[name].allocated.processors
        for name in sorted(state.workers)
    ]
    assert used == [4.0, 4.0, 64.0, 64.0]
