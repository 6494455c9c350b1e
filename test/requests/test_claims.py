"""Tests of claims: state transitions and the committer."""

from threading import Event, Thread

import pytest

from cyclamenscale.errors import (
    StoreAnswerLostError,
    StoreUnavailableError,
)
from cyclamenscale.metrics import Metrics
from cyclamenscale.requests.claim_records import (
    ClaimRecord,
    ClaimUpdate,
    choose_group,
    store_key,
)
from cyclamenscale.requests.claims import ClaimResult, Claims, RecordedOutcome
from cyclamenscale.settings import (
    ClaimsSettings,
    EntrySettings,
    Settings,
    StoreSettings,
)
from cyclamenscale.standin.memory import MemoryStore
from cyclamenscale.standin.state import StoreState
from cyclamenscale.store.port import Delete, Put
from cyclamenscale.util.clock import VirtualClock
from cyclamenscale.util.codec import decode_record

OUTCOME = RecordedOutcome(201, [("X-Plan", "7")], b"plan 7")


class DelayingStore(MemoryStore):
    """A store that can delay a transaction beyond the loss of its response.

    The entry then tries again before :meth:`deliver` executes the delayed
    transaction.

    :ivar delay_next: whether to delay the next transaction.
    :ivar during_txn: called once, during the next transaction.
    """

    delay_next = False
    during_txn = None

    def __init__(self, *parts):
        super().__init__(*parts)
        self.delayed = []

    def txn(self, compares, writes):
        during_txn, self.during_txn = self.during_txn, None
        if during_txn:
            during_txn()
        if not self.delay_next:
            return super().txn(compares, writes)
        self.delay_next = False
        self.delayed.append((compares, writes))
        raise StoreAnswerLostError("txn", "no answer yet")

    def deliver(self):
        while self.delayed:
            MemoryStore(self.state).txn(*self.delayed.pop())


class Entry:
    """Claims of one entry over a shared store, committed by the test."""

    def __init__(self, state, clock, name="e1", **options):
        options = {"group_limit": 4, **options}
        self.settings = Settings(
            entry=EntrySettings(name=name),
            claims=ClaimsSettings(**options),
            store=StoreSettings(call_timeout_s=2.0),
        )
        self.store = DelayingStore(state, self.settings, clock.advance)
        self.metrics = Metrics(self.settings)
        self.claims = Claims(
            self.settings, self.store, self.metrics, clock, clock
        )

    def claim(self, key, digest="d", attempt="a1"):
        update = self.claims.submit("invoice", key, digest, attempt)
        for _ in range(4):
            if not update.result.done():
                self.claims.commit_once()
        return update.result.result(0)


@pytest.fixture
def clock():
    return VirtualClock(1000.0)


@pytest.fixture
def state(clock):
    return StoreState(clock)


@pytest.fixture
def entry(state, clock):
    return Entry(state, clock)


def stored(entry, key):
    found = entry.store.get(store_key("invoice", key))[1]
    return decode_record(found.value, ClaimRecord, key) if found else None


def test_a_key_is_new_once_then_pending_then_recorded(entry, state, clock):
    """Guards against a second run, and against losing the first outcome."""
    other = Entry(state, clock, "e2")
    assert entry.claim("k") == ClaimResult("new")
    assert other.claim("k", attempt="b1") == ClaimResult("pending")
    entry.claims.record("invoice", "k", "a1", OUTCOME)
    entry.claims.commit_once()
    assert other.claim("k", attempt="b2") == ("recorded", OUTCOME)
    assert other.claim("k", "other", "b3") == ClaimResult("mismatch")
    record = stored(entry, "k")
    assert (record.entry, record.class_name) == ("e1", "invoice")
    assert (record.state, record.digest) == ("done", "d")


def test_an_abandoned_key_can_be_claimed_again(entry, state, clock):
    """Guards against a key that stays claimed by a request that never ran."""
    entry.claim("k")
    entry.claims.abandon("invoice", "k", "a1")
    entry.claims.commit_once()
    other = Entry(state, clock, "e2")
    assert other.claim("k", attempt="b1") == ClaimResult("new")
    entry.claims.record("invoice", "k", "a1", OUTCOME)
    entry.claims.commit_once()
    assert stored(entry, "k").attempt_id == "b1"


