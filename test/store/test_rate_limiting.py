"""Tests of the budget of store calls."""

import pytest

from cyclamenscale.errors import StoreUnavailableError
from cyclamenscale.metrics import Metrics
from cyclamenscale.settings import Settings
from cyclamenscale.standin.memory import MemoryStore
from cyclamenscale.store.port import Put
from cyclamenscale.store.rate_limiting import RateLimitedStore
from cyclamenscale.util.clock import VirtualClock


def paced(entries: int) -> tuple[RateLimitedStore, VirtualClock]:
    """Make a store whose pauses move a virtual clock."""
    clock = VirtualClock(1.0)
    settings = Settings()
    store = RateLimitedStore(
        settings, MemoryStore(), Metrics(settings), clock, clock.advance
    )
    store.set_entry_count(entries)
    return store, clock


def test_writes_stay_within_the_share():
    """Guards against an entry that uses the budget of the others."""
    store, clock = paced(entries=10)
    for number in range(330):
        store.txn([], [Put("key", b"%d" % number)])
    # 30 a second, and a burst of one second's share.
    assert clock() - 1.0 == pytest.approx(10.0, abs=0.1)


def test_reads_do_not_wait_for_writes():
    """Guards against a watch that is opened late because of claims."""
    store, clock = paced(entries=10)
    for _ in range(30):
        store.txn([], [Put("key", b"")])
    store.get("key")
    assert clock() == 1.0


def test_call_beyond_its_time_is_refused_without_effect():
    """Guards against calls that wait without a bound."""
    store, _ = paced(entries=300)
    store.settings = store.settings._replace(call_timeout_s=0.5)
    store.txn([], [Put("first", b"")])
    with pytest.raises(StoreUnavailableError):
        store.txn([], [Put("second", b"")])
    assert store.get("second")[1] is None
