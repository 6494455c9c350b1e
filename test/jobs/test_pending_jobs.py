"""Tests of the number of jobs that have not begun."""

import pytest

from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.job import TAKEOVER_RUN_GAP
from cyclamenscale.jobs.job_index import JobIndex
from cyclamenscale.jobs.ledger import START_DEFER_S
from cyclamenscale.jobs.model import RUNNING, Recurrence, Step
from test.jobs.test_coordinator import stored
from test.jobs.world import QUEUE, World

SMALL = Step(2, Resources(2.0, 4.0), estimate_ms=500.0)

STEPS = {
    "short": SMALL,
    "gang": SMALL._replace(gang=True),
    "long_running": SMALL._replace(long_running=True),
    "copies": SMALL._replace(allows_copies=True),
}


def count_pending(world):
    """Return the number of pending jobs that the store shows."""
    index = JobIndex()
    index.replace(list(world.store.items.values()), world.store.revision, 0.0)
    return index.count_pending(QUEUE.name)


def world_with_workers_in(mode):
    """Return a world whose workers answer as usual until a job starts."""
    world = World(workers=2)
    world.lead()
    world.run()
    for name, worker in world.workers.workers.items():
        world.workers.hold_polls(name)
        worker.mode = mode
    return world


@pytest.mark.parametrize("step", STEPS.values(), ids=STEPS)
@pytest.mark.parametrize("mode", ["dark", "late_starts"])
def test_a_job_whose_starts_got_no_answer_is_pending(mode, step):
    """Guards against a job that counts as begun once its start was sent."""
    world = world_with_workers_in(mode)
    world.submit("j1", step)
    world.run(5 * START_DEFER_S)
    assert not world.running()
    assert count_pending(world) == 1


@pytest.mark.parametrize("step", STEPS.values(), ids=STEPS)
def test_a_job_whose_starts_were_refused_is_pending(step):
    """Guards against the same for starts that every worker refuses."""
    world = World(workers=2)
    world.lead()
    world.run()
    for name in world.workers.workers:
        world.workers.refuse_starts(name, "room")
    world.submit("j1", step)
    world.run(3.0)
    assert count_pending(world) == 1
    for name in world.workers.workers:
        world.workers.refuse_starts(name, "")
    world.run(1.0)
    assert count_pending(world) == 0
    assert stored(world, "j1").state == RUNNING


@pytest.mark.parametrize("step", STEPS.values(), ids=STEPS)
def test_a_job_stays_pending_after_the_leases_of_its_starts(step):
    """Guards against a job that begins to count once its runs are dropped."""
    world = world_with_workers_in("dark")
    world.submit("j1", step)
    world.run(0.3)
    world.workers.release_polls()
    world.run(20.0)
    assert not world.running()
    assert count_pending(world) == 1


def test_a_job_stays_pending_through_a_takeover():
    """Guards against a new leader that takes a stored start for a run."""
    world = world_with_workers_in("dark")
    world.submit("j1", SMALL)
    world.run(0.3)
    world.take_over("e2")
    world.run(0.3)
    assert count_pending(world) == 1
    world.workers.release_polls()
    for worker in world.workers.workers.values():
        worker.mode = "up"
    world.run(6.0)
    assert count_pending(world) == 0
    assert not world.violations


def test_a_start_without_an_answer_that_was_carried_out_counts():
    """Guards against a job that stays pending while its tasks run."""
    world = world_with_workers_in("lost")
    world.submit("j1", SMALL)
    world.run(0.1)
    assert len(world.running()) == 2
    for worker in world.workers.workers.values():
        worker.mode = "up"
    world.workers.release_polls()
    world.run(0.5)
    assert count_pending(world) == 0
    assert stored(world, "j1").state == RUNNING


def test_a_run_that_is_first_seen_by_its_end_counts():
    """Guards against a pending job of which one task is done."""
    world = world_with_workers_in("lost")
    world.submit("j1", SMALL)
    world.run(0.1)
    world.finish("j1.0.0.0")
    for worker in world.workers.workers.values():
        worker.mode = "up"
    world.workers.release_polls()
    world.run(0.5)
    assert count_pending(world) == 0


def test_occurrences_begin_with_their_first_run():
    """Guards against a recurring job that counts as begun when it is due."""
    world = world_with_workers_in("dark")
    first_ms = int(world.clock() * 1000)
    world.submit("j1", SMALL, recurrence=Recurrence(first_ms, 500, 3))
    world.run(1.2)
    assert count_pending(world) == 1


@pytest.mark.parametrize("takeovers", [1, 2])
def test_run_numbers_rise_beyond_starts_that_were_not_stored(takeovers):
    """Guards against a number that an earlier term has used already.

    The store is down when a job starts, so that nothing is stored of it.
    """
    world = World(workers=2)
    world.lead()
    world.run()
    world.submit("j1", SMALL._replace(count=1))
    world.store.mode = "down"
    world.run(0.5)
    ((_, first, _),) = world.running("j1")
    world.store.mode = "up"
    for number in range(takeovers):
        world.finish("j1", "stopped")
        world.take_over(f"e{number + 2}")
        world.run(1.0)
        ((_, again, _),) = world.running("j1")
        assert again >= first + TAKEOVER_RUN_GAP
        first = again
    assert not world.violations
