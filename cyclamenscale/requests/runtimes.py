"""Online estimates of run time per class.

Estimates use observed run times only, because declared ones are too
inaccurate. Each class has two HDR histograms: one for the current window and
one for the window before it. Quantiles are read from both, and the older one
is dropped when the newer is full or has expired, so that estimates follow a
change of load within two windows.
"""

from collections import OrderedDict
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock

MAX_RUN_MS = 86_400_000
SIGNIFICANT_DIGITS = 2
#: Two histograms take about 40 KB, so this limits the memory to 10 MB.
CLASSES_LIMIT = 256
WINDOW_SAMPLES = 2000
WINDOW_S = 600.0
#: Below this many samples a p90 is mostly noise and the prior is used.
MIN_SAMPLES = 10
#: Quantiles take about 0.3 ms to compute, so they are cached until the
#: number of samples has grown by this share.
RECOMPUTE_SHARE = 0.05
#: Prior quantiles of a class with too few samples, as shares of its target.
PRIOR_P50 = 0.05
PRIOR_P90 = 0.1
PRIOR_P99 = 0.2


class Quantiles(NamedTuple):
    """Estimated run times of a class, in milliseconds."""

    p50_ms: float
    p90_ms: float
    p99_ms: float
    mean_ms: float


class ClassHistograms:
    """Run time histograms of one class.

    :param now_s: start of the first window, in monotonic seconds.
    """

    def __init__(self, now_s: float):
        """Initialise with two empty windows."""
        self.newer = HdrHistogram(1, MAX_RUN_MS, SIGNIFICANT_DIGITS)
        self.older = HdrHistogram(1, MAX_RUN_MS, SIGNIFICANT_DIGITS)
        self.window_start_s = now_s
        self.sum_ms = [0.0, 0.0]
        self.recompute_at_count = 0
        self.cached: Quantiles | None = None

    @property
    def count(self) -> int:
        """Return the number of samples in both windows."""
        return self.newer.total_count + self.older.total_count

    def record(self, run_ms: float, now_s: float) -> None:
        """Add a sample, in a new window if the current one has ended."""
        full = self.newer.total_count >= WINDOW_SAMPLES
        old = (
            now_s - self.window_start_s > WINDOW_S
            and self.newer.total_count >= MIN_SAMPLES
        )
        if full or old:
            self.older, self.newer = self.newer, self.older
            self.newer.reset()
            self.sum_ms = [0.0, self.sum_ms[0]]
            self.window_start_s = now_s
            self.recompute_at_count = 0
        self.newer.record_value(min(max(1, round(run_ms)), MAX_RUN_MS))
        self.sum_ms[0] += run_ms

    def merged(self) -> HdrHistogram:
        """Return one histogram with the samples of both windows."""
        if not self.older.total_count:
            return self.newer
        both = HdrHistogram(1, MAX_RUN_MS, SIGNIFICANT_DIGITS)
        both.add(self.newer)
        both.add(self.older)
        return both

    def quantiles(self) -> Quantiles:
        """Return the quantiles, recomputed only after enough new samples."""
        if self.cached is None or self.count >= self.recompute_at_count:
            values = self.merged().get_percentile_to_value_dict([50, 90, 99])
            self.cached = Quantiles(
                values[50],
                values[90],
                values[99],
                sum(self.sum_ms) / self.count,
            )
            self.recompute_at_count = (
                self.count + 1 + int(self.count * RECOMPUTE_SHARE)
            )
        return self.cached


class RunTimeEstimator:
    """Run time estimates of all classes that an entry has observed.

    :param settings: settings of the entry; ``scheduling.long_factor`` is used.
    :param clock: monotonic clock in seconds.
    """

    def __init__(self, settings: Settings, clock: Clock):
        """Initialise with no samples."""
        self.settings = settings
        self.clock = clock
        self.classes: OrderedDict[str, ClassHistograms] = OrderedDict()
        self.dropped = 0

    def record(self, class_name: str, run_ms: float) -> None:
        """Add the run time of a completed request.

        :param class_name: its class; beyond ``CLASSES_LIMIT`` classes the
            least recently used one is dropped.
        :param run_ms: observed run time, in milliseconds.
        """
        now_s = self.clock()
        times = self.classes.get(class_name)
        if times is None:
            if len(self.classes) >= CLASSES_LIMIT:
                self.classes.popitem(last=False)
                self.dropped += 1
            times = self.classes[class_name] = ClassHistograms(now_s)
        self.classes.move_to_end(class_name)
        times.record(run_ms, now_s)

    def quantiles(self, class_name: str, target_ms: float) -> Quantiles:
        """Return the estimates of a class.

        :param class_name: the class.
        :param target_ms: its target, from which the prior is computed while
            there are fewer than ``MIN_SAMPLES`` samples.
        """
        times = self.classes.get(class_name)
        if times is None or times.count < MIN_SAMPLES:
            return Quantiles(
                max(1.0, target_ms * PRIOR_P50),
                max(1.0, target_ms * PRIOR_P90),
                max(1.0, target_ms * PRIOR_P99),
                max(1.0, target_ms * PRIOR_P50),
            )
        return times.quantiles()

    def long_limit_ms(self, targets: dict[str, float]) -> float:
        """Return the run time beyond which work counts as long.

        :param targets: targets of the classes to compare, by name.
        """
        shortest_ms = min(
            (self.quantiles(name, targets[name]).p90_ms for name in targets),
            default=float("inf"),
        )
        return shortest_ms * self.settings.scheduling.long_factor

    def is_long(self, class_name: str, targets: dict[str, float]) -> bool:
        """Return whether the p90 of a class is above the long limit.

        :param class_name: the class.
        :param targets: targets of the classes to compare, by name.
        """
        p90_ms = self.quantiles(class_name, targets[class_name]).p90_ms
        return p90_ms > self.long_limit_ms(targets)

    def residual_ms(
        self, class_name: str, target_ms: float, ran_ms: float
    ) -> float:
        """Return the median of the remaining time of a running request.

        It is the median of the observed run times above ``ran_ms``, less
        ``ran_ms``. Beyond all observations the residual is taken as the time
        it has already run, the median of a Pareto tail with exponent one.

        :param class_name: its class.
        :param target_ms: target of the class.
        :param ran_ms: time it has run so far, in milliseconds.
        """
        times = self.classes.get(class_name)
        if times is None or times.count < MIN_SAMPLES:
            p50_ms = self.quantiles(class_name, target_ms).p50_ms
            return max(p50_ms - ran_ms, ran_ms, 1.0)
        both = times.merged()
        below = sum(
            step.count_added_in_this_iter_step
            for step in both.get_recorded_iterator()
            if step.value_iterated_to <= ran_ms
        )
        above = both.total_count - below
        if above < 1:
            return max(ran_ms, 1.0)
        share = 100.0 * (below + above / 2) / both.total_count
        return max(1.0, both.get_value_at_percentile(share) - ran_ms)
