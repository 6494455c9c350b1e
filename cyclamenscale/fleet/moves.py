"""Sizing of pools and planning of moves between them, from past demand.

The functions are pure; :mod:`cyclamenscale.fleet.mover` carries out the
moves. A pool's controller records the envelope of its demand and publishes
how many instances the pool wants. Donors, which have more than they want,
are matched with receivers, which have fewer. Policies that size a pool are
registered by name.
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

#: Time buckets of an envelope. The window advances by one bucket, a sixth of
#: its length.
BUCKETS = 6

#: Largest demand of one pool in slots; larger values are recorded as this.
DEMAND_LIMIT = 1_000_000

#: Significant decimal digits of the histograms.
SIGNIFICANT_DIGITS = 2

#: Samples needed before a pool is sized: a minute with ticks of a second.
MIN_SAMPLES = 60

#: Latest samples from which the needed capacity is computed. With ticks of a
#: second they span four times :data:`MAX_WAIT_LIMIT_S`.
LATEST_LIMIT = 60

#: Share of a class's target that a request may wait for a slot; the rest is
#: for its run time.
MAX_WAIT_SHARE = 0.8

#: Upper bound in seconds of the wait that the sizing of a pool assumes.
MAX_WAIT_LIMIT_S = 15.0

#: Percentile of the needed capacity that a pool covers, by objective.
PERCENTILES = {"wait_and_rollout": 99.0, "buffer_and_moves": 95.0}

#: A class is short relative to another class of its pool if its target is
#: smaller by this factor. Its requests queue behind the other's if slots run
#: out.
SHORT_FACTOR = 8.0


class Bucket:
    """Samples of one part of the window.

    :param started_s: start time, seconds since the epoch.

    :ivar histogram: needed capacity in slots.
    :ivar sum: sum of the demand samples in slots.
    """

    def __init__(self, started_s: float):
        """Initialise without samples."""
        self.started_s = started_s
        self.histogram = HdrHistogram(1, DEMAND_LIMIT, SIGNIFICANT_DIGITS)
        self.sum = 0.0


class DemandEnvelope:
    """Distribution of one pool's needed capacity over a sliding window.

    A sample is the smallest capacity with which the latest demand meets the
    shortest target. Work that may wait for a time ``T`` needs the rate
    ``max(work of L seconds / (L + T))`` over all intervals of length ``L``
    that end now (arrival curve and service rate of network calculus), so a
    burst shorter than the target needs less than its peak.

    The window is kept as :data:`BUCKETS` histograms, which limit the memory
    to about 150 KB at any rate of samples.

    :param settings: section ``[fleet]`` of the settings.
    """

    def __init__(self, settings: FleetSettings):
        """Initialise without samples."""
        self.tick_s = settings.tick_s
        self.bucket_s = settings.envelope_s / BUCKETS
        self.buckets: deque[Bucket] = deque(maxlen=BUCKETS)
        self.latest: deque[float] = deque(maxlen=LATEST_LIMIT)

    def record(self, demand: float, now_s: float, max_wait_s: float) -> None:
        """Add a sample; called once per tick.

        :param demand: slots in use, plus the slots needed to complete the
            waiting work within its targets.
        :param now_s: seconds since the epoch.
        :param max_wait_s: time that requests of the pool's shortest class
            may wait.
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
        """Return a percentile of the needed capacity, in slots."""
        merged = HdrHistogram(1, DEMAND_LIMIT, SIGNIFICANT_DIGITS)
        for each in self.buckets:
            merged.add(each.histogram)
        return merged.get_value_at_percentile(percent)


def max_wait_s(classes: Iterable[RequestClass]) -> float:
    """Return how long requests of a pool's shortest class may wait."""
    shortest_ms = min((each.finish_within_ms for each in classes), default=0)
    return min(shortest_ms / 1000 * MAX_WAIT_SHARE, MAX_WAIT_LIMIT_S)


class PoolState(NamedTuple):
    """State of a pool from which moves are planned.

    :ivar name: name of the pool.
    :ivar spare: whether it is the spare pool.
    :ivar size: number of its instances, including those that are joining and
        excluding those whose move to another pool has started.
    :ivar wanted: number of instances that it wants, None if unknown.
    :ivar moves: its recent moves.
    :ivar removable: number of instances that its budget allows to take out
        now.
    """

    name: str
    spare: bool
    size: int
    wanted: int | None
    moves: tuple[MoveRecord, ...] = ()
    removable: int = 0


class Move(NamedTuple):
    """Move of one instance from the donor pool to the receiver pool."""

    donor: str
    receiver: str


SizingPolicy = Callable[
    [DemandEnvelope, tuple[RequestClass, ...], float, FleetSettings], int
]

SIZING_POLICIES: dict[str, SizingPolicy] = {}


def sizing_policy(name: str) -> Callable[[SizingPolicy], SizingPolicy]:
    """Register a policy that computes how many instances a pool wants.

    :param name: value of ``[fleet] moves`` that selects it.
    """

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
    """Cover a high percentile of the needed capacity.

    ``wait_and_rollout`` covers it while the whole budget is out of service;
    ``buffer_and_moves`` covers a lower percentile with all instances live.
    A pool with a class that is short relative to another always gets the
    higher percentile, so that short requests do not queue behind long ones.

    :param envelope: demand envelope of the pool.
    :param classes: request classes of the pool.
    :param slots_per_instance: mean number of slots of an instance.
    :param settings: section ``[fleet]`` of the settings.
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
        # A target that allows the whole pool out requires no spare capacity.
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
    """Return how many instances a pool wants.

    :returns: None while there are too few samples.
    """
    # A short window with long ticks never holds MIN_SAMPLES.
    window_samples = settings.envelope_s / settings.tick_s
    if envelope.count < min(MIN_SAMPLES, window_samples / 2):
        return None
    return SIZING_POLICIES[settings.moves](
        envelope, classes, slots_per_instance, settings
    )


def recent_moves(
    moves: Iterable[MoveRecord], now_s: float, settings: FleetSettings
) -> tuple[MoveRecord, ...]:
    """Return the moves that still count for the rate or payback time."""
    retention_s = max(HOUR_S, settings.payback_s)
    return tuple(
        each for each in moves if now_s - each.started_s < retention_s
    )


def may_move(
    donor: PoolState, receiver: PoolState, now_s: float, settings
) -> bool:
    """Return whether the rate limit and the payback time allow a move.

    Within the payback time a receiver gives no instance away, and a donor
    receives none. For the spare pool this applies to each other pool
    separately, because it gives to one while it receives from another.
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
    """Match pools that have a surplus of instances with pools that lack some.

    The pools that lack most instances come first. Each receives from the
    spare pool if that has a surplus, else from the pool with the largest
    surplus. The spare pool then receives the remaining surplus.

    :param pools: all pools; those whose wanted size is unknown are skipped.
    :param now_s: seconds since the epoch.
    :param settings: section ``[fleet]`` of the settings.
    :param rng: breaks ties between pools.
    """
    states = {each.name: each for each in pools if each.wanted is not None}
    names = sorted(states)
    rng.shuffle(names)
    # Surplus that a pool keeps before an instance returns to the spare pool.
    # Without it, a wanted size that varies by one would cause a drain and a
    # reboot each time.
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
