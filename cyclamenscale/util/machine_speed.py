"""Tells whether this process's machine has become slow.

A machine may lose most of its processor time, to a failing part or to a
neighbour. Its load doesn't tell: a busy process on a sound machine looks the
same. So a fixed piece of work is timed, and compared with the fastest time
that it ever took here.
"""

from collections import deque

from cyclamenscale.util.clock import Clock

#: Iterations of the timed work, some tens of microseconds.
WORK_ITERATIONS = 1000

#: The fastest of this many runs counts, since other threads may interrupt.
RUNS_PER_CHECK = 3

#: The machine is slow if the work takes this many times as long as it once
#: did, in all of the latest checks.
SLOW_FACTOR = 3.0
CHECKS = 3


class MachineSpeed:
    """Times a fixed piece of work from time to time.

    :param clock: time in seconds.
    :ivar best_s: fastest time of the work so far, 0 before the first check.
    """

    def __init__(self, clock: Clock):
        """Initialise without a measurement."""
        self.clock = clock
        self.best_s = 0.0
        self.latest_s: deque[float] = deque(maxlen=CHECKS)

    def check(self) -> None:
        """Time the work once more."""
        took_s = min(self.time_work() for _ in range(RUNS_PER_CHECK))
        self.record(took_s)

    def time_work(self) -> float:
        """Return the time that the work takes."""
        began_s = self.clock()
        total = 0
        for number in range(WORK_ITERATIONS):
            total += number
        return self.clock() - began_s

    def record(self, took_s: float) -> None:
        """Record a measured time."""
        if took_s <= 0:
            return
        self.best_s = min(self.best_s or took_s, took_s)
        self.latest_s.append(took_s)

    @property
    def factor(self) -> float:
        """Return how many times as long the work takes as it once did."""
        if len(self.latest_s) < CHECKS:
            return 1.0
        return min(self.latest_s) / self.best_s

    @property
    def is_slow(self) -> bool:
        """Return whether the machine has become slow."""
        return self.factor >= SLOW_FACTOR
