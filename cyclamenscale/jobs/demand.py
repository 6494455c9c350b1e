"""Forecasts what the jobs that arrive at each pool will need.

The tasks that wait show a rise of the demand only once the pool is full, and
they show its end late, when the backlog is done. The work that arrives shows
both at once: work that arrives at a rate of 100 processor seconds a second
needs 100 processors. Pure: times are passed in.
"""

from math import exp, sqrt
from typing import NamedTuple

#: Time constants of the rates. The first follows a change within a second;
#: the second tells whether the first is rising.
FAST_S = 0.8
SLOW_S = 3.0


class DecayingRate:
    """Rate of a quantity, with weights that decay exponentially.

    :param time_constant_s: age at which the weight is 1/e of the newest.
    """

    def __init__(self, time_constant_s: float):
        """Initialise with nothing recorded."""
        self.time_constant_s = time_constant_s
        self.total = 0.0
        self.updated_s = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount."""
        self.total = self.total_at(now_s) + amount
        self.updated_s = max(self.updated_s, now_s)

    def total_at(self, now_s: float) -> float:
        """Return the sum of the weighted amounts."""
        age_s = max(now_s - self.updated_s, 0.0)
        return self.total * exp(-age_s / self.time_constant_s)

    def per_s(self, now_s: float) -> float:
        """Return the rate, as an amount a second."""
        return self.total_at(now_s) / self.time_constant_s


class Forecast(NamedTuple):
    """Processors that the arriving work of a pool will need.

    :ivar expected: the processors needed when machines that set out now
        arrive.
    :ivar certain: the processors that it needs now, less the error of the
        estimate. One large job alone makes nothing certain.
    """

    expected: float = 0.0
    certain: float = 0.0


class PoolArrivals:
    """Work that arrives at one pool."""

    def __init__(self):
        """Initialise with nothing recorded."""
        self.fast = DecayingRate(FAST_S)
        self.slow = DecayingRate(SLOW_S)
        # The weights of the squares are those of the fast rate, squared.
        self.squares = DecayingRate(FAST_S / 2)

    def record(self, work: float, now_s: float) -> None:
        """Record the work of an accepted job, in processor seconds."""
        self.fast.add(work, now_s)
        self.slow.add(work, now_s)
        self.squares.add(work * work, now_s)

    def forecast(self, now_s: float) -> Forecast:
        """Return the processors that the arriving work will need.

        A rise that exceeds the error is expected to go on for as long as
        machines take to arrive. The error is that of a sum of jobs that
        arrive at random (compound Poisson process); what it hides shows in
        the tasks that wait.
        """
        fast = self.fast.per_s(now_s)
        error = sqrt(self.squares.total_at(now_s)) / FAST_S
        certain = max(fast - error, 0.0)
        rise = max(certain - self.slow.per_s(now_s), 0.0)
        return Forecast(certain + rise, certain)


class Arrivals:
    """Work that arrives at each pool."""

    def __init__(self):
        """Initialise with no pools."""
        self.pools: dict[str, PoolArrivals] = {}

    def record(self, pool: str, work: float, now_s: float) -> None:
        """Record the work of an accepted job, in processor seconds."""
        self.pools.setdefault(pool, PoolArrivals()).record(work, now_s)

    def forecast(self, pool: str, now_s: float) -> Forecast:
        """Return the processors that the arriving work of a pool needs."""
        found = self.pools.get(pool)
        return found.forecast(now_s) if found else Forecast()
