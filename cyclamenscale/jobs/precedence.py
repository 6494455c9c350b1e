"""Order in which entries may try to become the leader.

Pure. The leader carries the polls, orders and writes for all workers, so
the entries with the most capacity go first and the others wait a little.
Nothing depends on absolute sizes, so that entries of one size are equals.
"""

from cyclamenscale.jobs.model import EntryCapacity
from cyclamenscale.settings import EntrySettings

#: Entries whose capacity differs by less than this factor are equals.
EQUALITY_FACTOR = 1.5

#: Time that each tier waits longer than the one above it. Longer than the
#: batching of watch events, the period of the election and its jitter
#: together, so that the upper tier has tried by then.
TIER_DELAY_S = 0.3

#: Tiers below this one wait no longer than it does.
MAX_DELAYED_TIER = 2

#: Delay of an entry that lets all others go first.
LONGEST_DELAY_S = (MAX_DELAYED_TIER + 1) * TIER_DELAY_S


def capacity_of(entry: EntrySettings) -> EntryCapacity:
    """Return the capacity that an entry's settings describe."""
    processors = entry.processors * entry.processor_share
    return EntryCapacity(processors, entry.link_mbps)


def scarcest_shares(capacities: dict[str, EntryCapacity]) -> dict[str, float]:
    """Return each entry's capacity as a share of the largest.

    The scarcest resource of an entry counts, as it limits the leader. An
    unknown amount counts as the largest.
    """
    largest = EntryCapacity(*map(max, zip(*capacities.values(), strict=True)))
    return {
        name: min(
            amount / most if amount else 1.0
            for amount, most in zip(capacity, largest, strict=True)
        )
        for name, capacity in capacities.items()
    }


def rank_tiers(capacities: dict[str, EntryCapacity]) -> dict[str, int]:
    """Group entries of about the same capacity into tiers.

    :param capacities: capacities by entry, at least one.
    :returns: tiers by entry; those with the most capacity are in tier 0.
    """
    shares = scarcest_shares(capacities)
    tiers = {}
    tier, top = 0, max(shares.values())
    for name in sorted(shares, key=shares.get, reverse=True):
        if shares[name] * EQUALITY_FACTOR < top:
            tier, top = tier + 1, shares[name]
        tiers[name] = tier
    return tiers


def tier_delay_s(tier: int) -> float:
    """Return how long a tier leaves a vacancy to the tiers above it."""
    return min(tier, MAX_DELAYED_TIER) * TIER_DELAY_S
