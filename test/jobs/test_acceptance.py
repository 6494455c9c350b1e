"""Tests of the creation of job records, on a virtual clock."""

from concurrent.futures import Future

import pytest

from cyclamenscale.errors import NotAcceptedNowError, UnknownOutcomeError
from cyclamenscale.jobs.acceptance import PROBE_INTERVAL_S, Acceptance
from cyclamenscale.util.clock import VirtualClock
from cyclamenscale.util.events import EventLog
from cyclamenscale.util.loop import LoopLoad
from test.jobs.world import FakeStore


class FakeLoop:
    """Timers on a virtual clock."""

    def __init__(self):
        """Initialise with no timers."""
        self.clock = VirtualClock(10.0)
        self.timers = []

    def call_later(self, delay_s, run):
        """Schedule a call."""
        self.timers.append((self.clock() + delay_s, run))

    def take_load(self):
        """Return the load of an idle loop."""
        return LoopLoad(0.0, 0.0)

    def advance(self, for_s, step_s=0.05):
        """Advance the clock in steps and run the due timers."""
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
    """An :class:`Acceptance` with a fake store."""

    def __init__(self):
        """Initialise with an available store."""
        self.loop = FakeLoop()
        self.store = FakeStore()
        events = EventLog("e1", -1, self.loop.clock)
        self.other_response_s = 0.0
        self.acceptance = Acceptance(
            self.loop,
            self.store,
            events,
            last_store_response_s=lambda: self.other_response_s,
        )

    def create(self, key, wait_s=2.0) -> Future:
        """Create a record."""
        end_s = self.loop.clock() + wait_s
        return self.acceptance.create(key, key.encode(), end_s)


def test_records_are_written_in_batches():
    """Guards against one transaction for each job."""
    bench = Bench()
    made = [bench.create(f"k{number}") for number in range(15)]
    bench.loop.advance(0.1)
    assert all(future.result(0).revision for future in made)
    assert bench.store.txn_count == 1


def test_an_existing_record_does_not_fail_its_batch():
    """Guards against a batch that fails because one job exists already."""
    bench = Bench()
    bench.store.put("k1", b"first")
    made = [bench.create(key) for key in ("k0", "k1", "k2")]
    bench.loop.advance(0.1)
    found = [future.result(0) for future in made]
    assert [bool(stored.revision) for stored in found] == [True, False, True]
    assert found[1].value == b"first"


def test_an_unavailable_store_leads_to_an_immediate_refusal():
    """Guards against callers that wait until their deadline in an outage."""
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


def test_the_store_is_probed_after_the_interval():
    """Guards against refusals after the store is available again."""
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


def test_a_lost_response_is_reported_as_unknown_not_as_refused():
    """Guards against "not accepted" for a write that is applied later."""
    bench = Bench()
    bench.store.mode = "late"
    made = bench.create("k0", wait_s=1.0)
    bench.loop.advance(2.0)
    with pytest.raises(UnknownOutcomeError):
        made.result(0)


def test_a_lost_response_is_resolved_by_the_same_write():
    """Guards against an unknown outcome for a job that is stored.

    The response to the write is lost; the same write is sent again.
    """
    bench = Bench()
    bench.store.mode = "lost"
    made = bench.create("k0")
    bench.loop.advance(0.05)
    bench.store.mode = "up"
    bench.loop.advance(0.5)
    assert made.result(0).value == b"k0"


def queue_behind_silent_store(bench, wait_s=2.0):
    """Fill the concurrency limit of a silent store; return a waiting write."""
    bench.store.mode = "silent"
    for key in ("k0", "k1"):
        bench.create(key)
        bench.loop.advance(0.0)
    waiting = bench.create("k2", wait_s)
    bench.loop.advance(0.1)
    assert not waiting.done()
    return waiting


def test_waiting_records_are_refused_once_the_store_fails():
    """Guards against writes sent to a store that has just failed."""
    bench = Bench()
    waiting = queue_behind_silent_store(bench)
    bench.store.expire()
    bench.loop.advance(0.0)
    with pytest.raises(NotAcceptedNowError):
        waiting.result(0)


def test_a_record_refused_while_waiting_is_never_sent():
    """Guards against a job that runs although its caller was refused."""
    bench = Bench()
    waiting = queue_behind_silent_store(bench, wait_s=0.5)
    bench.loop.advance(0.6)
    with pytest.raises(NotAcceptedNowError):
        waiting.result(0)
    bench.store.mode = "up"
    bench.store.expire()
    bench.loop.advance(1.0)
    assert "k2" not in bench.store.items


def test_a_caller_gets_a_response_at_its_deadline():
    """Guards against callers without a response when the store is silent."""
    bench = Bench()
    bench.store.mode = "silent"
    made = bench.create("k0", wait_s=0.7)
    bench.loop.advance(0.8)
    with pytest.raises(UnknownOutcomeError):
        made.result(0)


def test_a_store_that_loses_some_responses_counts_as_available():
    """Guards against refusals while the store serves most calls.

    Only some of the store's responses are lost.
    """
    bench = Bench()
    bench.store.mode = "lost"
    bench.create("k0")
    bench.loop.advance(0.05)
    bench.other_response_s = bench.loop.clock() + 0.01
    bench.store.mode = "up"
    bench.loop.advance(0.02)
    made = bench.create("k1")
    bench.loop.advance(0.05)
    assert made.result(0).revision
