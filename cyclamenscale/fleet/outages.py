"""Budget records as read from the store, and the controllers' context."""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from cyclamenscale.fleet.budget import (
    BUDGET_PREFIX,
    CONTROL_PREFIX,
    BudgetRecord,
)
from cyclamenscale.fleet.ports import PlatformInstance
from cyclamenscale.model import ConfigView
from cyclamenscale.store.port import Compare, KeyValue, Put, Store
from cyclamenscale.util.codec import decode_record, encode_record


class ControllerContext(Protocol):
    """Interface of a controller to the rest of its entry."""

    def view(self) -> ConfigView:
        """Return the applied configuration."""

    def revision_of(self, key: str) -> int:
        """Return the applied revision of a configuration key."""

    def may_admit(self) -> bool:
        """Return whether the applied configuration is fresh."""

    def announce(self, revision: int) -> None:
        """Announce a revision that was written to the other entries."""

    def in_force(self, revision: int) -> bool:
        """Return whether a revision is in force at every entry."""

    def in_progress(self, instance: str) -> int | None:
        """Return an instance's requests in progress, summed over the entries.

        :returns: None until all entries have responded.
        """

    def long_work(self, pool: str) -> dict[str, int]:
        """Return the number of long requests in progress, by instance.

        :returns: an empty dictionary if this entry does not schedule the
            pool.
        """

    def demand(self, pool: str) -> float | None:
        """Return a pool's demand in slots, averaged over a tick.

        :returns: slots in use, plus the slots needed to complete the waiting
            work within its targets; None if this entry does not schedule
            the pool.
        """

    def unavailable(self, pool: str) -> Iterable[str]:
        """Return the instances of a pool that failed or are unreachable."""

    def probe(self, instance: PlatformInstance) -> bool:
        """Return whether an instance answers its health probe."""

    def decided(self, what: str, subject: str, why: str, inputs: dict) -> None:
        """Add a decision to the audit trail."""


class LoadedBudget(NamedTuple):
    """A pool's budget record as read from the store.

    :ivar pool: name of the pool.
    :ivar fence: fencing token of the pool's controller, 0 if another entry
        may control the pool.
    :ivar revision: ``mod_revision`` of the record, 0 if it does not exist.
    :ivar record: content of the record.
    """

    pool: str
    fence: int
    revision: int
    record: BudgetRecord

    @property
    def compares(self) -> list[Compare]:
        """Return the comparisons that each write by the controller needs."""
        return [
            Compare(CONTROL_PREFIX + self.pool, self.fence),
            Compare(BUDGET_PREFIX + self.pool, self.revision),
        ]

    def put(self, record: BudgetRecord) -> Put:
        """Return the write that replaces the record."""
        return Put(BUDGET_PREFIX + self.pool, encode_record(record))


def load_budget(store: Store, pool: str, fence: int) -> LoadedBudget:
    """Read a pool's budget record.

    :param fence: fencing token of the pool's controller, 0 if another entry
        may control the pool.
    """
    _, found = store.get(BUDGET_PREFIX + pool)
    return decode_budget(pool, fence, found)


def decode_budget(
    pool: str, fence: int, found: KeyValue | None
) -> LoadedBudget:
    """Decode a pool's budget record; None gives an empty record."""
    if found is None:
        return LoadedBudget(pool, fence, 0, BudgetRecord())
    record = decode_record(found.value, BudgetRecord, found.key)
    return LoadedBudget(pool, fence, found.mod_revision, record)
