"""Tests of calls that reach a later incarnation of their worker.

A worker that starts again under its id has another clock and knows nothing
of before, and calls can't name the incarnation that they are meant for.
"""

import pytest

from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.model import Step
from cyclamenscale.jobs.ports import OrderResponse
from cyclamenscale.jobs.state import INHERITED_WITHIN_S
from cyclamenscale.jobs.worker import MAX_CALL_DELAY_S
from test.jobs.test_coordinator import restart
from test.jobs.world import LONGEST_LEASE_MS, World

#: Two tasks of which one worker has room for one.
SMALL = Step(2, Resources(40.0, 4.0), estimate_ms=500.0)
ONE = SMALL._replace(count=1)

STEPS = {
    "short": SMALL,
    "gang": SMALL._replace(gang=True),
    "long_running": SMALL._replace(long_running=True),
}

#: Clock of the next incarnation relative to that of the earlier one.
CLOCK_STEPS_S = (-3000.0, -0.3, 0.3, 3000.0)

#: Time in which the longest lease has expired on a clock that is 3% slow.
LONGEST_LEASE_S = 10.7


def world_with(workers=3, settled_s=2.0):
    """Return a world whose coordinator has polled its workers."""
    world = World(workers=workers)
    for worker in world.workers.workers.values():
        worker.started_s -= 5000.0
    world.lead()
    world.run(settled_s)
    return world, world.workers.workers["pool-a-0"]


def restart_with_clock(world, worker, clock_step_s=0.0):
    """Restart a worker under its id, with another clock."""
    before_s = worker.started_s
    restart(world, worker)
    worker.started_s = before_s - clock_step_s
    worker.entry = worker.entry._replace(started_ms=int(world.clock() * 1000))


def give_foreign_lease(world, worker):
    """Carry out a poll whose deadline was a time of another clock."""
    assert world.settings.jobs.max_hold_ms == LONGEST_LEASE_MS
    worker.extend_lease(worker.now_ms() + 1000 * LONGEST_LEASE_MS)


def check(world, step):
    """Check that each task of a job ran once at a time and runs again.

    The doubles leave a gang running of which a member has ended.
    """
    assert not world.violations
    if not step.gang:
        assert len(world.running("j1")) == step.count


def world_of_restarted_workers():
    """Return a world whose workers hold leases meant for earlier ones."""
    world, _ = world_with()
    for worker in world.workers.workers.values():
        restart_with_clock(world, worker)
    world.run(0.5)
    for worker in world.workers.workers.values():
        give_foreign_lease(world, worker)
    return world


@pytest.mark.parametrize("clock_step_s", CLOCK_STEPS_S)
@pytest.mark.parametrize("step", STEPS.values(), ids=STEPS)
def test_a_start_that_the_next_incarnation_accepted_is_kept(
    step, clock_step_s
):
    """Guards against a second run beside one on a restarted worker.

    The response to the start comes from the next incarnation, before a
    report tells of the restart.
    """
    world, worker = world_with()
    for name in world.workers.workers:
        world.workers.hold_polls(name)
    world.run(0.05)
    restart_with_clock(world, worker, clock_step_s)
    world.submit("j1", step)
    world.run(0.1)
    world.workers.release_polls()
    world.run(3.0)
    check(world, step)


@pytest.mark.parametrize("clock_step_s", CLOCK_STEPS_S)
def test_a_stop_that_the_next_incarnation_accepted_ends_no_run(clock_step_s):
    """Guards against the same for a run that is being stopped.

    Its start had no response and is carried out late.
    """
    world, worker = world_with()
    world.workers.hold_polls("pool-a-0")
    world.run(0.05)
    worker.mode = "late_starts"
    world.submit("j1", ONE)
    world.run(0.05)
    worker.mode = "up"
    restart_with_clock(world, worker, clock_step_s)
    world.coordinator.cancel_job("j1")
    world.run(0.1)
    world.workers.release_polls()
    world.run(0.5)
    world.workers.release()
    world.run(0.5)
    assert not world.violations
    assert not world.running("j1")


@pytest.mark.parametrize("late_s", [0.5, 5.0, MAX_CALL_DELAY_S - 3.0])
def test_a_late_start_does_not_repeat_a_task_on_the_next_incarnation(late_s):
    """Guards against a done task that a late start runs once more.

    The first copy of the start had no response, the second was carried out
    and the task is done. The worker restarts, and has forgotten that.
    """
    world, worker = world_with(1)
    worker.mode = "late_starts"
    world.submit("j1", ONE)
    world.run(0.05)
    worker.mode = "up"
    world.run(0.5)
    world.finish("j1")
    world.run(0.5)
    assert world.acknowledged_done
    restart_with_clock(world, worker)
    world.run(late_s)
    world.workers.release()
    world.run(0.5)
    assert not world.violations
    assert not world.running("j1")
    world.submit("j2", ONE)
    world.run(1.0)
    assert len(world.running("j2")) == 1


