"""Records of planned outages as read, and what a controller asks for."""

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
    """What a controller asks of the rest of its entry."""

    def view(self) -> ConfigView:
        """Return the applied configuration."""

    def revision_of(self, key: str) -> int:
        """Return the applied revision of a configuration key."""

    def may_admit(self) -> bool:
        """Return whether the applied configuration is fresh."""

    def announce(self, revision: int) -> None:
        """Tell the other entries of a revision that was written."""

    def in_force(self, revision: int) -> bool:
        """Return whether a revision is in force at every entry."""

    def in_progress(self, instance: str) -> int | None:
        """Return the requests in progress at an instance, at all entries.

        :returns: None while an entry has not answered.
        """

    def long_work(self, pool: str) -> dict[str, int]:
        """Return the long requests in progress, by instance.

        :returns: nothing if this entry does not schedule the pool.
        """

    def demand(self, pool: str) -> float | None:
        """Return a pool's demand in slots, averaged over a tick.

        :returns: slots in use, plus slots that clear the waiting work
            within its targets; None if this entry does not schedule the
            pool.
        """

    def unavailable(self, pool: str) -> Iterable[str]:
        """Return instances of a pool that failed or cannot be reached."""

    def probe(self, instance: PlatformInstance) -> bool:
        """Return whether an instance answers its health probe."""

    def decided(self, what: str, subject: str, why: str, inputs: dict) -> None:
        """Add a decision to the audit trail."""


class LoadedBudget(NamedTuple):
    """A pool's budget record as read.

    :ivar pool: name of the pool.
    :ivar fence: fencing token under which it was read.
    :ivar revision: its ``mod_revision``, 0 if it does not exist.
    :ivar record: its content.
    """

    pool: str
    fence: int
    revision: int
    record: BudgetRecord

    @property
    def compares(self) -> list[Compare]:
        """Return the comparisons that each write has to carry."""
        return [
            Compare(CONTROL_PREFIX + self.pool, self.fence),
            Compare(BUDGET_PREFIX + self.pool, self.revision),
        ]

    def put(self, record: BudgetRecord) -> Put:
        """Return the write of a new record."""
        return Put(BUDGET_PREFIX + self.pool, encode_record(record))


def load_budget(store: Store, pool: str, fence: int) -> LoadedBudget:
    """Read a pool's budget record.

    :param fence: fencing token of its control.
    """
    _, found = store.get(BUDGET_PREFIX + pool)
    return decode_budget(pool, fence, found)


def decode_budget(
    pool: str, fence: int, found: KeyValue | None
) -> LoadedBudget:
    """Decode a pool's budget record; None stands for an empty one."""
    if found is None:
        return LoadedBudget(pool, fence, 0, BudgetRecord())
    record = decode_record(found.value, BudgetRecord, found.key)
    return LoadedBudget(pool, fence, found.mod_revision, record)
