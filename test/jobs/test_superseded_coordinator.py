"""Tests of a coordinator whose term ended while it was paused or cut off."""

from concurrent.futures import Future

from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.model import Step
from cyclamenscale.jobs.state import SUPERSEDED_NOTICE_S
from cyclamenscale.jobs.worker import UNCONFIRMED
from test.jobs.test_coordinator_machine import JobsMachine
from test.jobs.world import World

SMALL = Step(2, Resources(2.0, 4.0), estimate_ms=500.0)

#: Time until a successor starts tasks that may run on a live worker which
#: it does not reach, and a margin.
SUCCESSOR_WAIT_S = 5.5

#: Time after which another entry can lead.
LEADER_LEASE_S = 1.5


def test_a_superseded_coordinator_starts_nothing_after_a_pause():
    """Guards against a task that runs twice after a coordinator's pause.

    A coordinator is paused for 4 s while another one takes over, which does
    not reach one worker. When it resumes within ``jobs.grace_s``, its first
    polls are refused for their lower fencing token. In the same pass it
    starts tasks on the worker that the new coordinator does not reach.
    """
    machine = JobsMachine()
    machine.begin()
    machine.submit("short")
    machine.take_over()
    machine.cut_from_new(pick=1)
    machine.wait(4.0)
    machine.act_as_before()
    assert machine.world.violations == []


def take_over_without(world, worker):
    """Begin a term whose coordinator does not reach one worker."""
    world.take_over("e2")
    remote = world.workers.workers[worker]
    remote.unreachable_by.add(world.coordinator.state.term.fence)


def test_responses_from_before_a_pause_confirm_nothing(monkeypatch):
    """Guards against a task that runs twice after a coordinator's pause.

    The workers have responded to the last polls before the pause. When the
    coordinator resumes, it reads these responses first, finds all workers
    fresh and makes its decisions before the next responses arrive.
    """
    world = World(workers=3)
    old = world.lead()
    world.run()
    unread = []
    poll = world.workers.poll

    def poll_without_reading(*args):
        response = Future()
        unread.append((response, poll(*args).result()))
        return response

    with monkeypatch.context() as patch:
        patch.setattr(world.workers, "poll", poll_without_reading)
        world.run(0.05)
    world.submit("j1", SMALL)
    take_over_without(world, "pool-a-0")
    world.run(SUCCESSOR_WAIT_S)
    assert len(world.running("j1")) == 2
    for response, report in unread:
        response.set_result(report)
    monkeypatch.setattr(world.workers, "poll", lambda *args: Future())
    old.run_once()
    assert world.violations == []


def test_an_unanswered_start_is_not_repeated_after_a_pause(monkeypatch):
    """Guards against a task that runs twice after a coordinator's pause.

    A start is unanswered before the pause. The coordinator would repeat it
    before it polls, on the worker that its successor does not reach.
    """
    world = World(workers=3)
    old = world.lead()
    world.run()
    with monkeypatch.context() as patch:
        patch.setattr(world.workers.workers["pool-a-0"], "mode", "dark")
        world.submit("j1", SMALL._replace(count=1))
        old.placement.run()
    (run,) = old.state.workers["pool-a-0"].runs.values()
    assert run.phase == UNCONFIRMED
    take_over_without(world, "pool-a-0")
    world.run(SUCCESSOR_WAIT_S)
    assert len(world.running("j1")) == 1
    old.run_once()
    assert world.violations == []


def test_one_worker_does_not_confirm_a_superseded_coordinator():
    """Guards against a task that runs twice while the network is divided.

    The coordinator reaches one worker and not the store; its successor
    reaches the others, so that no worker can tell the first one.
    """
    world = World(workers=3)
    old = world.lead()
    world.run()
    for name in ("pool-a-0", "pool-a-2"):
        worker = world.workers.workers[name]
        worker.unreachable_by.add(old.state.term.fence)
    world.submit("j1", SMALL)
    world.clock.advance(LEADER_LEASE_S)
    take_over_without(world, "pool-a-1")
    for _ in range(55):
        world.run(0.1)
        old.run_once()
    assert world.violations == []
    assert not old.state.superseded
    assert len(world.running("j1")) == 2


