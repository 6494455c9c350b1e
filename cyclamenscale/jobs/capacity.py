"""Which machines should change their pool, from the demand of the queues.

A pool that has more to run than its machines hold is hot. It gets machines
from the standby pool first, then from pools that don't need theirs; what
nobody needs goes back to the standby pool, whose machines cost nothing.

Demand that goes from pool to pool is foreseen: once two pools in a row have
become hot, the next one is expected after the same time, and it is the one
that was hot the longest time ago. A wrong forecast costs a few moves.
"""

from collections import Counter
from collections.abc import Iterable
from math import ceil
from typing import NamedTuple

from cyclamenscale.jobs.model import Machine

#: Share of a machine that is filled before another one is wanted.
TARGET_UTILIZATION = 0.9

#: A pool takes its turn once its short tasks need this share of the
#: machines that it had at first, and this share of what all pools need.
PEAK_INITIAL_SHARE = 0.35
PEAK_DEMAND_SHARE = 0.5

#: Pools that change the lead back and forth within this time are one turn.
MIN_PEAK_INTERVAL_S = 2.5

#: A pool gives a machine away only if the rest is filled up to this share.
RELEASE_UTILIZATION = 0.7

#: A machine that its pool does not need goes back after this time; a move
#: costs about as much as a second in a pool.
IDLE_TIMEOUT_S = 1.5

#: A machine that has arrived stays at least this long.
MIN_STAY_S = 1.0

#: Time before an expected turn at which machines set out: a move takes the
#: platform about 1.5 s, and the worker has to register.
LEAD_TIME_S = 2.3

#: An expected turn that does not come is given up after this time.
MISSED_PEAK_TIMEOUT_S = 1.5

#: Turns that are remembered.
PEAKS_LIMIT = 32

#: Spacings of turns that are taken for a rhythm may differ by this share.
INTERVAL_TOLERANCE = 0.4


class PoolLoad(NamedTuple):
    """What a pool has, and what it has to run.

    :ivar machines: machines in the pool, those on their way included.
    :ivar processors: processors of one machine.
    :ivar used: processors that its runs have set aside.
    :ivar waiting: processors that its waiting tasks need.
    :ivar lasting: processors of its lasting runs, a part of those used.
    """

    machines: int
    processors: float
    allocated: float
    waiting: float
    long_running: float = 0.0

    @property
    def demand(self) -> float:
        """Return the processors that could be in use now."""
        return self.allocated + self.waiting

    @property
    def short_demand(self) -> float:
        """Return the demand of tasks that do not last."""
        return self.demand - self.long_running

    @property
    def min_machines(self) -> int:
        """Return the number of machines below which none is given away."""
        return ceil(self.demand / (self.processors * RELEASE_UTILIZATION))

    @property
    def target_machines(self) -> int:
        """Return the number of machines that would hold the demand."""
        return ceil(self.demand / (self.processors * TARGET_UTILIZATION))


class MovableMachine(NamedTuple):
    """A machine that could be moved now.

    :ivar machine: the machine.
    :ivar runs: short runs on it, which have to end first.
    """

    machine: Machine
    runs: int


class DemandPeak(NamedTuple):
    """A time at which most of the demand came to a pool.

    :ivar pool: the pool.
    :ivar at_s: when it began.
    :ivar machines: most machines it wanted then.
    """

    pool: str
    started_s: float
    machines: int


class PeakForecast:
    """Learns the turns of the pools.

    :ivar hot: the pool whose turn it is, or empty.
    """

    def __init__(self):
        """Start without turns."""
        self.peaks: list[DemandPeak] = []
        self.peak_pool = ""

    def record(
        self,
        loads: dict[str, PoolLoad],
        initial_sizes: dict[str, int],
        now_s: float,
    ) -> bool:
        """Note whose turn it is.

        :param homes: machines that each pool had at first.
        :returns: whether a turn has begun.
        """
        total = sum(load.short_demand for load in loads.values())
        for pool, load in loads.items():
            if pool == self.peak_pool:
                self.update_peak(pool, load.target_machines)
            elif (
                load.short_demand
                > PEAK_INITIAL_SHARE
                * initial_sizes.get(pool, 1)
                * load.processors
                and load.short_demand > PEAK_DEMAND_SHARE * total
                and not self.resumes_previous_peak(pool, now_s)
            ):
                self.peak_pool = pool
                self.peaks.append(
                    DemandPeak(pool, now_s, load.target_machines)
                )
                del self.peaks[:-PEAKS_LIMIT]
                return True
        return False

    def resumes_previous_peak(self, pool: str, now_s: float) -> bool:
        """Return whether a pool had the turn just before the latest one."""
        if len(self.peaks) < 2:
            return False
        recent = now_s - self.peaks[-1].started_s < MIN_PEAK_INTERVAL_S
        return recent and self.peaks[-2].pool == pool

    def update_peak(self, pool: str, machines: int) -> None:
        """Note how many machines the latest turn of a pool wants."""
        for index in range(len(self.peaks) - 1, -1, -1):
            peak = self.peaks[index]
            if peak.pool == pool:
                if machines > peak.machines:
                    self.peaks[index] = peak._replace(machines=machines)
                return

    def interval_s(self) -> float:
        """Return the time between turns, 0 if there is no rhythm."""
        starts = [turn.started_s for turn in self.peaks]
        intervals = [b - a for a, b in zip(starts, starts[1:], strict=False)][
            -3:
        ]
        if len(intervals) < 2:
            return 0.0
        mean_s = sum(intervals) / len(intervals)
        if any(
            abs(gap - mean_s) > INTERVAL_TOLERANCE * mean_s
            for gap in intervals
        ):
            return 0.0
        return mean_s

    def expected_peak(
        self, pools: Iterable[str], now_s: float
    ) -> DemandPeak | None:
        """Return the turn to prepare for now, if there is one.

        :param pools: the pools that take turns.
        """
        interval_s = self.interval_s()
        if not interval_s:
            return None
        last = self.peaks[-1]
        due_s = last.started_s + interval_s
        pool = self.next_peak_pool(pools)
        if (
            not pool
            or not due_s - LEAD_TIME_S
            <= now_s
            <= due_s + MISSED_PEAK_TIMEOUT_S
        ):
            return None
        previous = self.latest_peaks().get(pool, last)
        return DemandPeak(pool, due_s, previous.machines)

    def latest_peaks(self) -> dict[str, DemandPeak]:
        """Return the latest turn of each pool."""
        return {turn.pool: turn for turn in self.peaks}

    def next_peak_pool(self, pools: Iterable[str]) -> str:
        """Return the pool that had its turn the longest time ago."""
        latest = self.latest_peaks()
        others = [pool for pool in pools if pool != self.peak_pool]
        return min(
            others,
            key=lambda pool: latest[pool].started_s if pool in latest else 0.0,
            default="",
        )


