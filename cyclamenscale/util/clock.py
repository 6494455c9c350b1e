"""Clocks: the real one, and one that tests and benchmarks move."""

import time
from collections.abc import Callable

#: A clock returns monotonic seconds.
Clock = Callable[[], float]

#: The clock of running processes.
monotonic: Clock = time.monotonic


class VirtualClock:
    """A clock that moves only when told to.

    :param now_s: where it starts, in seconds.
    """

    def __init__(self, now_s: float = 0.0):
        """Start at the given time."""
        self.now_s = now_s

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now_s

    def advance(self, by_s: float) -> None:
        """Move the clock forward."""
        self.now_s += by_s
