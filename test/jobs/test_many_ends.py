"""Tests of takeovers with more ends on a worker than one report lists."""

import pytest

from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.model import DONE, JobSpec, Recurrence, Step
from cyclamenscale.jobs.polling import MAX_REPORTED_ENDS
from cyclamenscale.jobs.state import REPORT_WAIT_S
from test.jobs.test_coordinator import stored
from test.jobs.world import QUEUE, World

TASKS = 100
TINY = Step(TASKS, Resources(0.01, 0.01), estimate_ms=500.0)


def world_with_ends(jobs, *steps, workers=1, recurrence=None):
    """Return a world with a worker whose ends nobody has taken note of.

    The store goes down before the tasks end.
    """
    world = World(workers=workers, pools=("pool-a", "pool-b"))
    world.lead()
    world.run()
    for number in range(jobs):
        world.submit(f"j{number}", *(steps or (TINY,)), recurrence=recurrence)
    world.run(0.5)
    world.store.mode = "down"
    world.finish("j")
    world.run(0.1)
    return world


@pytest.mark.parametrize("jobs", [6, 11, 21])
def test_tasks_whose_ends_come_with_later_reports_do_not_start_again(jobs):
    """Guards against done tasks that a new leader starts again.

    Its first report lists 500 ends; six jobs have 600, eleven more than two
    reports hold.
    """
    world = world_with_ends(jobs)
    assert jobs * TASKS > MAX_REPORTED_ENDS
    world.store.mode = "up"
    world.take_over("e2")
    world.run(5.0)
    assert not world.violations
    for number in range(jobs):
        assert stored(world, f"j{number}").state == DONE


def test_no_task_starts_while_the_store_keeps_ends_from_being_read():
    """Guards against done tasks that start again after the wait for leases.

    The store goes down again after the first report, so that its ends can't
    be acknowledged and the next ones not be read.
    """
    world = world_with_ends(6)
    world.store.mode = "up"
    world.take_over("e2")
    world.store.mode = "down"
    world.run(15.0)
    assert not world.running()
    world.store.mode = "up"
    world.run(2.0)
    assert not world.violations
    assert stored(world, "j5").state == DONE


def test_ends_of_a_moved_queue_are_read_before_its_tasks_start():
    """Guards against done tasks that start again in another pool."""
    world = world_with_ends(6)
    world.store.mode = "up"
    world.change_queues(QUEUE._replace(pool="pool-b"))
    world.take_over("e2")
    world.run(5.0)
    assert not world.violations
    assert stored(world, "j5").state == DONE


def test_ends_are_read_by_the_second_leader_if_the_first_is_replaced():
    """Guards against done tasks that start again after two takeovers."""
    world = world_with_ends(11)
    world.store.mode = "up"
    world.take_over("e2")
    world.run(0.1)
    world.take_over("e3")
    world.run(5.0)
    assert not world.violations
    assert stored(world, "j10").state == DONE


def test_ends_of_gangs_and_later_steps_are_read_first():
    """Guards against gangs and steps that start again or too early."""
    gang = TINY._replace(gang=True)
    after = TINY._replace(count=1, depends_on=(0,))
    world = world_with_ends(6, gang, after)
    world.store.mode = "up"
    world.take_over("e2")
    world.run(3.0)
    assert not world.violations
    tasks = {task for task, _, _ in world.running()}
    assert tasks == {f"j{number}.0.1.0" for number in range(6)}


def test_ends_of_occurrences_are_read_first():
    """Guards against occurrences of a recurring job that start again."""
    world = world_with_ends(6, recurrence=Recurrence(0, 1, 1))
    spec = world.coordinator.state.jobs["j0"].record.spec
    assert spec == JobSpec("x", (TINY,), Recurrence(0, 1, 1))
    world.store.mode = "up"
    world.take_over("e2")
    world.run(5.0)
    assert not world.violations
    assert stored(world, "j5").state == DONE


def test_a_cancelled_job_is_not_started_by_its_late_ends():
    """Guards against a cancelled job that is shown as running again."""
    world = world_with_ends(6)
    world.store.mode = "up"
    world.take_over("e2")
    world.coordinator.cancel_job("j5")
    world.run(5.0)
    assert not world.violations
    assert stored(world, "j5").state == "cancelled"


def test_the_wait_for_a_worker_that_becomes_silent_is_bounded():
    """Guards against jobs that never start after such a worker is lost."""
    world = world_with_ends(12, workers=2)
    world.store.mode = "up"
    world.take_over("e2")
    world.store.mode = "down"
    world.run(0.2)
    lost = world.workers.workers["pool-a-0"]
    assert world.coordinator.state.workers["pool-a-0"].ends_truncated
    lost.mode = "dark"
    world.store.mode = "up"
    world.run(REPORT_WAIT_S + 6.0)
    assert world.running()
    lost.ends.clear()
    assert not world.violations