class CapacityPlanner:
    """Decides on moves between pools; pure.

    :ivar rhythm: the turns of the pools.
    :ivar homes: machines that each pool had when it was first seen.
    """

    def __init__(self):
        """Start without history."""
        self.forecast = PeakForecast()
        self.initial_sizes: dict[str, int] = {}
        self.unneeded_since_s: dict[str, float] = {}

    def min_sizes(self, pools: Iterable[str]) -> dict[str, int]:
        """Return how many machines each pool keeps without demand.

        The pool that is next in turn keeps its own, since the time of the
        turn is an estimate. While no rhythm is known, all do.
        """
        pools = list(pools)
        periodic = bool(self.forecast.interval_s())
        next_pool = self.forecast.next_peak_pool(pools)
        return {
            pool: 1
            if periodic and pool != next_pool
            else self.initial_sizes.get(pool, 1)
            for pool in pools
        }

    def plan_moves(
        self,
        loads: dict[str, PoolLoad],
        standby: str,
        movable: list[MovableMachine],
        now_s: float,
    ) -> list[tuple[Machine, str]]:
        """Return the moves to start now.

        :param loads: load of each pool that has queues.
        :param standby: pool whose machines are off, empty if there is none.
        :param spares: machines that may be moved, standby ones included.
        :returns: machines with their target pools.
        """
        for pool, load in loads.items():
            self.initial_sizes.setdefault(pool, load.machines)
        self.forecast.record(loads, self.initial_sizes, now_s)
        target_machines = {
            pool: load.target_machines for pool, load in loads.items()
        }
        min_sizes = self.min_sizes(loads)
        min_machines = {
            pool: max(load.min_machines, min_sizes[pool])
            for pool, load in loads.items()
        }
        peak = self.forecast.expected_peak(loads, now_s)
        if peak:
            target_machines[peak.pool] = max(
                target_machines[peak.pool], peak.machines
            )
            min_machines[peak.pool] = max(
                min_machines[peak.pool], peak.machines
            )
        shortages = Counter()
        for pool, load in loads.items():
            has_demand = load.waiting > 0 or (peak and pool == peak.pool)
            if has_demand and target_machines[pool] > load.machines:
                shortages[pool] = target_machines[pool] - load.machines
        return self.assign_machines(
            loads, standby, movable, shortages, min_machines, now_s
        )

    def assign_machines(
        self,
        loads: dict[str, PoolLoad],
        standby: str,
        movable: list[MovableMachine],
        shortages: Counter,
        min_machines: dict[str, int],
        now_s: float,
    ) -> list[tuple[Machine, str]]:
        """Return the moves that fill what is short.

        :param short: machines that pools lack.
        :param needed: machines that pools keep.
        """
        moved_away: Counter[str] = Counter()
        moves = []
        for candidate in sorted(
            movable,
            key=lambda candidate: (
                candidate.machine.pool != standby,
                candidate.runs,
            ),
        ):
            source = candidate.machine.pool
            if source in loads:
                remaining = loads[source].machines - moved_away[source]
                if remaining <= min_machines[source]:
                    self.unneeded_since_s.pop(candidate.machine.name, None)
                    continue
            target = self.most_short_pool(shortages, source)
            if target:
                shortages[target] -= 1
            elif (
                source != standby
                and standby
                and self.is_idle(candidate, now_s)
            ):
                target = standby
            else:
                continue
            moved_away[source] += 1
            self.unneeded_since_s.pop(candidate.machine.name, None)
            moves.append((candidate.machine, target))
        return moves

    def most_short_pool(self, shortages: Counter, source: str) -> str:
        """Return the pool that lacks most machines, or an empty text."""
        short_pools = [
            p for p, n in shortages.items() if n > 0 and p != source
        ]
        return max(short_pools, key=lambda pool: shortages[pool], default="")

    def is_idle(self, candidate: MovableMachine, now_s: float) -> bool:
        """Return whether a machine has not been needed for a while."""
        if candidate.runs:
            self.unneeded_since_s.pop(candidate.machine.name, None)
            return False
        since_s = self.unneeded_since_s.setdefault(
            candidate.machine.name, now_s
        )
        return now_s - since_s > IDLE_TIMEOUT_S
