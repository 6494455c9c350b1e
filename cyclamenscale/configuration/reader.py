"""Reads the configuration from the store and follows it with a watch.

Freshness needs the time at which a request was sent, and a report of a
watch does not show how long it was on its way: after a pause of this
process a report of long ago may be the next one to be read. So a small read
is sent at an interval, and counts, as of when it was sent, once the watch
has delivered everything up to the revision that it returned.
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

#: Reads whose revision the watch has not reached yet.
MAX_PENDING_READS = 64

#: Interval of the small reads, as a share of the freshness limit. A read
#: waits at most a second for the next report, so that with a limit of 6 s
#: two of them may fail without effect.
CHECK_INTERVAL_SHARE = 0.25

#: Age, as a share of the freshness limit, at which the whole configuration
#: is read since the watch does not deliver.
SILENCE_SHARE = 0.6


class ConfigReader:
    """Keeps the table up to date from the store.

    :param settings: the whole settings.
    :param store: the store port.
    :param table: gets the changes.
    :param freshness: gets the times of the reads.
    :param metrics: counters.
    :param clock: monotonic seconds.
    :param random: source of the jitter.
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        table: ConfigTable,
        freshness: Freshness,
        metrics: Metrics,
        clock: Clock,
        random: Random | None = None,
    ):
        """Prepare; nothing is read before :meth:`run`."""
        self.settings = settings
        self.store = store
        self.table = table
        self.freshness = freshness
        self.metrics = metrics
        self.clock = clock
        self.random = random or Random()
        # Guards waiting, watch, healthy.
        self.lock = Lock()
        self.pending_reads: deque[tuple[int, float]] = deque(
            maxlen=MAX_PENDING_READS
        )
        self.watch: Watch | None = None
        self.healthy = True

    def run(self, stop: Event) -> None:
        """Follow the store until told to stop.

        :param stop: ends the loop.
        """
        with ThreadPoolExecutor(1, "config-watch") as threads:
            following = threads.submit(self.follow_store, stop)
            try:
                while not stop.is_set() and not following.done():
                    self.check_freshness()
                    limit_s = self.settings.freshness.limit_s
                    stop.wait(CHECK_INTERVAL_SHARE * limit_s)
            finally:
                self.close_watch()
            # A failure that is not the store's goes to the supervisor; the
            # watch thread ends by itself when stopped.
            following.result()

    def follow_store(self, stop: Event) -> None:
        """Read, then watch; begin again after failures."""
        failures = 0
        while not stop.is_set():
            try:
                if self.table.covered == 0 or self.freshness.recovering:
                    self.read_all()
                for changed in self.apply_events():
                    # Not before: a watch can be opened and then fail.
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
        """Read everything after a compaction; return failures so far."""
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
        began_s = self.clock()
        result = self.store.range(CONFIG_PREFIX)
        self.metrics.incr("reader.ranges")
        self.table.load([to_change(i) for i in result.items], result.revision)
        self.freshness.store_read(began_s, result.revision)

    def apply_events(self):
        """Apply the events of a new watch; yield how many keys changed.

        :raises StoreError: when the watch ends.
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
        """Send a small read, or read everything if the watch is silent."""
        limit_s = self.settings.freshness.limit_s
        began_s = self.clock()
        try:
            revision, _ = self.store.get(MEMBERS_KEY)
            with self.lock:
                self.pending_reads.append((revision, began_s))
            self.confirm_reads()
            if self.freshness.age_s() > SILENCE_SHARE * limit_s:
                self.metrics.incr("reader.silent")
                self.read_all()
        except StoreError:
            self.metrics.incr("reader.failures")

    def confirm_reads(self) -> None:
        """Count the small reads whose revision is covered by now."""
        with self.lock:
            covered = self.table.covered
            done = [part for part in self.pending_reads if part[0] <= covered]
            for part in done:
                self.pending_reads.remove(part)
        for revision, began_s in done:
            self.freshness.store_read(began_s, revision)

    def close_watch(self) -> None:
        """End the watch, if there is one."""
        with self.lock:
            watch, self.watch = self.watch, None
        if watch is not None:
            watch.close()

    def retry_delay_s(self, failures: int) -> float:
        """Return the wait before the next watch, with full jitter."""
        return backoff_s(self.settings.limits, failures, self.random)

    def record_health(
        self, healthy: bool, error: Exception | None = None
    ) -> None:
        """Log when the store becomes reachable or unreachable."""
        if error is not None:
            self.metrics.incr("reader.failures")
        with self.lock:
            before, self.healthy = self.healthy, healthy
        if before and not healthy:
            logger.warning("configuration watch failed: {}", error)
        elif healthy and not before:
            logger.info("configuration watch works again")


def to_change(item: KeyValue) -> ConfigChange:
    """Turn a key of the store into a change."""
    return ConfigChange(item.key, item.value, item.mod_revision)
