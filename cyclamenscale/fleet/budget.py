"""Availability budget of a pool: how many instances may be out of service.

The functions are pure; :mod:`cyclamenscale.fleet.controller` reads and
writes the records.
"""

from collections.abc import Iterable
from math import floor
from typing import NamedTuple

from cyclamenscale.model import InstanceRecord, RequestClass

BUDGET_PREFIX = "budget/"
CONTROL_PREFIX = "control/"

#: Steps of a planned outage, in order.
EXCLUDING = "excluding"
WAITING = "waiting"
REBOOTING = "rebooting"
PROBING = "probing"

#: Added before ``floor``, because 0.29 * 100 is 28.999... in floating point.
ROUNDING_SLACK = 1e-9


class Outage(NamedTuple):
    """A planned outage of one instance.

    :ivar instance: name of the instance.
    :ivar purpose: ``maintenance``, ``version`` or ``move``.
    :ivar step: current step, one of the constants above.
    :ivar started_s: start time, seconds since the epoch.
    :ivar target: version to install or pool to join; empty for maintenance.
    :ivar failed_probes: health probes that failed since the reboot.
    :ivar joining: whether the instance is joining this pool. Until it is
        live, the budget counts it neither as a member nor as out of
        service.
    """

    instance: str
    purpose: str
    step: str
    started_s: float
    target: str = ""
    failed_probes: int = 0
    joining: bool = False


class MoveRecord(NamedTuple):
    """A move of an instance to or from a pool.

    Kept to enforce the rate of moves and the payback time.

    :ivar started_s: start time of the move, seconds since the epoch.
    :ivar other: name of the other pool.
    :ivar incoming: whether this pool is the receiver.
    """

    started_s: float
    other: str
    incoming: bool


class BudgetRecord(NamedTuple):
    """Planned outages of one pool, updated by compare-and-swap.

    :ivar outages: outages in progress.
    :ivar halted_version: version whose roll-out is halted, or empty.
    :ivar halted_reason: why it was halted.
    :ivar wanted: number of instances that the pool's demand requires, None
        while it is unknown.
    :ivar moves: moves within the last hour or the payback time, whichever
        is longer.
    """

    outages: tuple[Outage, ...] = ()
    halted_version: str = ""
    halted_reason: str = ""
    wanted: int | None = None
    moves: tuple[MoveRecord, ...] = ()

    def with_outage(self, outage: Outage) -> "BudgetRecord":
        """Return the record with an outage added or replaced."""
        others = self.without_outage(outage.instance).outages
        return self._replace(outages=(*others, outage))

    def without_outage(self, instance: str) -> "BudgetRecord":
        """Return the record without the outage of an instance."""
        return self._replace(
            outages=tuple(
                outage
                for outage in self.outages
                if outage.instance != instance
            )
        )

    def outage_of(self, instance: str) -> Outage | None:
        """Return the outage of an instance, if there is one."""
        for outage in self.outages:
            if outage.instance == instance:
                return outage
        return None


class ControlRecord(NamedTuple):
    """Entry that controls a pool; the key is attached to the entry's lease.

    :ivar holder: name of the entry.
    :ivar incarnation: incarnation of the entry.
    """

    holder: str
    incarnation: int


class BudgetUse(NamedTuple):
    """Use of a pool's availability budget.

    :ivar size: number of instances that count as members of the pool.
    :ivar allowed: number of members that may be out of service at once.
    :ivar out: names of the members that are out of service.
    """

    size: int
    allowed: int
    out: frozenset[str]

    @property
    def exceeded(self) -> bool:
        """Return whether more instances are out of service than allowed."""
        return len(self.out) > self.allowed

    def admits(self, instance: str) -> bool:
        """Return whether an instance may be taken out of service.

        An instance that is already out of service does not change the
        count, so it is admitted while the pool is within its budget.
        """
        return len(self.out | {instance}) <= self.allowed


def allowed_out(size: int, classes: Iterable[RequestClass]) -> int:
    """Return how many instances of a pool may be out of service at once.

    :param size: number of instances in the pool.
    :param classes: request classes of the pool; the strictest target
        applies. A pool without classes has no availability target.
    """
    share = min((each.max_out_share for each in classes), default=1.0)
    return floor(size * share + ROUNDING_SLACK)


def budget_use(
    members: Iterable[InstanceRecord],
    classes: Iterable[RequestClass],
    record: BudgetRecord,
    unavailable: Iterable[str],
) -> BudgetUse:
    """Compute how much of a pool's budget is used.

    :param members: records of the pool's instances.
    :param classes: request classes of the pool.
    :param record: planned outages of the pool.
    :param unavailable: instances that failed, cannot be reached, or are
        listed as leaving; names outside the pool are ignored.
    """
    joining = {each.instance for each in record.outages if each.joining}
    names = {each.name: each for each in members if each.name not in joining}
    out = {name for name, each in names.items() if each.state != "live"}
    out |= {each.instance for each in record.outages}
    out |= set(unavailable)
    return BudgetUse(
        size=len(names),
        allowed=allowed_out(len(names), classes),
        out=frozenset(out & names.keys()),
    )
