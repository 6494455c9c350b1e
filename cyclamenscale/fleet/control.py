"""Which entry controls which pool: leases in the platform's store.

A pool's control is the key ``control/POOL``, created by one entry under its
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
from cyclamenscale.util.rendezvous import choose

#: Renewals in the time to live of the lease. More of them would cost a
#: write a second for each entry.
RENEWALS_PER_TTL = 2

#: Share of the time to live after which an entry that could not renew its
#: lease stops controlling; the store counts from an earlier moment.
MAX_LEASE_AGE_SHARE = 0.75


class ControlHolder:
    """The pools that this entry controls.

    Not safe for threads: one component calls :meth:`tick`.

    :param settings: the whole settings.
    :param store: the store.
    :param incarnation: incarnation of this entry.
    :param alive: returns the names of the entries that are heard.
    :param metrics: counters.
    :param clock: monotonic clock.
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
        """Hold nothing."""
        self.name = settings.entry.name
        self.ttl_s = settings.fleet.control_lease_s
        self.store = store
        self.record = ControlRecord(self.name, incarnation)
        self.alive_entries = alive_entries
        self.metrics = metrics
        self.clock = clock
        self.lease = 0
        self.renewed_s = 0.0
        #: Fencing token of each pool that is held.
        self.fences: dict[str, int] = {}

    def fence(self, pool: str) -> int | None:
        """Return the fencing token of a pool, or None if it is not held."""
        lease_age_s = self.clock() - self.renewed_s
        if not self.lease or lease_age_s > self.ttl_s * MAX_LEASE_AGE_SHARE:
            return None
        return self.fences.get(pool)

    def tick(self, pools: Iterable[str]) -> None:
        """Renew the lease, take free pools and hand over others.

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
        """Renew the lease when it is time."""
        now_s = self.clock()
        if (
            self.lease
            and now_s - self.renewed_s >= self.ttl_s / RENEWALS_PER_TTL
        ):
            self.store.lease_keep_alive(self.lease)
            self.renewed_s = now_s

    def rebalance(self, pools: set[str]) -> None:
        """Take pools that nobody controls, release those of others."""
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
        # The entry that schedules a pool's slots is chosen by the same hash:
        # it alone knows the demand that moves of instances follow.
        for pool in sorted(pools):
            assigned_here = choose(pool, alive) == self.name
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
        """Take control of a pool that nobody controls."""
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
        """Hand a pool over to the entry that should control it."""
        key = CONTROL_PREFIX + pool
        fence = self.fences.pop(pool)
        self.store.txn([Compare(key, fence)], [Delete(key)])
        self.metrics.incr("control.released")

    def forget_lease(self) -> None:
        """Forget a lease that no longer exists."""
        self.lease = 0
        self.fences = {}

    def stop(self) -> None:
        """Give everything back, so that others need not wait."""
        lease, self.lease = self.lease, 0
        self.fences = {}
        if lease:
            try:
                self.store.lease_revoke(lease)
            except StoreError:
                self.metrics.incr("control.store_errors")
