"""What tasks really use, learned from ended and running ones.

Declared sizes are wrong by a factor that differs between teams and kinds of
jobs but is similar within one, so the ratio of used to declared is learned.
"""

from collections import OrderedDict, deque
from typing import NamedTuple

from cyclamenscale.fleet.ports import Resources

#: Samples of one team and kind; 64 give a p90 from the six largest.
MAX_SAMPLES = 64
#: Samples below which a wider group of jobs is asked.
MIN_SAMPLES = 5
#: No task is allocated less than this of processors and of memory (GB).
MIN_ALLOCATION = 0.05


class UsageRatio(NamedTuple):
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

    def __init__(self, quantile: float, max_groups: int):
        """Start without samples."""
        self.quantile = quantile
        self.max_groups = max_groups
        self.samples: OrderedDict[tuple[str, str], deque[UsageRatio]] = (
            OrderedDict()
        )
        self.cached_ratios: dict[tuple[str, str], UsageRatio] = {}
        self.dropped_groups = 0

    def add(
        self, team: str, kind: str, declared: Resources, used: Resources
    ) -> None:
        """Learn from one task.

        :param declared: what its team declared.
        :param used: the most that it used.
        """
        ratio = UsageRatio(
            used.processors / max(declared.processors, MIN_ALLOCATION),
            used.memory_gb / max(declared.memory_gb, MIN_ALLOCATION),
        )
        for group in ((team, kind), ("", kind)):
            if group not in self.samples:
                self.samples[group] = deque(maxlen=MAX_SAMPLES)
            self.samples[group].append(ratio)
            self.samples.move_to_end(group)
            self.cached_ratios.pop(group, None)
        while len(self.samples) > self.max_groups:
            group, _ = self.samples.popitem(last=False)
            self.cached_ratios.pop(group, None)
            self.dropped_groups += 1

    def ratio(self, team: str, kind: str) -> UsageRatio | None:
        """Return the learned ratio, or None without enough samples."""
        for group in ((team, kind), ("", kind)):
            samples = self.samples.get(group, ())
            if len(samples) >= MIN_SAMPLES:
                if group not in self.cached_ratios:
                    self.cached_ratios[group] = UsageRatio(
                        self.quantile_of(
                            [each.processors for each in samples]
                        ),
                        self.quantile_of([each.memory_gb for each in samples]),
                    )
                return self.cached_ratios[group]
        return None

    def quantile_of(self, values: list[float]) -> float:
        """Return the quantile of some values."""
        values.sort()
        return values[min(int(self.quantile * len(values)), len(values) - 1)]

    def expected_usage(
        self, team: str, kind: str, declared: Resources
    ) -> Resources:
        """Return what a job is expected to use; declared while unknown."""
        ratio = self.ratio(team, kind) or UsageRatio(1.0, 1.0)
        return Resources(
            max(declared.processors * ratio.processors, MIN_ALLOCATION),
            max(declared.memory_gb * ratio.memory_gb, MIN_ALLOCATION),
            declared.accelerators,
        )
