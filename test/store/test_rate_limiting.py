"""Tests of the rate limit of store calls."""

import pytest

from cyclamenscale.errors import StoreUnavailableError
from cyclamenscale.metrics import Metrics
from cyclamenscale.settings import Settings
from cyclamenscale.standin.memory import MemoryStore
from cyclamenscale.store.port import Put
from cyclamenscale.store.rate_limiting import RateLimitedStore
from cyclamenscale.util.clock import VirtualClock


def rate_limited(entries: int) -> tuple[RateLimitedStore, VirtualClock]:
    """Create a store whose waits advance a virtual clock."""
    clock = VirtualClock(1.0)
    settings = Settings()
    store = RateLimitedStore(
        settings, MemoryStore(), Metrics(settings), clock, clock.advance
    )
    store.set_entry_count(entries)
    return store, clock


def test_writes_stay_within_the_share():
    """Guards against an entry that exceeds its share of the budget."""
    store, clock = rate_limited(entries=10)
    for number in range(330):
        store.txn([], [Put("key", b"%d" % number)])
    # 30 writes per second after a burst of one second's share.
    assert clock() - 1.0 == pytest.approx(10.0, abs=0.1)


def test_reads_do_not_wait_for_writes():
    """Guards against a watch that is delayed by writes of claims."""
    store, clock = rate_limited(entries=10)
    for _ in range(30):
        store.txn([], [Put("key", b"")])
    store.get("key")
    assert clock() == 1.0


def test_a_call_that_would_time_out_fails_without_effect():
    """Guards against calls that wait longer than the call timeout."""
    store, _ = rate_limited(entries=300)
    store.settings = store.settings._replace(call_timeout_s=0.5)
    store.txn([], [Put("first", b"")])
    with pytest.raises(StoreUnavailableError):
        store.txn([], [Put("second", b"")])
    assert store.get("second")[1] is None
