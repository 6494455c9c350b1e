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

from cyclamenscale.fleet.budget import MoveNote, allowed_out
from cyclamenscale.model import RequestClass
from cyclamenscale.settings import FleetSettings

HOUR_S = 3600.0

#: Time buckets of an envelope: the window's end moves in steps of a sixth.
BUCKETS = 6

#: Slots in one pool; demand above is counted as this.
DEMAND_LIMIT = 1_000_000
DIGITS = 2

#: Samples before a pool's demand counts as learned: a minute of ticks.
SAMPLES_MIN = 60

#: Samples behind the capacity that the latest demand asks for; with ticks of
#: a second this is four times :data:`PATIENCE_LIMIT_S`.
LATEST_LIMIT = 60

#: Share of its target that a class may spend waiting for a slot; the rest
#: is for its run time.
PATIENCE_SHARE = 0.8

#: Longest wait that sizing a pool counts on.
PATIENCE_LIMIT_S = 15.0

#: Quantile of demand that a pool's capacity covers, by objective.
QUANTILES = {"wait_and_rollout": 99.0, "buffer_and_moves": 95.0}

#: A class whose target is this many times below that of another class of
#: its pool is short relative to it, and queues behind it if slots run out.
SHORT_FACTOR = 8.0


class Bucket:
    """Demand within a part of the window."""

    def __init__(self, started_s: float):
        """Start empty."""
        self.started_s = started_s
        self.histogram = HdrHistogram(1, DEMAND_LIMIT, DIGITS)
        self.sum = 0.0


