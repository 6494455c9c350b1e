"""Tests of the supervision tree and of its restart policy."""

from random import Random
from threading import Event

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cyclamenscale.errors import ComponentFailedError
from cyclamenscale.metrics import Metrics
from cyclamenscale.settings import Settings, SupervisorSettings
from cyclamenscale.supervisor import RestartPolicy, Supervisor
from cyclamenscale.util.clock import VirtualClock

WAIT_S = 30
QUICK = Settings(supervisor=SupervisorSettings(2, 60.0, 0.001, 0.002, 5.0))


class BrokenError(Exception):
    """Raised by the components of these tests."""


def make(name="root", settings=QUICK):
    """Return a supervisor with metrics of its own."""
    return Supervisor(settings, Metrics(settings), name, rng=Random(1))


@given(st.lists(st.floats(0, 100), max_size=30))
def test_policy_escalates_exactly_above_the_limit(gaps_s):
    """Guards against a wrong count of the failures in the window."""
    clock = VirtualClock()
    policy = RestartPolicy(Settings(), clock, Random(1))
    limits = Settings().supervisor
    times = []
    for gap_s in gaps_s:
        clock.advance(gap_s)
        times.append(clock())
        recent = [t for t in times if t > clock() - limits.window_s]
        decision = policy.record_failure()
        assert (decision.delay_s is None) == (len(recent) > limits.restarts)
        if decision.delay_s is not None:
            longest = min(
                limits.backoff_max_s,
                limits.backoff_first_s * 2 ** (len(recent) - 1),
            )
            assert longest / 2 <= decision.delay_s <= longest


def test_policy_is_stable_again_after_the_window():
    """Guards against failures that are never forgotten."""
    clock = VirtualClock()
    policy = RestartPolicy(Settings(), clock, Random(1))
    policy.record_failure()
    assert not policy.stable
    clock.advance(Settings().supervisor.window_s)
    assert policy.stable


def test_a_failed_component_runs_again_and_others_go_on():
    """Guards against a failure that ends this or another component."""
    root, runs, again, other = make(), [], Event(), []

    def flaky(stop):
        runs.append(1)
        if len(runs) < 3:
            raise BrokenError
        again.set()
        stop.wait()

    def steady(stop):
        other.append(1)
        stop.wait()

    root.add("flaky", flaky)
    root.add("steady", steady)
    root.start()
    assert again.wait(WAIT_S)
    assert root.states() == {"flaky": "unstable", "steady": "running"}
    assert root.stop(WAIT_S) == []
    assert root.wait(0)
    assert other == [1]
    assert root.metrics.snapshot()["supervisor.restarts"] == 2


def test_too_many_failures_end_the_root_with_the_cause():
    """Guards against an entry that runs on without a component."""
    root = make()

    def broken(stop):
        raise BrokenError

    root.add("broken", broken)
    root.start()
    with pytest.raises(ComponentFailedError) as caught:
        root.wait(WAIT_S)
    assert caught.value.restarts == 2
    assert isinstance(caught.value.__cause__, BrokenError)
    assert root.stop(WAIT_S) == []


def test_an_early_return_and_a_system_exit_are_failures():
    """Guards against a component that ends without being restarted."""
    for run in (lambda stop: None, lambda stop: exit(0)):
        root = make()
        root.add("early", run)
        root.start()
        with pytest.raises(ComponentFailedError):
            root.wait(WAIT_S)
        root.stop(WAIT_S)


def test_a_failed_child_restarts_as_a_whole_then_escalates():
    """Guards against a child that fails unnoticed or restarts in part."""
    root, child, starts = make(), make("child"), []

    def broken(stop):
        raise BrokenError

    def steady(stop):
        starts.append(1)
        stop.wait()

    child.add("steady", steady)
    child.add("broken", broken)
    root.add_child(child)
    root.start()
    with pytest.raises(ComponentFailedError) as caught:
        root.wait(WAIT_S)
    assert caught.value.component == "root/child"
    assert isinstance(caught.value.__cause__, ComponentFailedError)
    assert len(starts) == 1 + QUICK.supervisor.restarts
    assert root.stop(WAIT_S) == []


def test_stop_goes_in_reverse_order_through_children():
    """Guards against a component that outlives its dependencies."""
    root, child, order = make(), make("child"), []
    ready = [Event(), Event(), Event()]

    def component(number):
        def run(stop):
            ready[number].set()
            stop.wait()
            order.append(number)

        return run

    root.add("first", component(0))
    child.add("second", component(1))
    child.add("third", component(2))
    root.add_child(child)
    root.start()
    assert all(each.wait(WAIT_S) for each in ready)
    assert root.stop(WAIT_S) == []
    assert order == [2, 1, 0]


def test_a_component_that_ignores_its_stop_is_reported_not_doubled():
    """Guards against a stop that hangs, and a component that runs twice."""
    root, release, running = make(), Event(), Event()

    def stubborn(stop):
        running.set()
        release.wait()

    root.add("stubborn", stubborn)
    root.start()
    assert running.wait(WAIT_S)
    assert root.stop(0) == ["stubborn"]
    with pytest.raises(ComponentFailedError):
        root.start()
    release.set()
    assert root.stop(WAIT_S) == []


def test_a_component_added_later_starts_at_once():
    """Guards against a component that is added late and never starts."""
    root, ran = make(), Event()
    root.start()
    root.add("late", lambda stop: (ran.set(), stop.wait()))
    assert ran.wait(WAIT_S)
    assert root.stop(WAIT_S) == []
