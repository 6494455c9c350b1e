"""Plans moves of machines between pools from the demand of the queues.

A pool with more demand than its machines can serve gets machines from the
standby pool first, then from pools that don't need theirs. Machines that no
pool needs return to the standby pool, where they cost nothing.

Demand peaks that rotate through the pools are forecast: once peaks follow
each other at regular intervals, the next one is expected after the same
time, in the pool whose last peak is the longest ago. A wrong forecast costs
a few moves.
"""

from collections import Counter
from collections.abc import Iterable
from math import ceil
from typing import NamedTuple

from cyclamenscale.jobs.model import Machine

#: Utilization of a pool's machines above which it needs another one.
TARGET_UTILIZATION = 0.9

#: A pool's peak begins once its arriving work needs this share of the pool's
#: initial machines, and is this share of the work that arrives at all pools.
PEAK_INITIAL_SHARE = 0.35
PEAK_DEMAND_SHARE = 0.5

#: Two pools that alternate as the busiest within this time have one peak.
MIN_PEAK_INTERVAL_S = 2.5

#: A pool gives a machine away only if the utilization of the remaining ones
#: stays within this share.
RELEASE_UTILIZATION = 0.7

#: Share of its initial machines that a pool without much demand keeps while
#: another pool lacks machines.
LENDING_RESERVE_SHARE = 0.6

#: A machine that its pool does not need returns to the standby pool after
#: this time; a move costs about as much as a second in a pool.
IDLE_TIMEOUT_S = 1.5

#: Minimum time that a machine stays in a pool after its arrival.
MIN_STAY_S = 1.0

#: Time before an expected peak at which machines start to move: a move takes
#: the platform about 1.5 s, and the worker has to register.
LEAD_TIME_S = 2.3

#: An expected peak that does not begin is dropped after this time.
MISSED_PEAK_TIMEOUT_S = 1.5

#: Number of recent peaks that are kept.
PEAKS_LIMIT = 32

#: Peaks are periodic if their intervals deviate from the mean by at most
#: this share.
INTERVAL_TOLERANCE = 0.4


class PoolLoad(NamedTuple):
    """Machines of a pool and the demand of its tasks.

    :ivar machines: machines that the pool can use, including those moving
        there.
    :ivar processors: processors of one machine.
    :ivar allocated: processors that its runs need.
    :ivar waiting: processors that its waiting tasks need.
    :ivar long_running: the part of ``allocated`` that belongs to
        long-running tasks.
    :ivar arriving: processors that the arriving work will need soon.
    :ivar certain: processors that it certainly needs now.
    :ivar absent: machines of the pool that are down or don't respond.
    """

    machines: int
    processors: float
    allocated: float
    waiting: float
    long_running: float = 0.0
    arriving: float = 0.0
    certain: float = 0.0
    absent: int = 0

    @property
    def demand(self) -> float:
        """Return the processors that running and waiting tasks need."""
        return self.allocated + self.waiting

    @property
    def forecast(self) -> float:
        """Return the processors that the pool's tasks will need soon."""
        return self.long_running + self.arriving

    @property
    def min_machines(self) -> int:
        """Return the number of machines that the pool has to keep."""
        needed = max(
            self.demand / RELEASE_UTILIZATION,
            self.forecast / TARGET_UTILIZATION,
        )
        return ceil(needed / self.processors)

    @property
    def target_machines(self) -> int:
        """Return the number of machines that would serve the demand."""
        needed = max(self.demand / TARGET_UTILIZATION, self.forecast)
        return ceil(needed / self.processors)

    @property
    def lacks_machines(self) -> bool:
        """Return whether tasks wait, or will wait soon."""
        return (
            self.waiting > 0 or self.forecast > self.machines * self.processors
        )


class MovableMachine(NamedTuple):
    """A machine that may be moved now.

    :ivar machine: the machine.
    :ivar runs: number of its short runs, which have to end first.
    :ivar empty_in_s: expected time until they have ended.
    """

    machine: Machine
    runs: int
    empty_in_s: float = 0.0


class DemandPeak(NamedTuple):
    """A period in which one pool has most of the demand.

    :ivar pool: the pool.
    :ivar started_s: when it began.
    :ivar machines: highest number of machines that the pool needed in it.
    """

    pool: str
    started_s: float
    machines: int


