"""Which instances should move between pools, from learned demand.

Pure; :mod:`cyclamenscale.fleet.controller` carries moves out. A pool's
controller learns the envelope of its demand and publishes how many
instances the pool wants; donors with more than they want are matched with
pools that have too few. Policies that size a pool are kept in a registry.
"""

from collections import deque
from collections.abc import Callable, Iterable
from itertools import accumulate
from math import ceil
from random import Random
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from cyclamenscale.fleet.budget import MoveRecord, allowed_out
from cyclamenscale.model import RequestClass
from cyclamenscale.settings import FleetSettings

HOUR_S = 3600.0

#: Time buckets of an envelope: the window's end moves in steps of a sixth.
BUCKETS = 6

#: Slots in one pool; demand above is counted as this.
DEMAND_LIMIT = 1_000_000
SIGNIFICANT_DIGITS = 2

#: Samples before a pool's demand counts as learned: a minute of ticks.
MIN_SAMPLES = 60

#: Samples behind the capacity that the latest demand asks for; with ticks of
#: a second this is four times :data:`PATIENCE_LIMIT_S`.
LATEST_LIMIT = 60

#: Share of its target that a class may spend waiting for a slot; the rest
#: is for its run time.
MAX_WAIT_SHARE = 0.8

#: Longest wait that sizing a pool counts on.
MAX_WAIT_LIMIT_S = 15.0

#: Quantile of demand that a pool's capacity covers, by objective.
PERCENTILES = {"wait_and_rollout": 99.0, "buffer_and_moves": 95.0}

#: A class whose target is this many times below that of another class of
#: its pool is short relative to it, and queues behind it if slots run out.
SHORT_FACTOR = 8.0


class Bucket:
    """Demand within a part of the window."""

    def __init__(self, started_s: float):
        """Start empty."""
        self.started_s = started_s
        self.histogram = HdrHistogram(1, DEMAND_LIMIT, SIGNIFICANT_DIGITS)
        self.sum = 0.0


class DemandEnvelope:
    """Capacity that one pool's demand asked for, over a sliding window.

    A sample is the least capacity with which the latest demand meets the
    shortest target. Work that may wait for a time ``T`` needs the rate
    ``max(work of L seconds / (L + T))`` over all intervals of length ``L``
    that end now (arrival curve and service rate of network calculus), so a
    burst shorter than the target needs less than its peak.

    Histograms of :data:`BUCKETS` parts of the window bound the memory to
    about 150 KB whatever the rate of samples.

    :param settings: the fleet's settings.
    """

    def __init__(self, settings: FleetSettings):
        """Start without samples."""
        self.tick_s = settings.tick_s
        self.bucket_s = settings.envelope_s / BUCKETS
        self.buckets: deque[Bucket] = deque(maxlen=BUCKETS)
        self.latest: deque[float] = deque(maxlen=LATEST_LIMIT)

    def record(self, demand: float, now_s: float, max_wait_s: float) -> None:
        """Add a sample; called once a tick.

        :param demand: slots in use, plus slots that clear the waiting work
            within its targets.
        :param now_s: seconds since the epoch.
        :param patience_s: how long the pool's shortest class may wait.
        """
        last = self.buckets[-1] if self.buckets else None
        if last is None or now_s - last.started_s >= self.bucket_s:
            last = Bucket(now_s)
            self.buckets.append(last)
        window_s = self.bucket_s * BUCKETS
        while self.buckets[0].started_s <= now_s - window_s:
            self.buckets.popleft()
        self.latest.appendleft(demand)
        max_wait_ticks = max_wait_s / self.tick_s
        needed = max(
            work / (length + max_wait_ticks)
            for length, work in enumerate(accumulate(self.latest), 1)
        )
        last.histogram.record_value(min(max(1, ceil(needed)), DEMAND_LIMIT))
        last.sum += demand

    @property
    def count(self) -> int:
        """Return the number of samples in the window."""
        return sum(each.histogram.total_count for each in self.buckets)

    def mean(self) -> float:
        """Return the mean demand in slots."""
        return sum(each.sum for each in self.buckets) / max(1, self.count)

    def percentile(self, percent: float) -> float:
        """Return a quantile of the capacity asked for, in slots."""
        merged = HdrHistogram(1, DEMAND_LIMIT, SIGNIFICANT_DIGITS)
        for each in self.buckets:
            merged.add(each.histogram)
        return merged.get_value_at_percentile(percent)


def max_wait_s(classes: Iterable[RequestClass]) -> float:
    """Return how long the most urgent class of a pool may wait."""
    shortest_ms = min((each.finish_within_ms for each in classes), default=0)
    return min(shortest_ms / 1000 * MAX_WAIT_SHARE, MAX_WAIT_LIMIT_S)


class PoolState(NamedTuple):
    """What a decision on moves knows of a pool.

    :ivar name: name of the pool.
    :ivar spare: whether it is the spare pool.
    :ivar size: its members, with those that are joining and without those
        that are to leave.
    :ivar wanted: instances it wants, or None if that is not known.
    :ivar moves: its latest moves.
    :ivar removable: instances that its budget lets go at once.
    """

    name: str
    spare: bool
    size: int
    wanted: int | None
    moves: tuple[MoveRecord, ...] = ()
    removable: int = 0


class Move(NamedTuple):
    """One instance of the donor goes to the receiver."""

    donor: str
    receiver: str


SizingPolicy = Callable[
    [DemandEnvelope, tuple[RequestClass, ...], float, FleetSettings], int
]

SIZING_POLICIES: dict[str, SizingPolicy] = {}


def sizing_policy(name: str) -> Callable[[SizingPolicy], SizingPolicy]:
    """Register a policy that tells how many instances a pool wants."""

    def register(function: SizingPolicy) -> SizingPolicy:
        SIZING_POLICIES[name] = function
        return function

    return register