@pytest.mark.parametrize("step", STEPS.values(), ids=STEPS)
def test_a_lease_from_a_call_to_the_earlier_incarnation_is_waited_for(step):
    """Guards against a second run beside one whose lease is longer.

    A poll meant for the earlier incarnation has given the next one the
    longest lease; the worker is cut off soon after.
    """
    world = world_of_restarted_workers()
    world.submit("j1", step)
    world.run(0.5)
    worker = world.workers.workers[world.running("j1")[0][2]]
    worker.mode = "dark"
    world.run(3 * LONGEST_LEASE_S)
    check(world, step)


@pytest.mark.parametrize("reached", [False, True])
@pytest.mark.parametrize("step", STEPS.values(), ids=STEPS)
def test_a_takeover_waits_for_leases_of_workers_that_restarted(step, reached):
    """Guards against the same after a takeover.

    The new coordinator knows of the worker only when it has started.

    :param reached: whether it polls the worker before that is cut off.
    """
    world = world_of_restarted_workers()
    world.submit("j1", step)
    world.run(0.5)
    worker = world.workers.workers[world.running("j1")[0][2]]
    world.take_over("e2")
    if reached:
        world.run(0.3)
    worker.mode = "dark"
    world.run(3 * LONGEST_LEASE_S)
    check(world, step)


def test_a_restart_without_a_report_is_seen_by_the_clock():
    """Guards against the same if the worker is cut off before it reports.

    The response to a start shows a clock that is far behind.
    """
    world, worker = world_with()
    world.workers.hold_polls("pool-a-0")
    world.run(0.05)
    restart_with_clock(world, worker, -3000.0)
    world.submit("j1", SMALL)
    world.run(0.05)
    assert worker.runs
    give_foreign_lease(world, worker)
    worker.mode = "dark"
    world.workers.release_polls()
    world.run(8.0)
    assert not world.violations
    world.run(3 * LONGEST_LEASE_S)
    assert not world.violations
    assert len(world.running("j1")) == 2


def test_a_response_with_another_clock_shortens_no_wait():
    """Guards against a lease that is waited for too shortly."""
    world, worker = world_with()
    record = world.coordinator.state.workers["pool-a-0"]
    later_s = world.clock() + 2 * LONGEST_LEASE_S
    record.foreign_lease_until_s = later_s
    response = OrderResponse(True, "", worker.now_ms() - 3000000)
    assert not world.coordinator.orders.record_clock(record, response)
    assert record.foreign_lease_until_s == later_s


def takeover_beside_a_silent_worker(age_s, gone=False):
    """Return the time after a takeover until a job's tasks start again.

    One worker has been cut off; the job has nothing running.

    :param age_s: age of that worker at the takeover.
    :param gone: whether it has left the registry and the list of machines.
    """
    world, worker = world_with()
    worker.entry = worker.entry._replace(
        started_ms=int((world.clock() - age_s) * 1000)
    )
    world.submit("j1", ONE)
    world.run(0.5)
    world.finish("j1", "lapsed")
    worker.mode = "dark"
    world.take_over("e2")
    if gone:
        machines = world.machines.machines
        machines["m-pool-a-0"] = machines["m-pool-a-0"]._replace(
            worker="", up=False, state="down"
        )
    for tenth in range(200):
        world.run(0.1)
        if gone and tenth == 20:
            world.coordinator.unregister_worker("pool-a-0")
        if world.running("j1"):
            return tenth / 10
    return None


def test_workers_that_have_not_restarted_are_waited_for_as_before():
    """Guards against jobs that wait for the longest lease in vain."""
    assert 2.0 < takeover_beside_a_silent_worker(60.0) < 5.5
    assert 10.0 < takeover_beside_a_silent_worker(1.0) < 13.0


def test_a_worker_that_is_gone_is_not_waited_for():
    """Guards against jobs that wait for the lease of a lost worker."""
    waited_s = takeover_beside_a_silent_worker(1.0, gone=True)
    assert waited_s < 6.0 + INHERITED_WITHIN_S


def test_acknowledged_ends_are_named_until_they_are_forgotten():
    """Guards against ends that a poll meant for another incarnation drops.

    Each incarnation numbers its ends from 1.
    """
    world, worker = world_with(1)
    requests = []
    poll = world.workers.poll

    def record(record, request, new_connection=False):
        requests.append(request.acknowledged_end)
        return poll(record, request, new_connection)

    world.workers.poll = record
    world.submit("j1", SMALL._replace(need=Resources(2.0, 4.0)))
    world.run()
    world.finish("j1")
    world.run(1.0)
    assert max(requests) == 2
    assert requests[-3:] == [0, 0, 0]
    worker.mode = "lost"
    world.submit("j2", ONE)
    world.run(0.1)
    worker.mode = "up"
    world.run(0.5)
    world.finish("j2")
    world.run(0.1)
    worker.mode = "dark"
    world.run(0.1)
    before = len(requests)
    worker.mode = "up"
    world.run(1.0)
    assert not worker.ends
    assert requests[-1] == 0 or 0 in requests[before:]
    assert not world.violations