class PeakForecast:
    """Records the demand peaks of the pools and forecasts the next one.

    :ivar peaks: recent peaks, oldest first.
    :ivar peak_pool: the pool of the latest peak, or empty.
    """

    def __init__(self):
        """Initialise with no peaks."""
        self.peaks: list[DemandPeak] = []
        self.peak_pool = ""

    def record(
        self,
        loads: dict[str, PoolLoad],
        initial_sizes: dict[str, int],
        now_s: float,
    ) -> bool:
        """Record the peak that the present load shows, if any.

        :param initial_sizes: machines that each pool had at first.
        :returns: whether a peak has begun.
        """
        total = sum(load.certain for load in loads.values())
        for pool, load in loads.items():
            if pool == self.peak_pool:
                self.update_peak(pool, load.target_machines)
            elif (
                load.certain
                > PEAK_INITIAL_SHARE
                * initial_sizes.get(pool, 1)
                * load.processors
                and load.certain > PEAK_DEMAND_SHARE * total
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
        """Return whether a pool resumes its peak from before the latest."""
        if len(self.peaks) < 2:
            return False
        recent = now_s - self.peaks[-1].started_s < MIN_PEAK_INTERVAL_S
        return recent and self.peaks[-2].pool == pool

    def update_peak(self, pool: str, machines: int) -> None:
        """Raise the machines of a pool's latest peak if it needs more."""
        for index in range(len(self.peaks) - 1, -1, -1):
            peak = self.peaks[index]
            if peak.pool == pool:
                if machines > peak.machines:
                    self.peaks[index] = peak._replace(machines=machines)
                return

    def interval_s(self) -> float:
        """Return the mean time between peaks, 0 if they are not periodic."""
        starts = [peak.started_s for peak in self.peaks]
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
        """Return the expected peak to prepare for now, if there is one.

        :param pools: the pools that may have the next peak.
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
        """Return the latest peak of each pool."""
        return {peak.pool: peak for peak in self.peaks}

    def next_peak_pool(self, pools: Iterable[str]) -> str:
        """Return the pool whose latest peak is the longest ago."""
        latest = self.latest_peaks()
        others = [pool for pool in pools if pool != self.peak_pool]
        return min(
            others,
            key=lambda pool: latest[pool].started_s if pool in latest else 0.0,
            default="",
        )


class CapacityPlanner:
    """Plans moves of machines between pools, without input or output.

    :ivar forecast: the demand peaks of the pools.
    :ivar initial_sizes: machines that each pool had when it was first seen.
    :ivar unneeded_since_s: by machine name, since when its pool has not
        needed it.
    """

    def __init__(self):
        """Initialise with no history."""
        self.forecast = PeakForecast()
        self.initial_sizes: dict[str, int] = {}
        self.unneeded_since_s: dict[str, float] = {}

    def min_sizes(self, pools: Iterable[str]) -> dict[str, int]:
        """Return how many machines each pool keeps without demand.

        The pool that is expected to peak next keeps its initial size, since
        the time of the peak is an estimate. All pools do while peaks are not
        periodic.
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
        :param movable: machines that may be moved, standby ones included.
        :returns: machines with their target pools.
        """
        for pool, load in loads.items():
            size = load.machines + load.absent
            self.initial_sizes.setdefault(pool, size)
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
            has_demand = load.lacks_machines or (peak and pool == peak.pool)
            if has_demand and target_machines[pool] > load.machines:
                shortages[pool] = target_machines[pool] - load.machines
        # Machines that were lent return before others go to standby.
        below_min = Counter(
            {
                pool: min_sizes[pool] - load.machines - load.absent
                for pool, load in loads.items()
            }
        )
        return self.assign_machines(
            loads, standby, movable, shortages, below_min, min_machines, now_s
        )

    def lending_min(self, pool: str, load: PoolLoad, kept: int) -> int:
        """Return how many machines a pool keeps if another lacks some.

        Until the peaks are known to be periodic, a pool keeps its initial
        machines for a peak that may begin. A peak elsewhere has begun.

        :param kept: how many machines it keeps otherwise.
        """
        reserve = ceil(self.initial_sizes.get(pool, 1) * LENDING_RESERVE_SHARE)
        return min(kept, max(load.min_machines, reserve))

    def assign_machines(
        self,
        loads: dict[str, PoolLoad],
        standby: str,
        movable: list[MovableMachine],
        shortages: Counter,
        below_min: Counter,
        min_machines: dict[str, int],
        now_s: float,
    ) -> list[tuple[Machine, str]]:
        """Return the moves that fill shortages and free unneeded machines.

        :param shortages: number of machines that each pool lacks.
        :param below_min: number of machines that each pool lacks to the size
            that it keeps without demand.
        :param min_machines: number of machines that each pool keeps.
        """
        moved_away: Counter[str] = Counter()
        moves = []
        for candidate in sorted(
            movable,
            key=lambda candidate: (
                candidate.machine.pool != standby,
                candidate.empty_in_s,
                candidate.runs,
            ),
        ):
            source = candidate.machine.pool
            # A machine of the standby pool can always be given away.
            spare = lendable = 1
            if source in loads:
                remaining = loads[source].machines - moved_away[source]
                kept = min_machines[source]
                spare = remaining - kept
                lendable = remaining - self.lending_min(
                    source, loads[source], kept
                )
                if spare <= 0:
                    self.unneeded_since_s.pop(candidate.machine.name, None)
            target = self.most_short_pool(shortages, source)
            if target and lendable > 0:
                shortages[target] -= 1
            elif (
                spare > 0
                and source != standby
                and self.is_idle(candidate, now_s)
            ):
                target = self.most_short_pool(below_min, source) or standby
                if not target:
                    continue
                below_min[target] -= 1
            else:
                continue
            moved_away[source] += 1
            self.unneeded_since_s.pop(candidate.machine.name, None)
            moves.append((candidate.machine, target))
        return moves

    def most_short_pool(self, shortages: Counter, source: str) -> str:
        """Return the pool that lacks the most machines, or an empty string."""
        short_pools = [
            p for p, n in shortages.items() if n > 0 and p != source
        ]
        return max(short_pools, key=lambda pool: shortages[pool], default="")

    def is_idle(self, candidate: MovableMachine, now_s: float) -> bool:
        """Return whether a machine was not needed for ``IDLE_TIMEOUT_S``."""
        if candidate.runs:
            self.unneeded_since_s.pop(candidate.machine.name, None)
            return False
        since_s = self.unneeded_since_s.setdefault(
            candidate.machine.name, now_s
        )
        return now_s - since_s > IDLE_TIMEOUT_S
