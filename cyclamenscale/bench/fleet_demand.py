"""Buffer cost and moves for pools with bursts and a daily demand cycle.

The pools' queues are a fluid model: work in slot-seconds, served second by
second, short work first. The decisions are those of
:mod:`cyclamenscale.fleet.moves`.
"""

from math import pi, sin
from random import Random
from typing import NamedTuple

from cyclamenscale.bench.trace import (
    DEPLOYMENTS,
    MEAN_LOAD,
    OFF_PEAK_FACTOR,
    PEAK_DURATION_S,
    PEAK_FACTOR,
    SHORT_SHARE,
)
from cyclamenscale.fleet.budget import MoveRecord, allowed_out
from cyclamenscale.fleet.moves import (
    DemandEnvelope,
    PoolState,
    max_wait_s,
    plan_moves,
    recent_moves,
    wanted_instances,
)
from cyclamenscale.model import RequestClass
from cyclamenscale.settings import FleetSettings

DAY_S = 86400
#: Before the measured day, for the envelopes to fill and pool sizes to settle.
WARM_UP_S = 3 * 3600
#: Amplitude of the daily cycle relative to the mean; the pools' daily peaks
#: are spread over the day.
DAILY_AMPLITUDE = 0.6
#: Relative standard deviation of the demand in one second.
NOISE_SIGMA = 0.2
#: Duration of a move: drain (at worst of a straggler) and reboot.
MOVE_DURATION_S = 150.0
#: Interval between decisions on moves; wanted sizes change far more slowly.
DECISION_INTERVAL_S = 10
#: Share of a pool that its classes allow out of service.
MAX_OUT_SHARE = 0.25


class BufferResult(NamedTuple):
    """Figures of one policy.

    :ivar policy: its name, followed by the buffer size for fixed_buffer.
    :ivar cost: ratio of spare to used slot-seconds.
    :ivar missed: share of the work that missed its target.
    :ivar moves_per_hour: moves per hour, all pools together.
    :ivar pool_moves: maximum number of moves of one pool in an hour.
    """

    policy: str
    cost: float
    missed: float
    moves_per_hour: float
    pool_moves: int


