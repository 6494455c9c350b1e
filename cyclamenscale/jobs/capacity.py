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
FILL_SHARE = 0.9

#: A pool takes its turn once its short tasks need this share of the
#: machines that it had at first, and this share of what all pools need.
TURN_HOME_SHARE = 0.35
TURN_SHARE = 0.5

#: Pools that change the lead back and forth within this time are one turn.
TURN_MIN_S = 2.5

#: A pool gives a machine away only if the rest is filled up to this share.
RELEASE_SHARE = 0.7

#: A machine that its pool does not need goes back after this time; a move
#: costs about as much as a second in a pool.
IDLE_S = 1.5

#: A machine that has arrived stays at least this long.
STAY_S = 1.0

#: Time before an expected turn at which machines set out: a move takes the
#: platform about 1.5 s, and the worker has to register.
LEAD_S = 2.3

#: An expected turn that does not come is given up after this time.
MISSED_S = 1.5

#: Turns that are remembered.
TURNS_LIMIT = 32

#: Spacings of turns that are taken for a rhythm may differ by this share.
RHYTHM_SHARE = 0.4


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
    used: float
    waiting: float
    lasting: float = 0.0

    @property
    def demand(self) -> float:
        """Return the processors that could be in use now."""
        return self.used + self.waiting

    @property
    def short(self) -> float:
        """Return the demand of tasks that do not last."""
        return self.demand - self.lasting

    @property
    def needed(self) -> int:
        """Return the number of machines below which none is given away."""
        return ceil(self.demand / (self.processors * RELEASE_SHARE))

    @property
    def wanted(self) -> int:
        """Return the number of machines that would hold the demand."""
        return ceil(self.demand / (self.processors * FILL_SHARE))


class Spare(NamedTuple):
    """A machine that could be moved now.

    :ivar machine: the machine.
    :ivar runs: short runs on it, which have to end first.
    """

    machine: Machine
    runs: int


class Turn(NamedTuple):
    """A time at which most of the demand came to a pool.

    :ivar pool: the pool.
    :ivar at_s: when it began.
    :ivar machines: most machines it wanted then.
    """

    pool: str
    at_s: float
    machines: int


class Rhythm:
    """Learns the turns of the pools.

    :ivar hot: the pool whose turn it is, or empty.
    """

    def __init__(self):
        """Start without turns."""
        self.turns: list[Turn] = []
        self.hot = ""

    def note(
        self,
        loads: dict[str, PoolLoad],
        homes: dict[str, int],
        now_s: float,
    ) -> bool:
        """Note whose turn it is.

        :param homes: machines that each pool had at first.
        :returns: whether a turn has begun.
        """
        total = sum(load.short for load in loads.values())
        for pool, load in loads.items():
            if pool == self.hot:
                self.raise_peak(pool, load.wanted)
            elif (
                load.short
                > TURN_HOME_SHARE * homes.get(pool, 1) * load.processors
                and load.short > TURN_SHARE * total
                and not self.is_relapse(pool, now_s)
            ):
                self.hot = pool
                self.turns.append(Turn(pool, now_s, load.wanted))
                del self.turns[:-TURNS_LIMIT]
                return True
        return False

    def is_relapse(self, pool: str, now_s: float) -> bool:
        """Return whether a pool had the turn just before the latest one."""
        if len(self.turns) < 2:
            return False
        recent = now_s - self.turns[-1].at_s < TURN_MIN_S
        return recent and self.turns[-2].pool == pool

    def raise_peak(self, pool: str, wanted: int) -> None:
        """Note how many machines the latest turn of a pool wants."""
        for index in range(len(self.turns) - 1, -1, -1):
            turn = self.turns[index]
            if turn.pool == pool:
                if wanted > turn.machines:
                    self.turns[index] = turn._replace(machines=wanted)
                return

    def spacing_s(self) -> float:
        """Return the time between turns, 0 if there is no rhythm."""
        starts = [turn.at_s for turn in self.turns]
        gaps = [b - a for a, b in zip(starts, starts[1:], strict=False)][-3:]
        if len(gaps) < 2:
            return 0.0
        mean_s = sum(gaps) / len(gaps)
        if any(abs(gap - mean_s) > RHYTHM_SHARE * mean_s for gap in gaps):
            return 0.0
        return mean_s

    def expected(self, pools: Iterable[str], now_s: float) -> Turn | None:
        """Return the turn to prepare for now, if there is one.

        :param pools: the pools that take turns.
        """
        spacing_s = self.spacing_s()
        if not spacing_s:
            return None
        last = self.turns[-1]
        due_s = last.at_s + spacing_s
        pool = self.next_pool(pools)
        if not pool or not due_s - LEAD_S <= now_s <= due_s + MISSED_S:
            return None
        known = self.latest().get(pool, last)
        return Turn(pool, due_s, known.machines)

    def latest(self) -> dict[str, Turn]:
        """Return the latest turn of each pool."""
        return {turn.pool: turn for turn in self.turns}

    def next_pool(self, pools: Iterable[str]) -> str:
        """Return the pool that had its turn the longest time ago."""
        latest = self.latest()
        others = [pool for pool in pools if pool != self.hot]
        return min(
            others,
            key=lambda pool: latest[pool].at_s if pool in latest else 0.0,
            default="",
        )


