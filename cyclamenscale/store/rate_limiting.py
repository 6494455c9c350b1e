"""Limits the rate of store calls to this entry's share of the budget.

The platform's key-value service accepts a limited number of calls per
second from the whole deployment. Each entry uses an equal share, so the
entries need not coordinate their calls.
"""

from collections.abc import Callable
from threading import Event

from cyclamenscale.errors import StoreUnavailableError
from cyclamenscale.metrics import Metrics
from cyclamenscale.requests.limits import TokenBucket
from cyclamenscale.settings import Settings
from cyclamenscale.store.port import (
    Compare,
    Delete,
    KeyValue,
    Put,
    RangeResult,
    Store,
    TxnResult,
    Watch,
)
from cyclamenscale.util.clock import Clock, monotonic

#: Number of entries assumed until the member list has been read.
ASSUMED_ENTRIES = 8

#: Shortest wait. After rounding, a bucket can lack so small a part of a token
#: that waiting for it would not advance the clock.
MIN_WAIT_S = 0.001

#: Burst size of an entry, in seconds of its share.
BURST_S = 1.0


class RateLimitedStore(Store):
    """A store whose calls are limited to this entry's share of the budget.

    :param settings: ``[store]`` gives the budget and the call timeout.
    :param store: store that the calls are passed on to.
    :param metrics: counters ``store.paced`` and ``store.over_budget``.
    :param clock: monotonic clock in seconds.
    :param pause: waits for the given number of seconds.
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        metrics: Metrics,
        clock: Clock = monotonic,
        pause: Callable[[float], object] | None = None,
    ):
        """Initialise with the share of one entry of ``ASSUMED_ENTRIES``."""
        self.settings = settings.store
        self.store = store
        self.metrics = metrics
        self.pause = pause or Event().wait
        self.writes = self.make_bucket(self.settings.writes_per_s, clock)
        self.reads = self.make_bucket(self.settings.reads_per_s, clock)

    @staticmethod
    def make_bucket(budget_per_s: float, clock: Clock) -> TokenBucket:
        """Create the token bucket for reads or for writes."""
        share = budget_per_s / ASSUMED_ENTRIES
        return TokenBucket(share, max(1.0, share * BURST_S), clock)

    def set_entry_count(self, entries: int) -> None:
        """Set the number of entries that share the budget.

        :param entries: number of entries in the member list; 0 is ignored.
        """
        if not entries:
            return
        for bucket, budget_per_s in (
            (self.writes, self.settings.writes_per_s),
            (self.reads, self.settings.reads_per_s),
        ):
            bucket.rate_per_s = budget_per_s / entries
            bucket.burst = max(1.0, bucket.rate_per_s * BURST_S)

    def wait_for_token(self, bucket: TokenBucket, operation: str) -> None:
        """Wait until the bucket has a token for a call.

        :raises StoreUnavailableError: if the wait would exceed the call
            timeout.
        """
        remaining_s = self.settings.call_timeout_s
        while wait_s := bucket.take():
            if wait_s > remaining_s:
                self.metrics.incr("store.over_budget")
                raise StoreUnavailableError(
                    operation, "this entry's share of calls is used up"
                )
            self.metrics.incr("store.paced")
            wait_s = max(wait_s, MIN_WAIT_S)
            self.pause(wait_s)
            remaining_s -= wait_s

    def get(self, key: str) -> tuple[int, KeyValue | None]:
        """Read one key."""
        self.wait_for_token(self.reads, "get")
        return self.store.get(key)

    def range(
        self, prefix: str, limit: int = 0, start: str = ""
    ) -> RangeResult:
        """Read all keys under a prefix."""
        self.wait_for_token(self.reads, "range")
        return self.store.range(prefix, limit, start)

    def txn(
        self,
        compares: list[Compare],
        writes: list[Put | Delete],
    ) -> TxnResult:
        """Apply all writes if all comparisons hold, else none."""
        self.wait_for_token(self.writes, "txn")
        return self.store.txn(compares, writes)

    def lease_grant(self, ttl_s: int) -> int:
        """Grant a lease."""
        self.wait_for_token(self.writes, "lease_grant")
        return self.store.lease_grant(ttl_s)

    def lease_keep_alive(self, lease_id: int) -> int:
        """Renew a lease."""
        self.wait_for_token(self.writes, "lease_keep_alive")
        return self.store.lease_keep_alive(lease_id)

    def lease_revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete the keys attached to it."""
        self.wait_for_token(self.writes, "lease_revoke")
        self.store.lease_revoke(lease_id)

    def watch(self, prefix: str, from_revision: int) -> Watch:
        """Watch the keys under a prefix; counts as one read."""
        self.wait_for_token(self.reads, "watch")
        return self.store.watch(prefix, from_revision)

    def call_counts(self) -> dict[str, int]:
        """Return the number of calls by name."""
        return self.store.call_counts()