class Envelope:
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
        self.part_s = settings.envelope_s / BUCKETS
        self.buckets: deque[Bucket] = deque(maxlen=BUCKETS)
        self.latest: deque[float] = deque(maxlen=LATEST_LIMIT)

    def record(self, demand: float, now_s: float, patience_s: float) -> None:
        """Add a sample; called once a tick.

        :param demand: slots in use, plus slots that clear the waiting work
            within its targets.
        :param now_s: seconds since the epoch.
        :param patience_s: how long the pool's shortest class may wait.
        """
        last = self.buckets[-1] if self.buckets else None
        if last is None or now_s - last.started_s >= self.part_s:
            last = Bucket(now_s)
            self.buckets.append(last)
        window_s = self.part_s * BUCKETS
        while self.buckets[0].started_s <= now_s - window_s:
            self.buckets.popleft()
        self.latest.appendleft(demand)
        patience = patience_s / self.tick_s
        needed = max(
            work / (length + patience)
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

    def quantile(self, percent: float) -> float:
        """Return a quantile of the capacity asked for, in slots."""
        merged = HdrHistogram(1, DEMAND_LIMIT, DIGITS)
        for each in self.buckets:
            merged.add(each.histogram)
        return merged.get_value_at_percentile(percent)


def patience_s(classes: Iterable[RequestClass]) -> float:
    """Return how long the most urgent class of a pool may wait."""
    shortest_ms = min((each.finish_within_ms for each in classes), default=0)
    return min(shortest_ms / 1000 * PATIENCE_SHARE, PATIENCE_LIMIT_S)


class PoolState(NamedTuple):
    """What a decision on moves knows of a pool.

    :ivar name: name of the pool.
    :ivar spare: whether it is the spare pool.
    :ivar size: its members, with those that are joining and without those
        that are to leave.
    :ivar wanted: instances it wants, or None if that is not known.
    :ivar moves: its latest moves.
    :ivar may_lend: instances that its budget lets go at once.
    """

    name: str
    spare: bool
    size: int
    wanted: int | None
    moves: tuple[MoveNote, ...] = ()
    may_lend: int = 0


class Move(NamedTuple):
    """One instance of the donor goes to the receiver."""

    donor: str
    receiver: str


MovePolicy = Callable[
    [Envelope, tuple[RequestClass, ...], float, FleetSettings], int
]

MOVE_POLICIES: dict[str, MovePolicy] = {}


def move_policy(name: str) -> Callable[[MovePolicy], MovePolicy]:
    """Register a policy that tells how many instances a pool wants."""

    def register(function: MovePolicy) -> MovePolicy:
        MOVE_POLICIES[name] = function
        return function

    return register


def has_short_class(classes: Iterable[RequestClass]) -> bool:
    """Return whether a class is short relative to another one."""
    targets = [each.finish_within_ms for each in classes]
    return bool(targets) and max(targets) >= SHORT_FACTOR * min(targets)


@move_policy("envelope")
def envelope(
    learned: Envelope,
    classes: tuple[RequestClass, ...],
    slots: float,
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
    saving = settings.objective == "buffer_and_moves"
    percent = QUANTILES[settings.objective]
    if has_short_class(classes):
        percent = max(QUANTILES.values())
    needed = max(1, ceil(learned.quantile(percent) / slots))
    if saving:
        return needed
    size = needed
    while classes and size - allowed_out(size, classes) < needed:
        size += 1
        # A target that lets the whole pool be out asks for no spare.
        if size > 2 * needed:
            return 2 * needed
    return size


@move_policy("fixed_buffer")
def fixed_buffer(
    learned: Envelope,
    classes: tuple[RequestClass, ...],
    slots: float,
    settings: FleetSettings,
) -> int:
    """Keep a fixed number of instances above the mean demand (baseline)."""
    return max(1, ceil(learned.mean() / slots)) + settings.buffer_instances


def wanted_instances(
    learned: Envelope,
    classes: tuple[RequestClass, ...],
    slots: float,
    settings: FleetSettings,
) -> int | None:
    """Return how many instances a pool wants, None while it is not known."""
    # A short window with long ticks never holds SAMPLES_MIN.
    whole = settings.envelope_s / settings.tick_s
    if learned.count < min(SAMPLES_MIN, whole / 2):
        return None
    return MOVE_POLICIES[settings.moves](learned, classes, slots, settings)


def recent(
    moves: Iterable[MoveNote], now_s: float, settings: FleetSettings
) -> tuple[MoveNote, ...]:
    """Return the moves that still count for the rate or the payback."""
    kept_s = max(HOUR_S, settings.payback_s)
    return tuple(each for each in moves if now_s - each.started_s < kept_s)


def may_move(
    donor: PoolState, receiver: PoolState, now_s: float, settings
) -> bool:
    """Return whether rate and payback allow a move.

    Within the payback time a pool that received lends nothing, and a pool
    that lent receives nothing. For the spare pool this holds towards each
    other pool alone, as it lends to one while it gets back from another.
    """
    for pool in (donor, receiver):
        hour = [each for each in pool.moves if now_s - each.started_s < HOUR_S]
        if len(hour) >= settings.moves_per_hour:
            return False
    for pool, other, incoming in (
        (donor, receiver, True),
        (receiver, donor, False),
    ):
        for note in pool.moves:
            against = note.incoming == incoming
            if now_s - note.started_s >= settings.payback_s or not against:
                continue
            if not pool.spare or note.other == other.name:
                return False
    return True


def pick_moves(
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
    state = {each.name: each for each in pools if each.wanted is not None}
    order = sorted(state)
    rng.shuffle(order)
    # Margin before an instance goes back: one above the want, since a want
    # that varies by one would cost a drain and a reboot each time.
    margin = 0 if settings.objective == "wait_and_rollout" else 1
    found: list[Move] = []

    def surplus(name: str) -> int:
        return state[name].size - state[name].wanted

    def transfer(receiver: str, donors: list[str]) -> bool:
        for donor in donors:
            if state[donor].may_lend <= 0 or not may_move(
                state[donor], state[receiver], now_s, settings
            ):
                continue
            found.append(Move(donor, receiver))
            for pool, other, incoming in (
                (donor, receiver, False),
                (receiver, donor, True),
            ):
                before = state[pool]
                note = MoveNote(now_s, other, incoming)
                state[pool] = before._replace(
                    size=before.size + (1 if incoming else -1),
                    may_lend=before.may_lend - (0 if incoming else 1),
                    moves=(*before.moves, note),
                )
            return True
        return False

    for receiver in sorted(order, key=surplus):
        while surplus(receiver) < 0:
            donors = [
                name
                for name in order
                if name != receiver and surplus(name) > 0
            ]
            donors.sort(key=lambda n: (not state[n].spare, -surplus(n)))
            if not transfer(receiver, donors):
                break
    spare = next((name for name in order if state[name].spare), None)
    for donor in order if spare else []:
        while donor != spare and surplus(donor) > margin:
            if not transfer(spare, [donor]):
                break
    return found
