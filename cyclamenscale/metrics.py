"""Counters, gauges and timers, sent to statsd and kept for ``status``."""

import re
from threading import Lock

from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from cyclamenscale.settings import Settings

# New counter names beyond this many are counted as "metrics.other", so that a
# bug that builds names from data cannot exhaust memory.
MAX_NAMES = 2000

# Longer durations are recorded as this one in the histograms.
MAX_DURATION_MS = 600000
SIGNIFICANT_DIGITS = 2

PERCENTILES = (50, 95, 99)


class Metrics:
    """Counters, gauges and timers of one process.

    :param settings: the whole settings; without ``[metrics] address``
        nothing is sent, and metrics are only kept in memory.
    """

    def __init__(self, settings: Settings):
        """Open the statsd client if an address is set."""
        self.client = None
        if settings.metrics.address:
            host, _, port = settings.metrics.address.rpartition(":")
            self.client = StatsClient(
                host, int(port), prefix=settings.metrics.prefix
            )
        # Guards counters, gauges, histograms.
        self.lock = Lock()
        self.counters: dict[str, int] = {}
        self.gauges: dict[str, float] = {}
        self.histograms: dict[str, HdrHistogram] = {}

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter.

        :param name: dotted name of the counter.
        :param count: amount to add.
        """
        with self.lock:
            if name not in self.counters and len(self.counters) > MAX_NAMES:
                name = "metrics.other"
            self.counters[name] = self.counters.get(name, 0) + count
        if self.client:
            self.client.incr(name, count)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        with self.lock:
            if name in self.gauges or len(self.gauges) <= MAX_NAMES:
                self.gauges[name] = value
        if self.client:
            self.client.gauge(name, value)

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration in milliseconds."""
        with self.lock:
            count_name = name + ".count"
            self.counters[count_name] = self.counters.get(count_name, 0) + 1
            histogram = self.histograms.get(name)
            if histogram is None and len(self.histograms) < MAX_NAMES:
                histogram = HdrHistogram(
                    1, MAX_DURATION_MS, SIGNIFICANT_DIGITS
                )
                self.histograms[name] = histogram
            if histogram:
                histogram.record_value(
                    min(max(int(duration_ms), 1), MAX_DURATION_MS)
                )
        if self.client:
            self.client.timing(name, duration_ms)

    def snapshot(self) -> dict[str, float]:
        """Return all counters and gauges by name."""
        with self.lock:
            return {**self.counters, **self.gauges}

    def prometheus_text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        with self.lock:
            values = {**self.counters, **self.gauges}
            quantiles = {
                name: [
                    (
                        percentile,
                        distribution.get_value_at_percentile(percentile),
                    )
                    for percentile in PERCENTILES
                ]
                for name, distribution in self.histograms.items()
            }
        lines = [
            f"{prometheus_name(name)} {value:g}"
            for name, value in sorted(values.items())
        ]
        for name, distribution in sorted(quantiles.items()):
            for percentile, value in distribution:
                label = f'{{quantile="{percentile / 100:g}"}}'
                lines.append(f"{prometheus_name(name)}{label} {value:g}")
        return "\n".join(lines) + "\n"


def prometheus_name(name: str) -> str:
    """Convert a dotted name to a Prometheus metric name."""
    return "cyclamenscale_" + re.sub(r"[^A-Za-z0-9_]", "_", name)