class Capacity:
    """Decides on moves between pools; pure.

    :ivar rhythm: the turns of the pools.
    :ivar homes: machines that each pool had when it was first seen.
    """

    def __init__(self):
        """Start without history."""
        self.rhythm = Rhythm()
        self.homes: dict[str, int] = {}
        self.unneeded_s: dict[str, float] = {}

    def floors(self, pools: Iterable[str]) -> dict[str, int]:
        """Return how many machines each pool keeps without demand.

        The pool that is next in turn keeps its own, since the time of the
        turn is an estimate. While no rhythm is known, all do.
        """
        pools = list(pools)
        known = bool(self.rhythm.spacing_s())
        coming = self.rhythm.next_pool(pools)
        return {
            pool: 1 if known and pool != coming else self.homes.get(pool, 1)
            for pool in pools
        }

    def moves(
        self,
        loads: dict[str, PoolLoad],
        standby: str,
        spares: list[Spare],
        now_s: float,
    ) -> list[tuple[Machine, str]]:
        """Return the moves to start now.

        :param loads: load of each pool that has queues.
        :param standby: pool whose machines are off, empty if there is none.
        :param spares: machines that may be moved, standby ones included.
        :returns: machines with their target pools.
        """
        for pool, load in loads.items():
            self.homes.setdefault(pool, load.machines)
        self.rhythm.note(loads, self.homes, now_s)
        wanted = {pool: load.wanted for pool, load in loads.items()}
        floors = self.floors(loads)
        needed = {
            pool: max(load.needed, floors[pool])
            for pool, load in loads.items()
        }
        turn = self.rhythm.expected(loads, now_s)
        if turn:
            wanted[turn.pool] = max(wanted[turn.pool], turn.machines)
            needed[turn.pool] = max(needed[turn.pool], turn.machines)
        short = Counter()
        for pool, load in loads.items():
            waits = load.waiting > 0 or (turn and pool == turn.pool)
            if waits and wanted[pool] > load.machines:
                short[pool] = wanted[pool] - load.machines
        return self.assign(loads, standby, spares, short, needed, now_s)

    def assign(
        self,
        loads: dict[str, PoolLoad],
        standby: str,
        spares: list[Spare],
        short: Counter,
        needed: dict[str, int],
        now_s: float,
    ) -> list[tuple[Machine, str]]:
        """Return the moves that fill what is short.

        :param short: machines that pools lack.
        :param needed: machines that pools keep.
        """
        taken: Counter[str] = Counter()
        moves = []
        for spare in sorted(
            spares,
            key=lambda spare: (spare.machine.pool != standby, spare.runs),
        ):
            source = spare.machine.pool
            if source in loads:
                left = loads[source].machines - taken[source]
                if left <= needed[source]:
                    self.unneeded_s.pop(spare.machine.name, None)
                    continue
            target = self.neediest(short, source)
            if target:
                short[target] -= 1
            elif source != standby and standby and self.is_idle(spare, now_s):
                target = standby
            else:
                continue
            taken[source] += 1
            self.unneeded_s.pop(spare.machine.name, None)
            moves.append((spare.machine, target))
        return moves

    def neediest(self, short: Counter, source: str) -> str:
        """Return the pool that lacks most machines, or an empty text."""
        open_to = [p for p, n in short.items() if n > 0 and p != source]
        return max(open_to, key=lambda pool: short[pool], default="")

    def is_idle(self, spare: Spare, now_s: float) -> bool:
        """Return whether a machine has not been needed for a while."""
        if spare.runs:
            self.unneeded_s.pop(spare.machine.name, None)
            return False
        since_s = self.unneeded_s.setdefault(spare.machine.name, now_s)
        return now_s - since_s > IDLE_S
