"""Monotonic clocks: the real one and one for tests and benchmarks."""

import time
from collections.abc import Callable

#: Returns monotonic seconds.
Clock = Callable[[], float]

#: The system clock.
monotonic: Clock = time.monotonic


class VirtualClock:
    """A clock that advances only on request.

    :param now_s: initial time, in seconds.
    """

    def __init__(self, now_s: float = 0.0):
        """Set the initial time."""
        self.now_s = now_s

    def __call__(self) -> float:
        """Return the current time in seconds."""
        return self.now_s

    def advance(self, by_s: float) -> None:
        """Advance the clock by some seconds."""
        self.now_s += by_s
