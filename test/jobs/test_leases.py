"""Tests of the length of task leases across restarts and takeovers."""

import pytest

from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.model import Step
from cyclamenscale.jobs.worker import LEASE_EXPIRY_MARGIN_S, MIN_CLOCK_RATE
from test.jobs.test_coordinator import restart
from test.jobs.world import World

SMALL = Step(2, Resources(2.0, 4.0), estimate_ms=500.0)

#: Time after its election at which a coordinator takes the leases of a
#: worker that it does not reach for expired, in milliseconds.
LONGEST_LEASE_MS = 1000 * (3.0 / MIN_CLOCK_RATE + LEASE_EXPIRY_MARGIN_S)


def world_with_restart(workers):
    """Return a world in which a worker has restarted under its id.

    Its last incarnation was sent a start which had no response.
    """
    world = World(workers=workers)
    world.lead()
    world.run()
    worker = world.workers.workers["pool-a-0"]
    world.workers.hold_polls("pool-a-0")
    world.run(0.1)
    worker.mode = "lost"
    world.submit("j1", SMALL)
    world.run(0.05)
    assert worker.runs
    restart(world, worker)
    worker.mode = "up"
    world.workers.release_polls()
    world.run(1.0)
    assert len(world.running()) == SMALL.count
    return world, worker


def lease_ms(worker):
    """Return how long the lease of a worker's runs still holds."""
    return worker.deadline_ms - worker.now_ms()


@pytest.mark.parametrize("takeovers", [1, 2, 3])
def test_a_takeover_gives_runs_no_longer_leases(takeovers):
    """Guards against a lease that outlives the wait of the next leader.

    After a takeover a coordinator knows only the upper bound of the leases
    that an earlier one may have given.
    """
    world = World(workers=2)
    world.lead()
    world.run()
    world.submit("j1", SMALL)
    for number in range(takeovers):
        world.run(1.0)
        world.take_over(f"e{number + 2}")
    world.run(1.0)
    assert len(world.running()) == 2
    for worker in world.workers.workers.values():
        assert 0 < lease_ms(worker) < LONGEST_LEASE_MS


def test_a_restarted_worker_gets_no_longer_lease():
    """Guards against the same after a restart under the worker's id.

    A start without a response may have reached the next incarnation, whose
    lease may then have any length up to the platform's maximum.
    """
    _, worker = world_with_restart(1)
    assert 0 < lease_ms(worker) < LONGEST_LEASE_MS


def test_a_worker_cut_off_after_its_restart_is_waited_for():
    """Guards against two runs at once after a restart, a kill and a cut.

    A worker restarts under its id, the coordinator is killed and the worker
    is cut off; the next coordinator starts its tasks elsewhere once their
    leases have expired.
    """
    world, worker = world_with_restart(2)
    world.submit("j2", SMALL._replace(count=4))
    world.run()
    assert worker.runs
    world.take_over("e2")
    worker.unreachable_by.add(world.coordinator.state.term.fence)
    world.run(15.0)
    assert not world.violations
    assert len(world.running()) == 6
