"""Availability budget of a pool: which instances may be out of service.

Pure decisions; :mod:`cyclamenscale.fleet.controller` reads and writes the
records.
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

#: Guards ``floor`` against shares such as 0.29 * 100 = 28.999....
ROUNDING_SLACK = 1e-9


class Outage(NamedTuple):
    """A planned outage of one instance.

    :ivar instance: name of the instance.
    :ivar purpose: ``maintenance``, ``version`` or ``move``.
    :ivar step: step that is in progress.
    :ivar started_s: seconds since the epoch.
    :ivar target: version to reach or pool to join, empty for neither.
    :ivar failed_probes: probes that failed since the reboot.
    :ivar joining: whether the instance is joining this pool, and neither
        a member nor out of service for the budget until it is live.
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

    :ivar started_s: when it was started or, for the receiver, taken over;
        seconds since the epoch.
    :ivar other: the other pool.
    :ivar incoming: whether the pool received the instance.
    """

    started_s: float
    other: str
    incoming: bool


class BudgetRecord(NamedTuple):
    """The planned outages of one pool; changed by compare-and-swap.

    :ivar outages: outages in progress.
    :ivar halted_version: version whose roll-out is halted, or empty.
    :ivar halted_reason: why it was halted.
    :ivar wanted: instances that the pool wants, None if not known.
    :ivar moves: moves within the last hour or the payback time.
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
    """Holder of a pool's control; hangs on the holder's lease.

    :ivar holder: name of the entry.
    :ivar incarnation: its incarnation.
    """

    holder: str
    incarnation: int


class BudgetUse(NamedTuple):
    """How much of a pool's budget is used.

    :ivar size: instances that count as members of the pool.
    :ivar allowed: how many of them may be out of service at once.
    :ivar out: names of those that are out of service.
    """

    size: int
    allowed: int
    out: frozenset[str]

    @property
    def exceeded(self) -> bool:
        """Return whether more instances are out than allowed."""
        return len(self.out) > self.allowed

    def admits(self, instance: str) -> bool:
        """Return whether one more instance may be taken out of service.

        An instance that is out already changes nothing and may be taken,
        as long as the pool is within its budget.
        """
        return len(self.out | {instance}) <= self.allowed


def allowed_out(size: int, classes: Iterable[RequestClass]) -> int:
    """Return how many instances of a pool may be out of service at once.

    :param size: number of instances in the pool.
    :param classes: the pool's classes; the strictest target decides. A
        pool without classes promises nothing.
    """
    share = min((each.max_out_share for each in classes), default=1.0)
    return floor(size * share + ROUNDING_SLACK)


def budget_use(
    members: Iterable[InstanceRecord],
    classes: Iterable[RequestClass],
    record: BudgetRecord,
    unavailable: Iterable[str],
) -> BudgetUse:
    """Work out a pool's budget.

    :param members: records of the pool's instances.
    :param classes: the pool's classes.
    :param record: the pool's planned outages.
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
