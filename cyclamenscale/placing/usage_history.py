"""What tasks really use, learned from ended and running ones.

Declared sizes are wrong by a factor that differs between teams and kinds of
jobs but is similar within one, so the ratio of used to declared is learned.
"""

from collections import OrderedDict, deque
from typing import NamedTuple

from cyclamenscale.fleet.ports import Resources

#: Samples of one team and kind; 64 give a p90 from the six largest.
SAMPLES_LIMIT = 64
#: Samples below which a wider group of jobs is asked.
SAMPLES_NEEDED = 5
#: No task is allocated less than this of processors and of memory (GB).
LEAST = 0.05


class Ratio(NamedTuple):
    """Used over declared.

    :ivar processors: ratio of processors.
    :ivar memory_gb: ratio of memory.
    """

    processors: float
    memory_gb: float


class UsageHistory:
    """Ratios of used to declared resources by team and kind.

    :param quantile: quantile of the ratios that is allocated.
    :param limit: bound on the groups; the longest unused one is dropped.
    """

    def __init__(self, quantile: float, limit: int):
        """Start without samples."""
        self.quantile = quantile
        self.limit = limit
        self.groups: OrderedDict[tuple[str, str], deque[Ratio]] = OrderedDict()
        self.cached: dict[tuple[str, str], Ratio] = {}
        self.dropped = 0

    def add(
        self, team: str, kind: str, declared: Resources, used: Resources
    ) -> None:
        """Learn from one task.

        :param declared: what its team declared.
        :param used: the most that it used.
        """
        ratio = Ratio(
            used.processors / max(declared.processors, LEAST),
            used.memory_gb / max(declared.memory_gb, LEAST),
        )
        for group in ((team, kind), ("", kind)):
            if group not in self.groups:
                self.groups[group] = deque(maxlen=SAMPLES_LIMIT)
            self.groups[group].append(ratio)
            self.groups.move_to_end(group)
            self.cached.pop(group, None)
        while len(self.groups) > self.limit:
            group, _ = self.groups.popitem(last=False)
            self.cached.pop(group, None)
            self.dropped += 1

    def ratio(self, team: str, kind: str) -> Ratio | None:
        """Return the learned ratio, or None without enough samples."""
        for group in ((team, kind), ("", kind)):
            samples = self.groups.get(group, ())
            if len(samples) >= SAMPLES_NEEDED:
                if group not in self.cached:
                    self.cached[group] = Ratio(
                        self.pick([each.processors for each in samples]),
                        self.pick([each.memory_gb for each in samples]),
                    )
                return self.cached[group]
        return None

    def pick(self, values: list[float]) -> float:
        """Return the quantile of some values."""
        values.sort()
        return values[min(int(self.quantile * len(values)), len(values) - 1)]

    def expect(self, team: str, kind: str, declared: Resources) -> Resources:
        """Return what a job is expected to use; declared while unknown."""
        ratio = self.ratio(team, kind) or Ratio(1.0, 1.0)
        return Resources(
            max(declared.processors * ratio.processors, LEAST),
            max(declared.memory_gb * ratio.memory_gb, LEAST),
            declared.accelerators,
        )