class FluidPool:
    """Fluid model of one pool's queues and instances."""

    def __init__(self, number: int, deployment, settings: FleetSettings):
        """Initialise with the instances of the deployment."""
        self.name = f"pool-{number}"
        self.number = number
        self.deployment = deployment
        self.size = deployment.endpoints
        self.arriving: list[float] = []
        self.moves: tuple[MoveRecord, ...] = ()
        self.envelope = DemandEnvelope(settings)
        targets = (deployment.short_target_s, deployment.long_target_s)
        self.targets_s = targets
        self.classes = tuple(
            RequestClass(
                f"{self.name}-{t}", self.name, int(t * 1000), MAX_OUT_SHARE
            )
            for t in targets
        )
        self.max_wait_s = max_wait_s(self.classes)
        # Per class: [arrival second, slot-seconds of work], oldest first.
        self.queues: tuple[list, list] = ([], [])
        self.waiting_work = [0.0, 0.0]

    def arrivals(self, second: int, rng: Random) -> float:
        """Return the slot-seconds of work that arrive in a second."""
        sizes = self.deployment
        mean = MEAN_LOAD * sizes.endpoints * sizes.slots
        phase = second / DAY_S + self.number / sizes.pools
        mean *= 1 + DAILY_AMPLITUDE * sin(2 * pi * phase)
        peak_pool = int(second // PEAK_DURATION_S) % sizes.pools
        factor = PEAK_FACTOR if peak_pool == self.number else OFF_PEAK_FACTOR
        return mean * factor * max(0.0, rng.gauss(1.0, NOISE_SIGMA))

    def serve(self, second: int, offered: float) -> tuple[float, float]:
        """Serve one second.

        :returns: slot-seconds served, and those of them that were late.
        """
        free = capacity = float(self.size * self.deployment.slots)
        late = 0.0
        parts = (offered * SHORT_SHARE, offered * (1 - SHORT_SHARE))
        for which, part in enumerate(parts):
            queue = self.queues[which]
            queue.append([second, part])
            self.waiting_work[which] += part
            while queue and free > 0:
                arrived, work = queue[0]
                done = min(work, free)
                free -= done
                self.waiting_work[which] -= done
                if second - arrived > self.targets_s[which]:
                    late += done
                if done < work:
                    queue[0][1] = work - done
                    break
                queue.pop(0)
        return capacity - free, late

    def demand(self, used: float) -> float:
        """Return the slots in use plus those needed for the waiting work."""
        return used + sum(
            work / target
            for work, target in zip(
                self.waiting_work, self.targets_s, strict=True
            )
        )

    def pool_state(self, settings: FleetSettings, now_s: float) -> PoolState:
        """Return the pool's state for a decision on moves."""
        wanted = wanted_instances(
            self.envelope,
            self.classes,
            self.deployment.slots,
            settings,
        )
        size = self.size + len(self.arriving)
        self.moves = recent_moves(self.moves, now_s, settings)
        return PoolState(
            self.name,
            self.number == self.deployment.pools - 1,
            size,
            wanted,
            self.moves,
            allowed_out(size, self.classes),
        )


def run_buffer(
    seed: int, deployment: str, settings: FleetSettings
) -> BufferResult:
    """Run one policy for a day.

    Instances that the spare pool holds beyond its wanted size do not count
    as buffer, because they are free for another use.
    """
    sizes = DEPLOYMENTS[deployment]
    rng = Random(f"demand {seed}")
    pools = [FluidPool(n, sizes, settings) for n in range(sizes.pools)]
    by_name = {each.name: each for each in pools}
    used = spare = late = 0.0
    moves = []
    wanted: dict[str, int | None] = {}
    for second in range(WARM_UP_S + DAY_S):
        measured = second >= WARM_UP_S
        for pool in pools:
            while pool.arriving and pool.arriving[0] <= second:
                pool.arriving.pop(0)
                pool.size += 1
            served, missed = pool.serve(second, pool.arrivals(second, rng))
            demand = pool.demand(served)
            pool.envelope.record(demand, second, pool.max_wait_s)
            if measured:
                held = pool.size + len(pool.arriving)
                lendable = pool.number == sizes.pools - 1
                if lendable and wanted.get(pool.name) is not None:
                    held = min(held, wanted[pool.name])
                used += served
                spare += max(0.0, held * sizes.slots - served)
                late += missed
        if second % DECISION_INTERVAL_S:
            continue
        states = [each.pool_state(settings, second) for each in pools]
        wanted = {each.name: each.wanted for each in states}
        for move in plan_moves(states, second, settings, rng):
            donor, receiver = by_name[move.donor], by_name[move.receiver]
            donor.size -= 1
            receiver.arriving.append(second + MOVE_DURATION_S)
            note = MoveRecord(second, receiver.name, False)
            donor.moves = (*donor.moves, note)
            note = MoveRecord(second, donor.name, True)
            receiver.moves = (*receiver.moves, note)
            if measured:
                moves.append((second, move))
    most = max(
        (
            sum(
                0 <= second - start < 3600 and pool.name in each
                for second, each in moves
            )
            for pool in pools
            for start, other in moves
            if pool.name in other
        ),
        default=0,
    )
    name = settings.moves
    if name == "fixed_buffer":
        name += f" {settings.buffer_instances}"
    return BufferResult(
        name, spare / used, late / used, len(moves) / (DAY_S / 3600), most
    )


def compare_buffers(
    seed: int, deployment: str, settings: FleetSettings
) -> list[BufferResult]:
    """Compare the configured policy with growing fixed buffers.

    Stops at the first fixed buffer that misses no more than the policy.
    """
    found = [run_buffer(seed, deployment, settings)]
    for buffer in range(1, 3 * DEPLOYMENTS[deployment].endpoints):
        fixed = settings._replace(
            moves="fixed_buffer", buffer_instances=buffer
        )
        found.append(run_buffer(seed, deployment, fixed))
        if found[-1].missed <= found[0].missed:
            break
    return found
