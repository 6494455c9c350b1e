"""Assignment of pools to controlling entries, by leases in the store.

The entry that controls a pool holds the key ``control/POOL``, attached to its
lease. The key's create revision is the fencing token: each transaction of a
controller compares it, and each action on an instance carries it.
"""

from collections.abc import Callable, Iterable

from cyclamenscale.errors import LeaseLostError, StoreError
from cyclamenscale.fleet.budget import CONTROL_PREFIX, ControlRecord
from cyclamenscale.metrics import Metrics
from cyclamenscale.settings import Settings
from cyclamenscale.store.port import Compare, Delete, Put, Store
from cyclamenscale.util.clock import Clock
from cyclamenscale.util.codec import decode_record, encode_record
from cyclamenscale.util.rendezvous import choose_node

#: Lease renewals per time to live. Each renewal is a write to the store, and
#: more of them would cost each entry a write per second.
RENEWALS_PER_TTL = 2

#: Share of the time to live after which an entry that could not renew its
#: lease stops controlling its pools, so that it stops before the lease
#: expires in the store.
MAX_LEASE_AGE_SHARE = 0.75


class ControlHolder:
    """Acquires and holds the control of the pools assigned to this entry.

    Not thread-safe: one component calls :meth:`tick`.

    :param settings: settings of the entry.
    :param store: store that holds the leases.
    :param incarnation: incarnation of this entry.
    :param alive_entries: returns the names of the entries from which
        heartbeats arrive.
    :param metrics: metrics of the entry.
    :param clock: monotonic clock.

    :ivar lease: id of this entry's lease, 0 if it has none.
    :ivar renewed_s: time at which the last renewal was requested, by the
        monotonic clock.
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        incarnation: int,
        alive_entries: Callable[[], Iterable[str]],
        metrics: Metrics,
        clock: Clock,
    ):
        """Initialise without a lease."""
        self.name = settings.entry.name
        self.ttl_s = settings.fleet.control_lease_s
        self.store = store
        self.record = ControlRecord(self.name, incarnation)
        self.alive_entries = alive_entries
        self.metrics = metrics
        self.clock = clock
        self.lease = 0
        self.renewed_s = 0.0
        #: Fencing tokens of the controlled pools, by pool.
        self.fences: dict[str, int] = {}

    def fence(self, pool: str) -> int | None:
        """Return the fencing token of a pool that this entry controls.

        :returns: None if it does not control the pool, or if its lease may
            have expired.
        """
        lease_age_s = self.clock() - self.renewed_s
        if not self.lease or lease_age_s > self.ttl_s * MAX_LEASE_AGE_SHARE:
            return None
        return self.fences.get(pool)

    def tick(self, pools: Iterable[str]) -> None:
        """Renew the lease, then acquire and release pools as assigned.

        :param pools: names of all pools.
        """
        try:
            self.renew()
            self.rebalance(set(pools))
        except LeaseLostError:
            self.metrics.incr("control.lease_lost")
            self.forget_lease()
        except StoreError:
            self.metrics.incr("control.store_errors")

    def renew(self) -> None:
        """Renew the lease if a renewal is due."""
        now_s = self.clock()
        if (
            self.lease
            and now_s - self.renewed_s >= self.ttl_s / RENEWALS_PER_TTL
        ):
            self.store.lease_keep_alive(self.lease)
            self.renewed_s = now_s

    def rebalance(self, pools: set[str]) -> None:
        """Acquire uncontrolled pools assigned here and release the others."""
        alive = set(self.alive_entries()) | {self.name}
        control_keys = {
            each.key.removeprefix(CONTROL_PREFIX): each
            for each in self.store.range(CONTROL_PREFIX).items
        }
        self.fences = {
            pool: each.create_revision
            for pool, each in control_keys.items()
            if self.lease and each.lease == self.lease
        }
        # The entry that schedules a pool's slots is chosen by the same hash.
        # It is the only one that has the pool's demand, on which the moves
        # of instances are based.
        for pool in sorted(pools):
            assigned_here = choose_node(pool, alive) == self.name
            if pool not in control_keys:
                holder = None
            else:
                key = CONTROL_PREFIX + pool
                holder = decode_record(
                    control_keys[pool].value, ControlRecord, key
                )
            if assigned_here and holder is None:
                self.acquire(pool)
            elif pool in self.fences and not assigned_here:
                self.release(pool)

    def acquire(self, pool: str) -> None:
        """Take control of a pool that no entry controls."""
        key = CONTROL_PREFIX + pool
        if not self.lease:
            requested_s = self.clock()
            self.lease = self.store.lease_grant(self.ttl_s)
            self.renewed_s = requested_s
        put = Put(key, encode_record(self.record), self.lease)
        result = self.store.txn([Compare(key, 0)], [put])
        if result.succeeded:
            self.fences[pool] = result.revision
            self.metrics.incr("control.taken")

    def release(self, pool: str) -> None:
        """Release a pool so that the entry assigned to it can acquire it."""
        key = CONTROL_PREFIX + pool
        fence = self.fences.pop(pool)
        self.store.txn([Compare(key, fence)], [Delete(key)])
        self.metrics.incr("control.released")

    def forget_lease(self) -> None:
        """Clear the local state of a lease that has expired."""
        self.lease = 0
        self.fences = {}

    def stop(self) -> None:
        """Revoke the lease, so that other entries can take over at once."""
        lease, self.lease = self.lease, 0
        self.fences = {}
        if lease:
            try:
                self.store.lease_revoke(lease)
            except StoreError:
                self.metrics.incr("control.store_errors")