def test_a_lost_answer_is_resolved_as_ones_own_claim(entry):
    """Guards against ``pending`` for the attempt that made the claim."""
    entry.store.lease_grant(1)
    entry.claim("first")
    entry.store.faults.set(lose_next=2)
    assert entry.claim("k") == ClaimResult("new")
    entry.store.faults.set(lose_next=2)
    entry.claims.record("invoice", "k", "a1", OUTCOME)
    for _ in range(3):
        entry.claims.commit_once()
    assert stored(entry, "k").outcome == OUTCOME
    assert not entry.claims.queue


def test_an_existing_key_does_not_hold_up_its_group(entry):
    """Guards against one used key failing all claims of its transaction."""
    entry.claim("used")
    updates = [
        entry.claims.submit("invoice", key, "d", f"x-{key}")
        for key in ("n1", "used", "n2", "n1")
    ]
    for _ in range(4):
        entry.claims.commit_once()
    states = [update.result.result(0).state for update in updates]
    assert states == ["new", "pending", "new", "pending"]


def test_a_store_that_is_down_refuses_new_keys_and_keeps_outcomes(entry):
    """Guards against unclaimed runs and lost outcomes in a store outage."""
    entry.claim("k")
    entry.store.faults.set(down=True)
    with pytest.raises(StoreUnavailableError):
        entry.claim("new")
    entry.claims.record("invoice", "k", "a1", OUTCOME)
    entry.claims.commit_once()
    assert entry.claim("k", attempt="a2") == ("recorded", OUTCOME)
    entry.store.faults.clear()
    entry.claims.commit_once()
    assert stored(entry, "k").state == "done"
    assert stored(entry, "new") is None


def test_a_claim_given_up_in_doubt_is_abandoned(entry, state, clock):
    """Guards against a key that stays claimed after its caller gave up."""
    entry.claim("first")
    for effect in (True, False):
        key = f"k-{effect}"
        update = entry.claims.submit("invoice", key, "d", "a1")
        entry.store.faults.set(lose_next=1)
        entry.claims.commit_once()
        if not effect:
            # As if the store had not received the transaction yet.
            entry.store.txn([], [Delete(store_key("invoice", key))])
        with pytest.raises(StoreAnswerLostError):
            entry.claims.give_up(update)
        for _ in range(2):
            entry.claims.commit_once()
        assert stored(entry, key).state == "abandoned"
        other = Entry(state, clock, "e2")
        assert other.claim(key, attempt="b1") == ClaimResult("new")


def test_an_outage_does_not_make_a_claim_in_doubt_certain(entry):
    """Guards against reporting a claim as not made that the store has."""
    entry.claim("first")
    update = entry.claims.submit("invoice", "k", "d", "a1")
    entry.store.faults.set(lose_next=1)
    entry.claims.commit_once()
    entry.store.faults.set(down=True)
    for _ in range(3):
        entry.claims.commit_once()
    assert not update.result.done()
    entry.store.faults.clear()
    entry.claims.commit_once()
    assert update.result.result(0) == ClaimResult("new")


def test_a_claim_stays_in_doubt_until_its_own_key_has_changed(entry):
    """Guards against a delayed claim that a later write has not fenced off."""
    entry.claim("used")
    update = entry.claims.submit("invoice", "k", "d", "a1")
    entry.store.delay_next = True
    entry.claims.commit_once()
    entry.claims.submit("invoice", "used", "d", "a2")
    entry.claims.commit_once()
    entry.store.faults.set(down=True)
    entry.claims.commit_once()
    assert not update.result.done()
    entry.store.faults.clear()
    entry.store.deliver()
    entry.claims.commit_once()
    assert update.result.result(0) == ClaimResult("new")


def test_a_claim_given_up_in_flight_is_abandoned(entry):
    """Guards against a stuck key when a caller gives up during a commit."""
    update = entry.claims.submit("invoice", "k", "d", "a1")

    def give_up():
        with pytest.raises(StoreAnswerLostError):
            entry.claims.give_up(update)

    entry.store.during_txn = give_up
    for _ in range(2):
        entry.claims.commit_once()
    assert stored(entry, "k").state == "abandoned"
    assert not entry.claims.open_claims


def test_a_claim_that_was_never_sent_is_certainly_not_made(entry):
    """Guards against a claim made after its caller got ``not_run``."""
    with pytest.raises(StoreUnavailableError):
        entry.claims.claim("invoice", "k", "d", "a1", 0.0)
    entry.claims.commit_once()
    assert stored(entry, "k") is None


