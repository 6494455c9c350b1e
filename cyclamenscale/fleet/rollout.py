"""Selection of the instances of a pool to take out of service next.

The functions are pure. Policies are registered by name, so that each can be
compared with the baseline ``one_at_a_time``.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from cyclamenscale.fleet.budget import BudgetRecord, BudgetUse
from cyclamenscale.fleet.ports import PlatformInstance
from cyclamenscale.model import InstanceRecord, PoolRecord

#: Every instance must be maintained once in 4 weeks.
MAINTENANCE_PERIOD_S = 28 * 86400.0

#: Share of the period after which maintenance is due. The last quarter leaves
#: time to maintain a pool whose budget allows one instance at a time.
DUE_SHARE = 0.75


class Candidate(NamedTuple):
    """An instance that needs a planned outage.

    :ivar instance: name of the instance.
    :ivar data_centre: failure domain.
    :ivar rack: failure domain within the data centre.
    :ivar purpose: ``maintenance`` or ``version``.
    :ivar target: version to install, empty for maintenance.
    :ivar maintained_s: end of its last outage, seconds since the epoch.
    :ivar long_work: number of its requests in progress of long classes.
    """

    instance: str
    data_centre: str
    rack: str
    purpose: str
    target: str
    maintained_s: float
    long_work: int = 0


def candidates(
    pool: PoolRecord,
    members: Iterable[InstanceRecord],
    listed: dict[str, PlatformInstance],
    record: BudgetRecord,
    now_s: float,
    long_work: dict[str, int],
) -> list[Candidate]:
    """Return the instances of a pool that need a planned outage.

    Instances that the platform does not list are left out: the outage of a
    missing instance would never end and would keep using the budget.

    :param pool: record of the pool, with its target version.
    :param members: records of the pool's instances.
    :param listed: the platform's list of instances, by name.
    :param record: budget record, with the outages in progress and the
        halted version.
    :param now_s: seconds since the epoch.
    :param long_work: number of long requests in progress, by instance.
    """
    found = []
    for member in members:
        listing = listed.get(member.name)
        if listing is None or member.state != "live":
            continue
        if record.outage_of(member.name):
            continue
        purpose, target = _purpose(pool, member, listing, record, now_s)
        if purpose:
            found.append(
                Candidate(
                    member.name,
                    listing.data_centre,
                    listing.rack,
                    purpose,
                    target,
                    member.maintained_s,
                    long_work.get(member.name, 0),
                )
            )
    return found


def _purpose(
    pool: PoolRecord,
    member: InstanceRecord,
    listing: PlatformInstance,
    record: BudgetRecord,
    now_s: float,
) -> tuple[str, str]:
    """Return purpose and target of an instance's next outage.

    :returns: an empty purpose if the instance needs no outage.
    """
    target_version = pool.version
    if (
        target_version
        and target_version != record.halted_version
        and listing.version != target_version
    ):
        return "version", target_version
    if now_s - member.maintained_s >= MAINTENANCE_PERIOD_S * DUE_SHARE:
        return "maintenance", ""
    return "", ""


RolloutPolicy = Callable[
    [list[Candidate], BudgetUse, set[str]], list[Candidate]
]

ROLLOUT_POLICIES: dict[str, RolloutPolicy] = {}


def rollout_policy(name: str) -> Callable[[RolloutPolicy], RolloutPolicy]:
    """Register a policy that selects the next outages of a pool.

    :param name: value of ``[fleet] rollout`` that selects it.
    """

    def register(function: RolloutPolicy) -> RolloutPolicy:
        ROLLOUT_POLICIES[name] = function
        return function

    return register


@rollout_policy("one_at_a_time")
def one_at_a_time(
    waiting: list[Candidate], use: BudgetUse, busy_domains: set[str]
) -> list[Candidate]:
    """Start an outage only while no instance is out of service (baseline)."""
    if use.out or use.allowed < 1 or not waiting:
        return []
    return [min(waiting, key=lambda each: (each.maintained_s, each.instance))]


@rollout_policy("continuous")
def continuous(
    waiting: list[Candidate], use: BudgetUse, busy_domains: set[str]
) -> list[Candidate]:
    """Use the whole budget, one data centre after the other.

    Within a data centre, instances without long requests come first,
    because a straggler delays the drain and its instance uses the budget
    until then.

    :param waiting: instances that need an outage.
    :param use: current use of the pool's budget.
    :param busy_domains: data centres with an outage in progress.
    """
    free = use.allowed - len(use.out)
    if free <= 0:
        return []
    ordered = sorted(
        waiting,
        key=lambda each: (
            each.data_centre not in busy_domains,
            each.data_centre if not busy_domains else "",
            each.long_work,
            each.maintained_s,
            each.instance,
        ),
    )
    return ordered[:free]
