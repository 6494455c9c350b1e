"""How far the estimated durations of a pool's tasks are off.

Callers estimate the durations of their tasks, and the estimates of a queue
are wrong in the same way for long. Pure: no I/O and no clock.
"""

from collections import deque
from statistics import fmean, median

#: Finished runs of a pool from which the bias of its estimates is computed.
SAMPLES_LIMIT = 64

#: Finished runs that are needed for a mean, which a few long ones sway.
MIN_SAMPLES = 8

#: Largest and smallest bias that is used.
MAX_BIAS = 4.0
MIN_BIAS = 0.25


class EstimateBias:
    """Durations of finished runs as multiples of their estimates, by pool."""

    def __init__(self):
        """Initialise with no finished runs."""
        self.samples: dict[str, deque[float]] = {}

    def record(self, pool: str, ratio: float) -> None:
        """Record a finished run.

        :param ratio: its duration divided by its estimate.
        """
        samples = self.samples.setdefault(pool, deque(maxlen=SAMPLES_LIMIT))
        samples.append(ratio)

    def median(self, pool: str) -> float:
        """Return the bias of a typical task, 1 if nothing is known."""
        samples = self.samples.get(pool)
        return median(samples) if samples else 1.0

    def mean(self, pool: str) -> float:
        """Return the bias of the sum of many tasks, 1 if little is known.

        Stragglers count: they run many times longer than estimated.
        """
        samples = self.samples.get(pool, ())
        if len(samples) < MIN_SAMPLES:
            return 1.0
        return min(max(fmean(samples), MIN_BIAS), MAX_BIAS)