def has_short_class(classes: Iterable[RequestClass]) -> bool:
    """Return whether a class is short relative to another one."""
    targets = [each.finish_within_ms for each in classes]
    return bool(targets) and max(targets) >= SHORT_FACTOR * min(targets)


@sizing_policy("envelope")
def size_for_envelope(
    envelope: DemandEnvelope,
    classes: tuple[RequestClass, ...],
    slots_per_instance: float,
    settings: FleetSettings,
) -> int:
    """Cover a high quantile of demand while instances are out of service.

    ``wait_and_rollout`` covers it with the whole budget in use,
    ``buffer_and_moves`` covers a lower one with all instances live. A pool
    with a class that is short relative to its others always gets the higher
    quantile, so that short work does not queue behind long work.

    :param learned: the pool's demand.
    :param classes: the pool's classes.
    :param slots: slots of one instance.
    :param settings: the fleet's settings.
    """
    relies_on_moves = settings.objective == "buffer_and_moves"
    percent = PERCENTILES[settings.objective]
    if has_short_class(classes):
        percent = max(PERCENTILES.values())
    needed = max(1, ceil(envelope.percentile(percent) / slots_per_instance))
    if relies_on_moves:
        return needed
    size = needed
    while classes and size - allowed_out(size, classes) < needed:
        size += 1
        # A target that lets the whole pool be out asks for no spare.
        if size > 2 * needed:
            return 2 * needed
    return size


@sizing_policy("fixed_buffer")
def size_with_fixed_buffer(
    envelope: DemandEnvelope,
    classes: tuple[RequestClass, ...],
    slots_per_instance: float,
    settings: FleetSettings,
) -> int:
    """Keep a fixed number of instances above the mean demand (baseline)."""
    return (
        max(1, ceil(envelope.mean() / slots_per_instance))
        + settings.buffer_instances
    )


def wanted_instances(
    envelope: DemandEnvelope,
    classes: tuple[RequestClass, ...],
    slots_per_instance: float,
    settings: FleetSettings,
) -> int | None:
    """Return how many instances a pool wants, None while it is not known."""
    # A short window with long ticks never holds SAMPLES_MIN.
    window_samples = settings.envelope_s / settings.tick_s
    if envelope.count < min(MIN_SAMPLES, window_samples / 2):
        return None
    return SIZING_POLICIES[settings.moves](
        envelope, classes, slots_per_instance, settings
    )


def recent_moves(
    moves: Iterable[MoveRecord], now_s: float, settings: FleetSettings
) -> tuple[MoveRecord, ...]:
    """Return the moves that still count for the rate or the payback."""
    retention_s = max(HOUR_S, settings.payback_s)
    return tuple(
        each for each in moves if now_s - each.started_s < retention_s
    )


def may_move(
    donor: PoolState, receiver: PoolState, now_s: float, settings
) -> bool:
    """Return whether rate and payback allow a move.

    Within the payback time a pool that received lends nothing, and a pool
    that lent receives nothing. For the spare pool this holds towards each
    other pool alone, as it lends to one while it gets back from another.
    """
    for pool in (donor, receiver):
        last_hour = [
            each for each in pool.moves if now_s - each.started_s < HOUR_S
        ]
        if len(last_hour) >= settings.moves_per_hour:
            return False
    for pool, other, incoming in (
        (donor, receiver, True),
        (receiver, donor, False),
    ):
        for move in pool.moves:
            reverses = move.incoming == incoming
            if now_s - move.started_s >= settings.payback_s or not reverses:
                continue
            if not pool.spare or move.other == other.name:
                return False
    return True


def plan_moves(
    pools: Iterable[PoolState],
    now_s: float,
    settings: FleetSettings,
    rng: Random,
) -> list[Move]:
    """Match pools that have too many instances with pools that lack some.

    The pools lacking most come first. Each is served from the spare pool if
    that has more than it wants, else from the donor with most to spare; the
    spare pool then gets back what is left over.

    :param pools: all pools; those without a known want are left alone.
    :param now_s: seconds since the epoch.
    :param settings: the fleet's settings.
    :param rng: breaks ties.
    """
    states = {each.name: each for each in pools if each.wanted is not None}
    names = sorted(states)
    rng.shuffle(names)
    # Margin before an instance goes back: one above the want, since a want
    # that varies by one would cost a drain and a reboot each time.
    margin = 0 if settings.objective == "wait_and_rollout" else 1
    planned: list[Move] = []

    def surplus(name: str) -> int:
        return states[name].size - states[name].wanted

    def add_move(receiver: str, donors: list[str]) -> bool:
        for donor in donors:
            if states[donor].removable <= 0 or not may_move(
                states[donor], states[receiver], now_s, settings
            ):
                continue
            planned.append(Move(donor, receiver))
            for pool, other, incoming in (
                (donor, receiver, False),
                (receiver, donor, True),
            ):
                before = states[pool]
                move = MoveRecord(now_s, other, incoming)
                states[pool] = before._replace(
                    size=before.size + (1 if incoming else -1),
                    removable=before.removable - (0 if incoming else 1),
                    moves=(*before.moves, move),
                )
            return True
        return False

    for receiver in sorted(names, key=surplus):
        while surplus(receiver) < 0:
            donors = [
                name
                for name in names
                if name != receiver and surplus(name) > 0
            ]
            donors.sort(key=lambda n: (not states[n].spare, -surplus(n)))
            if not add_move(receiver, donors):
                break
    spare = next((name for name in names if states[name].spare), None)
    for donor in names if spare else []:
        while donor != spare and surplus(donor) > margin:
            if not add_move(spare, [donor]):
                break
    return planned
