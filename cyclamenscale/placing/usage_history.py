"""Expected resource usage of tasks, learned from ended and running ones.

Declared sizes are wrong by a factor that differs between teams and kinds of
jobs, but is similar within one team and kind. Therefore the ratio of used to
declared resources is learned.
"""

from collections import OrderedDict, deque
from typing import NamedTuple

from cyclamenscale.fleet.ports import Resources

#: Samples kept for each group of jobs; with 64, the six largest samples
#: lie above the p90.
MAX_SAMPLES = 64
#: Fewest samples that give a ratio; a team and kind with fewer uses the
#: samples of that kind across all teams.
MIN_SAMPLES = 5
#: Least allocation of a task, in processors and in gigabytes of memory.
MIN_ALLOCATION = 0.05


class UsageRatio(NamedTuple):
    """Ratio of used to declared resources.

    :ivar processors: ratio of the processors.
    :ivar memory_gb: ratio of the memory.
    """

    processors: float
    memory_gb: float


class UsageHistory:
    """Ratios of used to declared resources by team and kind of job.

    :param quantile: quantile of the ratios that is allocated.
    :param max_groups: upper bound on the groups of samples; the one that
        was extended least recently is dropped.
    """

    def __init__(self, quantile: float, max_groups: int):
        """Initialise with no samples."""
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
        """Add the usage of one task.

        :param team: team of the job.
        :param kind: kind of the job.
        :param declared: resources that the team declared.
        :param used: peak usage of the task.
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
        """Return the learned ratio, or None if there are too few samples."""
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
        """Sort values in place and return the configured quantile."""
        values.sort()
        return values[min(int(self.quantile * len(values)), len(values) - 1)]

    def expected_usage(
        self, team: str, kind: str, declared: Resources
    ) -> Resources:
        """Return the expected usage of a job; as declared without a ratio."""
        ratio = self.ratio(team, kind) or UsageRatio(1.0, 1.0)
        return Resources(
            max(declared.processors * ratio.processors, MIN_ALLOCATION),
            max(declared.memory_gb * ratio.memory_gb, MIN_ALLOCATION),
            declared.accelerators,
        )
