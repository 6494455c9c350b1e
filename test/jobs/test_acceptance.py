"""Tests of how jobs are accepted, on a virtual clock."""

from concurrent.futures import Future

import pytest

from cyclamenscale.errors import NotAcceptedNowError, UnknownOutcomeError
from cyclamenscale.jobs.acceptance import PROBE_INTERVAL_S, Acceptance
from cyclamenscale.util.clock import VirtualClock
from cyclamenscale.util.events import EventLog
from test.jobs.world import FakeStore


class FakeLoop:
    """Timers on a virtual clock."""

    def __init__(self):
        """Start without timers."""
        self.clock = VirtualClock(10.0)
        self.timers = []

    def call_later(self, delay_s, run):
        """Plan a call."""
        self.timers.append((self.clock() + delay_s, run))

    def advance(self, for_s, step_s=0.05):
        """Let time pass."""
        end_s = self.clock() + for_s
        while True:
            due = [t for t in self.timers if t[0] <= self.clock() + 1e-9]
            self.timers = [t for t in self.timers if t not in due]
            for _, run in due:
                run()
            if self.clock() >= end_s - 1e-9:
                return
            self.clock.advance(step_s)


class Bench:
    """An acceptance with its store."""

    def __init__(self):
        """Start with a store that is up."""
        self.loop = FakeLoop()
        self.store = FakeStore()
        events = EventLog("e1", -1, self.loop.clock)
        self.other_answer_s = 0.0
        self.acceptance = Acceptance(
            self.loop,
            self.store,
            events,
            last_store_response_s=lambda: self.other_answer_s,
        )

    def create(self, key, wait_s=2.0) -> Future:
        """Create a record."""
        end_s = self.loop.clock() + wait_s
        return self.acceptance.create(key, key.encode(), end_s)


def test_records_are_written_in_groups():
    """Guards against one write a job at the platform's price."""
    bench = Bench()
    made = [bench.create(f"k{number}") for number in range(15)]
    bench.loop.advance(0.1)
    assert all(future.result(0).revision for future in made)
    assert bench.store.txns == 1


def test_a_record_that_is_there_does_not_hold_up_the_others():
    """Guards against a group that fails because of one repeated job."""
    bench = Bench()
    bench.store.put("k1", b"first")
    made = [bench.create(key) for key in ("k0", "k1", "k2")]
    bench.loop.advance(0.1)
    found = [future.result(0) for future in made]
    assert [bool(stored.revision) for stored in found] == [True, False, True]
    assert found[1].value == b"first"


def test_a_store_that_is_away_refuses_at_once_and_truly():
    """Guards against callers held to their deadline in an outage."""
    bench = Bench()
    bench.store.mode = "down"
    first = bench.create("k0")
    bench.loop.advance(0.05)
    with pytest.raises(NotAcceptedNowError):
        first.result(0)
    second = bench.create("k1")
    assert second.done()
    with pytest.raises(NotAcceptedNowError):
        second.result(0)
    assert not bench.store.items


def test_the_store_is_tried_again_after_a_while():
    """Guards against an entry that refuses after the store's return."""
    bench = Bench()
    bench.store.mode = "down"
    bench.create("k0")
    bench.loop.advance(0.05)
    bench.store.mode = "up"
    bench.loop.advance(PROBE_INTERVAL_S + 0.05)
    probe = bench.create("k1")
    bench.loop.advance(0.05)
    assert probe.result(0).revision
    assert bench.create("k2") and not bench.acceptance.is_store_unavailable()


def test_a_lost_answer_is_told_as_unknown_never_as_refused():
    """Guards against "not accepted" for a record that is written late."""
    bench = Bench()
    bench.store.mode = "late"
    made = bench.create("k0", wait_s=1.0)
    bench.loop.advance(2.0)
    with pytest.raises(UnknownOutcomeError):
        made.result(0)


def test_a_lost_answer_is_resolved_by_the_same_write():
    """Guards against a stored job whose caller is told nothing."""
    bench = Bench()
    bench.store.mode = "lost"
    made = bench.create("k0")
    bench.loop.advance(0.05)
    bench.store.mode = "up"
    bench.loop.advance(0.5)
    assert made.result(0).value == b"k0"


def wait_behind_silence(bench, wait_s=2.0):
    """Send what may be in flight to a silent store; return one that waits."""
    bench.store.mode = "silent"
    for key in ("k0", "k1"):
        bench.create(key)
        bench.loop.advance(0.0)
    waiting = bench.create("k2", wait_s)
    bench.loop.advance(0.1)
    assert not waiting.done()
    return waiting


def test_records_that_wait_are_refused_once_the_store_is_away():
    """Guards against callers whose job is sent to a store that is away."""
    bench = Bench()
    waiting = wait_behind_silence(bench)
    bench.store.expire()
    bench.loop.advance(0.0)
    with pytest.raises(NotAcceptedNowError):
        waiting.result(0)


def test_a_record_that_was_refused_while_it_waited_is_never_sent():
    """Guards against a job that runs although its caller was refused."""
    bench = Bench()
    waiting = wait_behind_silence(bench, wait_s=0.5)
    bench.loop.advance(0.6)
    with pytest.raises(NotAcceptedNowError):
        waiting.result(0)
    bench.store.mode = "up"
    bench.store.expire()
    bench.loop.advance(1.0)
    assert "k2" not in bench.store.items


def test_a_caller_is_answered_when_its_time_is_over():
    """Guards against callers who hear nothing from a silent store."""
    bench = Bench()
    bench.store.mode = "silent"
    made = bench.create("k0", wait_s=0.7)
    bench.loop.advance(0.8)
    with pytest.raises(UnknownOutcomeError):
        made.result(0)


def test_a_store_that_loses_some_answers_is_not_away():
    """Guards against refusals while the store serves most calls.

    Pattern: a part of the store's answers is lost.
    """
    bench = Bench()
    bench.store.mode = "lost"
    bench.create("k0")
    bench.loop.advance(0.05)
    bench.other_answer_s = bench.loop.clock() + 0.01
    bench.store.mode = "up"
    bench.loop.advance(0.02)
    made = bench.create("k1")
    bench.loop.advance(0.05)
    assert made.result(0).revision