def test_starts_continue_after_a_pause_while_the_store_is_unavailable():
    """Guards against idle workers after a pause during an outage.

    No other entry can lead, so the first polls after the pause confirm the
    coordinator again.
    """
    world = World()
    world.lead()
    world.run()
    world.submit("j1", SMALL)
    world.store.mode = "down"
    world.lease.lose()
    world.clock.advance(SUPERSEDED_NOTICE_S + 0.5)
    world.run(0.1)
    assert len(world.running("j1")) == 2


def test_silent_workers_do_not_hold_up_starts_of_a_majority():
    """Guards against idle workers if some fail while the store is away."""
    world = World(workers=3)
    world.lead()
    world.run()
    world.store.mode = "down"
    world.lease.lose()
    world.workers.workers["pool-a-1"].mode = "dark"
    world.run(SUPERSEDED_NOTICE_S)
    world.submit("j1", SMALL)
    world.coordinator.state.jobs["j1"].needs_confirmed_lease = False
    world.run()
    assert len(world.running("j1")) == 2


def test_a_resumed_coordinator_renews_no_leases_of_a_superseded_term():
    """Guards against a second run beside one whose lease is renewed late.

    A coordinator is paused for 2.5 s while another one takes over, which
    does not reach a worker that is alive in the registry. The first polls
    after the pause renew the lease of its runs, before others are refused.
    """
    world = World(workers=3)
    old = world.lead()
    world.run()
    world.submit("j1", SMALL)
    world.run()
    assert world.running("j1.0.0.0")[0][2] == "pool-a-0"
    take_over_without(world, "pool-a-0")
    remote = world.workers.workers["pool-a-0"]
    for tenth in range(60):
        world.run(0.1)
        world.coordinator.register_worker(remote.entry)
        if tenth >= 25:
            old.run_once()
    assert world.violations == []
    assert len(world.running("j1")) == 2


def test_a_divided_coordinator_renews_no_leases():
    """Guards against a second run while the network is divided.

    The coordinator reaches one worker and not the store; its successor
    reaches the others, and starts the tasks of that worker elsewhere once
    their lease has expired.
    """
    world = World(workers=3)
    old = world.lead()
    world.run()
    world.submit("j1", SMALL)
    world.run()
    for name in ("pool-a-1", "pool-a-2"):
        worker = world.workers.workers[name]
        worker.unreachable_by.add(old.state.term.fence)
    world.run(LEADER_LEASE_S)
    take_over_without(world, "pool-a-0")
    for _ in range(60):
        world.run(0.1)
        old.run_once()
    assert world.violations == []
    assert not old.state.superseded
    assert len(world.running("j1")) == 2


def test_leases_are_renewed_through_an_outage_of_the_store():
    """Guards against runs that end because the store is unavailable.

    The coordinator is also paused for a moment, so that the first polls
    after it renew nothing.
    """
    world = World()
    world.lead()
    world.run()
    world.submit("j1", SMALL)
    world.run()
    before = world.running()
    world.store.mode = "down"
    world.lease.lose()
    world.run(1.0)
    world.clock.advance(SUPERSEDED_NOTICE_S + 0.5)
    world.run(2 * world.settings.jobs.grace_s)
    assert world.running() == before


def test_responses_after_the_term_stop_no_runs():
    """Guards against a resigned coordinator that stops inherited runs.

    It reads a report that lists a run of a job that it does not know, on a
    worker that its successor has not polled yet.
    """
    world = World(workers=1)
    coordinator = world.lead()
    world.run()
    worker = world.workers.workers["pool-a-0"]
    world.workers.hold_polls("pool-a-0")
    world.run(1.0)
    worker.runs[("unknown.0.0.0", 1)] = world.clock()
    coordinator.state.superseded = "the term has ended"
    world.workers.release_polls()
    assert worker.runs
