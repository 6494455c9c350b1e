"""Counters and timers: sent to statsd, with a copy for ``status``."""

import re
from threading import Lock

from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from cyclamenscale.settings import Settings

# A name seen for the first time beyond this many is counted as "other", so
# that a bug that builds names from data cannot exhaust the memory.
NAMES_LIMIT = 2000

# Longest duration that a histogram tells apart, and its precision.
LONGEST_MS = 600000
DIGITS = 2

QUANTILES = (50, 95, 99)


class Metrics:
    """Counters, gauges and timers of one process.

    :param settings: the whole settings; without ``[metrics] address``
        nothing is sent and only the copy in memory is kept.
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
        :param count: how much to add.
        """
        with self.lock:
            if name not in self.counters and len(self.counters) > NAMES_LIMIT:
                name = "metrics.other"
            self.counters[name] = self.counters.get(name, 0) + count
        if self.client:
            self.client.incr(name, count)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        with self.lock:
            if name in self.gauges or len(self.gauges) <= NAMES_LIMIT:
                self.gauges[name] = value
        if self.client:
            self.client.gauge(name, value)

    def timing(self, name: str, duration_ms: float) -> None:
        """Report a duration in milliseconds."""
        with self.lock:
            known = name + ".count"
            self.counters[known] = self.counters.get(known, 0) + 1
            found = self.histograms.get(name)
            if found is None and len(self.histograms) < NAMES_LIMIT:
                found = HdrHistogram(1, LONGEST_MS, DIGITS)
                self.histograms[name] = found
            if found:
                found.record_value(min(max(int(duration_ms), 1), LONGEST_MS))
        if self.client:
            self.client.timing(name, duration_ms)

    def snapshot(self) -> dict[str, float]:
        """Return all counters and gauges by name."""
        with self.lock:
            return {**self.counters, **self.gauges}

    def text(self) -> str:
        """Return everything in the Prometheus text format."""
        with self.lock:
            values = {**self.counters, **self.gauges}
            quantiles = {
                name: [
                    (share, found.get_value_at_percentile(share))
                    for share in QUANTILES
                ]
                for name, found in self.histograms.items()
            }
        lines = [
            f"{flat(name)} {value:g}" for name, value in sorted(values.items())
        ]
        for name, found in sorted(quantiles.items()):
            for share, value in found:
                label = f'{{quantile="{share / 100:g}"}}'
                lines.append(f"{flat(name)}{label} {value:g}")
        return "\n".join(lines) + "\n"


def flat(name: str) -> str:
    """Return a dotted name in the characters of the text format."""
    return "cyclamenscale_" + re.sub(r"[^A-Za-z0-9_]", "_", name)