def test_claims_share_a_lease_for_an_hour_and_outlive_retention(
    entry, state, clock
):
    """Guards against one lease per claim, and keys that expire too early."""
    entry.claim("k1")
    clock.advance(3599)
    entry.claim("k2")
    assert entry.store.call_counts()["lease_grant"] == 1
    clock.advance(86399)
    assert stored(entry, "k1") and stored(entry, "k2")
    entry.claim("k3")
    assert entry.store.call_counts()["lease_grant"] == 2
    clock.advance(3600)
    assert stored(entry, "k2") is None and stored(entry, "k3")


def test_a_lost_lease_is_replaced(entry):
    """Guards against claims that fail for an hour after a lease is lost."""
    entry.claim("k1")
    entry.store.faults.expire_leases()
    assert entry.claim("k2") == ClaimResult("new")
    entry.claims.record("invoice", "k1", "a1", OUTCOME)
    for _ in range(2):
        entry.claims.commit_once()
    assert stored(entry, "k1").outcome == OUTCOME


def test_a_large_outcome_is_stored_without_its_body(state, clock):
    """Guards against outcomes that exceed the store's value limit."""
    entry = Entry(state, clock, outcome_limit_bytes=100)
    entry.claim("k")
    entry.claims.record(
        "invoice", "k", "a1", OUTCOME._replace(body=b"x" * 101)
    )
    entry.claims.commit_once()
    result = Entry(state, clock, "e2").claim("k", attempt="b1")
    expected = RecordedOutcome(201, OUTCOME.headers, b"", False)
    assert result == ("recorded", expected)


def test_a_group_is_bounded_by_number_and_size():
    """Guards against transactions that the store refuses as too large."""
    record = ClaimRecord("a", "d", "claimed", "c", "e", 0.0)
    updates = [ClaimUpdate(f"k{n % 9}", record, 0, 0.0) for n in range(12)]
    assert [s.key for s in choose_group(updates, 4)] == [
        "k0",
        "k1",
        "k2",
        "k3",
    ]
    assert len(choose_group(updates, 60)) == 9
    size = len(updates[0].key) + len(updates[0].value)
    assert len(choose_group(updates, 60, size * 3)) == 3
    assert len(choose_group(updates, 60, 1)) == 1


def test_a_full_queue_refuses_claims_and_counts_them(entry):
    """Guards against unbounded memory use during a store outage."""
    entry.claims.queue.limit = 1
    entry.claims.submit("invoice", "k1", "d", "a1")
    with pytest.raises(StoreUnavailableError):
        entry.claims.submit("invoice", "k2", "d", "a2")
    assert entry.metrics.snapshot()["claims.refused"] == 1


def test_a_record_of_another_format_blocks_its_key_only(entry):
    """Guards against one undecodable record that stops the component."""
    entry.store.txn([], [Put(store_key("invoice", "k"), b"{}")])
    assert entry.claim("k") == ClaimResult("pending")
    assert entry.claim("other") == ClaimResult("new")


def test_a_repetition_waits_a_moment_for_the_outcome(entry, monkeypatch):
    """Guards against ``unknown`` between a response and its commit."""
    entry.claim("k")
    update = entry.claims.submit("invoice", "k", "d", "a2")
    entry.claims.commit_once()
    assert update.result.result(0) == ClaimResult("pending")
    waits = []

    def wait(wait_s):
        waits.append(wait_s)
        if len(waits) == 2:
            entry.claims.record("invoice", "k", "a1", OUTCOME)
            entry.claims.commit_once()

    monkeypatch.setattr("cyclamenscale.requests.claims.time.sleep", wait)
    until_s = entry.claims.clock() + 5.0
    found = entry.claims.await_outcome(update, until_s)
    assert found == ("recorded", OUTCOME)
    assert len(waits) == 2
    late = entry.claims.await_outcome(update, entry.claims.clock())
    assert late == ClaimResult("pending")


def test_the_component_serves_callers_and_stores_outcomes_at_stop(state):
    """Guards against outcomes that are lost in a graceful shutdown."""
    entry = Entry(state, VirtualClock(), writes_per_s=10000)
    stop = Event()
    thread = Thread(target=entry.claims.run, args=(stop,), daemon=True)
    thread.start()
    for number in range(10):
        result = entry.claims.claim("invoice", str(number), "d", "a", 10.0)
        assert result == ClaimResult("new")
    stop.set()
    thread.join(10.0)
    entry.claims.record("invoice", "1", "a", OUTCOME)
    entry.claims.run(stop)
    assert stored(entry, "1").state == "done"
