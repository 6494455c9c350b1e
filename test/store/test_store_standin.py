"""Tests of the stand-in store: its state and the in-memory store."""

import pytest

from cyclamenscale.errors import (
    CompactedError,
    LeaseLostError,
    StoreAnswerLostError,
    StoreUnavailableError,
)
from cyclamenscale.settings import Settings, StoreSettings
from cyclamenscale.standin.memory import MemoryStore
from cyclamenscale.standin.state import StoreState
from cyclamenscale.store.port import Compare, Delete, Put
from cyclamenscale.util.clock import VirtualClock


@pytest.fixture
def clock():
    return VirtualClock(100.0)


@pytest.fixture
def store(clock):
    return MemoryStore(StoreState(clock, history_limit=5))


def write(store, key, value=b"v", lease=0):
    return store.txn([], [Put(key, value, lease)]).revision


def test_a_transaction_is_one_revision_and_all_or_nothing(store):
    """Guards against a transaction that is applied in part."""
    first = store.txn([Compare("a", 0)], [Put("a", b"1"), Put("b", b"2")])
    assert (first.succeeded, first.revision) == (True, 2)
    second = store.txn([Compare("a", 0)], [Delete("b")])
    assert not second.succeeded and second.revision == 2
    assert second.current["a"].value == b"1"
    assert [i.mod_revision for i in store.range("").items] == [2, 2]
    third = store.txn([Compare("a", 2)], [Put("a", b"3")])
    found = store.get("a")[1]
    assert third.succeeded
    assert (found.create_revision, found.mod_revision) == (2, 3)


def test_two_writes_of_a_key_in_a_transaction_are_rejected(store):
    """Guards against accepting a transaction that etcd would reject."""
    with pytest.raises(StoreUnavailableError):
        store.txn([], [Put("a", b"1"), Put("a", b"2")])
    assert store.get("a") == (1, None)


def test_a_range_ends_at_its_limit_and_continues_from_its_start(store):
    """Guards against keys lost between the pages of a range."""
    for key in ("p/a", "p/b", "p/c", "q"):
        write(store, key)
    page = store.range("p/", limit=2)
    rest = store.range("p/", limit=2, start=page.items[-1].key + "\0")
    assert (page.more, rest.more) == (True, False)
    assert [i.key for i in page.items + rest.items] == ["p/a", "p/b", "p/c"]


def test_a_lease_expires_with_its_keys_unless_renewed(store, clock):
    """Guards against a stand-in whose leases never expire."""
    lease = store.lease_grant(10)
    write(store, "a", lease=lease)
    clock.advance(9)
    assert store.lease_keep_alive(lease) == 10
    clock.advance(9)
    assert store.get("a")[1].lease == lease
    clock.advance(2)
    assert store.get("a") == (3, None)
    with pytest.raises(LeaseLostError):
        store.lease_keep_alive(lease)
    with pytest.raises(LeaseLostError):
        write(store, "a", lease=lease)


def test_a_write_without_a_lease_detaches_the_key_from_its_lease(store):
    """Guards against an old lease that deletes a newer value."""
    lease = store.lease_grant(10)
    write(store, "a", lease=lease)
    write(store, "a")
    store.lease_revoke(lease)
    assert store.get("a")[1] is not None


def test_a_lost_response_follows_a_write_that_took_effect(store):
    """Guards against a fault that drops the write with its response."""
    store.faults.set(lose_next=1)
    with pytest.raises(StoreAnswerLostError):
        write(store, "a")
    assert store.get("a")[1].value == b"v"
    store.faults.set(down=True)
    with pytest.raises(StoreUnavailableError):
        write(store, "b")
    store.faults.clear()
    assert store.get("b")[1] is None


def test_a_slow_write_may_have_taken_effect_and_a_slow_read_fails(clock):
    """Guards against write timeouts that are reported as no effect."""
    settings = Settings(store=StoreSettings(call_timeout_s=2.0))
    store = MemoryStore(settings=settings, sleep=clock.advance)
    store.faults.set(slow_s=3.0)
    with pytest.raises(StoreAnswerLostError):
        write(store, "a")
    with pytest.raises(StoreUnavailableError):
        store.get("a")
    assert clock() == 104.0


def test_a_watch_delivers_changes_deletions_and_progress(store):
    """Guards against events that are missing, repeated or out of order."""
    write(store, "a")
    watch = store.watch("", 2)
    events = watch.events()
    assert [k.key for k in next(events).changed] == ["a"]
    write(store, "b")
    store.txn([], [Delete("a")])
    event = next(events)
    assert event.revision == 4
    assert [(k.key, k.create_revision) for k in event.changed] == [
        ("b", 3),
        ("a", 0),
    ]
    other = store.watch("z", 5).events()
    assert next(other) == (4, [])
    watch.close()
    assert list(events) == []


def test_a_watch_from_a_compacted_revision_fails(store):
    """Guards against a watch that silently skips a gap."""
    for _ in range(8):
        write(store, "a")
    with pytest.raises(CompactedError) as caught:
        next(store.watch("", 2).events())
    oldest = caught.value.revision
    assert len(next(store.watch("", oldest).events()).changed) == 5


def test_a_muted_watch_fails_after_the_silence_limit():
    """Guards against a silent watch that is taken as healthy."""
    settings = Settings(store=StoreSettings(watch_silence_s=0.05))
    store = MemoryStore(settings=settings)
    events = store.watch("", 0).events()
    assert next(events).changed == []
    store.faults.set(mute_watches=True)
    with pytest.raises(StoreUnavailableError):
        next(events)


def test_an_outage_ends_a_watch(store):
    """Guards against a watch that stays open during a store outage."""
    events = store.watch("", 0).events()
    next(events)
    store.faults.set(down=True)
    with pytest.raises(StoreUnavailableError):
        next(events)


def test_expired_leases_delete_their_keys(store):
    """Guards against the fault "all leases expire" leaving keys behind."""
    for key in ("a", "b"):
        write(store, key, lease=store.lease_grant(1000))
    store.faults.expire_leases()
    assert store.range("").items == []
