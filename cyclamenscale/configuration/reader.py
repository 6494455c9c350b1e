"""Reads the configuration from the store and follows it with a watch.

Freshness is measured from the time at which a request was sent. A watch
event does not show how long it was in transit: after a pause of this
process, the next event to be read may be an old one. So a read of a single
key is sent at an interval. Once the watch has delivered every change up to
the revision that the read returned, the read confirms that the
configuration was fresh when the read was sent.
"""

from collections import deque
from concurrent.futures import ThreadPoolExecutor
from random import Random
from threading import Event, Lock

from loguru import logger

from cyclamenscale.configuration.table import ConfigTable
from cyclamenscale.errors import CompactedError, StoreError
from cyclamenscale.members.freshness import Freshness
from cyclamenscale.members.messages import ConfigChange
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import CONFIG_PREFIX, MEMBERS_KEY
from cyclamenscale.requests.limits import backoff_s
from cyclamenscale.settings import Settings
from cyclamenscale.store.port import KeyValue, Store, Watch
from cyclamenscale.util.clock import Clock

#: Maximum number of reads kept whose revision the watch has not reached yet.
MAX_PENDING_READS = 64

#: Interval of the single-key reads, as a share of the freshness limit. A read
#: is confirmed by the next watch event, which takes at most a second, so
#: with a limit of 6 s two of them may fail without loss of freshness.
CHECK_INTERVAL_SHARE = 0.25

#: Age of the configuration, as a share of the freshness limit, above which
#: the watch counts as silent and the whole configuration is read.
SILENCE_SHARE = 0.6


class ConfigReader:
    """Keeps the configuration table up to date with the store.

    :param settings: settings of the entry.
    :param store: store that holds the configuration.
    :param table: receives the changes.
    :param freshness: receives the times of confirmed reads.
    :param metrics: counters ``reader.*``.
    :param clock: monotonic clock in seconds.
    :param rng: source of jitter.
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        table: ConfigTable,
        freshness: Freshness,
        metrics: Metrics,
        clock: Clock,
        rng: Random | None = None,
    ):
        """Initialise; nothing is read before :meth:`run`."""
        self.settings = settings
        self.store = store
        self.table = table
        self.freshness = freshness
        self.metrics = metrics
        self.clock = clock
        self.rng = rng or Random()
        # Guards pending_reads, watch, healthy.
        self.lock = Lock()
        self.pending_reads: deque[tuple[int, float]] = deque(
            maxlen=MAX_PENDING_READS
        )
        self.watch: Watch | None = None
        self.healthy = True

    def run(self, stop: Event) -> None:
        """Follow the store until stopped.

        :param stop: set to stop the reader.
        """
        with ThreadPoolExecutor(1, "config-watch") as executor:
            watch_future = executor.submit(self.follow_store, stop)
            try:
                while not stop.is_set() and not watch_future.done():
                    self.check_freshness()
                    limit_s = self.settings.freshness.limit_s
                    stop.wait(CHECK_INTERVAL_SHARE * limit_s)
            finally:
                self.close_watch()
            # Raises errors other than store errors, for the supervisor. The
            # watch thread ends by itself once it is stopped.
            watch_future.result()

    def follow_store(self, stop: Event) -> None:
        """Read the configuration and watch it; retry after failures."""
        failures = 0
        while not stop.is_set():
            try:
                if self.table.covered == 0 or self.freshness.recovering:
                    self.read_all()
                for changed in self.apply_events():
                    # Only after an event: a watch can fail after it was
                    # opened.
                    self.record_health(True)
                    failures = 0
                    if changed:
                        self.metrics.incr("reader.changes", changed)
                    if stop.is_set():
                        return
            except CompactedError:
                self.metrics.incr("reader.compacted")
                failures = self.read_after_compaction(failures)
            except StoreError as error:
                self.record_health(False, error)
                failures += 1
            if failures:
                stop.wait(self.retry_delay_s(failures))

    def read_after_compaction(self, failures: int) -> int:
        """Read everything after a compaction.

        :param failures: number of consecutive failures so far.
        :returns: number of consecutive failures after the read.
        """
        try:
            self.read_all()
        except StoreError as error:
            self.record_health(False, error)
            return failures + 1
        return 0

    def read_all(self) -> None:
        """Read the whole configuration.

        :raises StoreError: if the read fails.
        """
        sent_s = self.clock()
        result = self.store.range(CONFIG_PREFIX)
        self.metrics.incr("reader.ranges")
        self.table.load(
            [to_change(item) for item in result.items], result.revision
        )
        self.freshness.record_store_read(sent_s, result.revision)

    def apply_events(self):
        """Open a watch, apply its events and yield their changed key counts.

        :raises StoreError: when the watch fails.
        """
        watch = self.store.watch(CONFIG_PREFIX, self.table.covered + 1)
        with self.lock:
            self.watch = watch
        self.metrics.incr("reader.watches")
        try:
            for event in watch.events():
                changes = [to_change(item) for item in event.changed]
                applied = self.table.apply(changes, event.revision)
                self.confirm_reads()
                yield applied.changed
        finally:
            self.close_watch()

    def check_freshness(self) -> None:
        """Send a single-key read; read everything if the watch is silent."""
        limit_s = self.settings.freshness.limit_s
        sent_s = self.clock()
        try:
            revision, _ = self.store.get(MEMBERS_KEY)
            with self.lock:
                self.pending_reads.append((revision, sent_s))
            self.confirm_reads()
            if self.freshness.store_read_age_s() > SILENCE_SHARE * limit_s:
                self.metrics.incr("reader.silent")
                self.read_all()
        except StoreError:
            self.metrics.incr("reader.failures")

    def confirm_reads(self) -> None:
        """Report reads to freshness once the table covers their revision."""
        with self.lock:
            covered = self.table.covered
            confirmed = [
                read for read in self.pending_reads if read[0] <= covered
            ]
            for read in confirmed:
                self.pending_reads.remove(read)
        for revision, sent_s in confirmed:
            self.freshness.record_store_read(sent_s, revision)

    def close_watch(self) -> None:
        """Close the watch, if one is open."""
        with self.lock:
            watch, self.watch = self.watch, None
        if watch is not None:
            watch.close()

    def retry_delay_s(self, failures: int) -> float:
        """Return the wait before the next attempt, with full jitter."""
        return backoff_s(self.settings.limits, failures, self.rng)

    def record_health(
        self, healthy: bool, error: Exception | None = None
    ) -> None:
        """Record the health of the watch and log when it changes."""
        if error is not None:
            self.metrics.incr("reader.failures")
        with self.lock:
            before, self.healthy = self.healthy, healthy
        if before and not healthy:
            logger.warning("configuration watch failed: {}", error)
        elif healthy and not before:
            logger.info("configuration watch recovered")


def to_change(item: KeyValue) -> ConfigChange:
    """Convert a key of the store to a configuration change."""
    return ConfigChange(item.key, item.value, item.mod_revision)
