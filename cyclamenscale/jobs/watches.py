"""Watches prefixes of the store, starting with a full read.

If the store has compacted the revisions since the last event, the prefix is
read in full again. A failed call is repeated after a delay.
"""

from collections.abc import Callable
from concurrent.futures import Future

from loguru import logger

from cyclamenscale.errors import CompactedError
from cyclamenscale.jobs.ports import StoreCalls
from cyclamenscale.store.port import KeyValue, RangeResult, WatchEvent
from cyclamenscale.util.events import EventLog
from cyclamenscale.util.loop import Loop

#: Delay after the first failure: an open connection often breaks alone.
FIRST_RETRY_DELAY_S = 0.02

#: Delay after further failures.
RETRY_DELAY_S = 0.2

#: Number of failures in a row after which the delay is longer.
QUICK_RETRIES = 5
SLOW_RETRY_DELAY_S = 0.5

#: A watch delivers a change within milliseconds, or after the time for which
#: changes are batched.
MAX_LAG_S = 0.3


class RevisionLag:
    """Tells whether a watch lacks a change that has certainly been made.

    A call without a response looks alike whether there is no change or the
    store has stopped delivering them.

    :ivar revision: a revision that the watch did not have when it was
        recorded, 0 if there is none.
    :ivar since_s: when it was recorded.
    """

    def __init__(self):
        """Initialise with no known change."""
        self.revision = 0
        self.since_s = 0.0

    def record(self, revision: int, now_s: float) -> None:
        """Record the revision of a change.

        Later ones are left out until the watch has this one.
        """
        if not self.revision:
            self.revision = revision
            self.since_s = now_s

    def is_behind(self, delivered: int, now_s: float) -> bool:
        """Return whether a change has been missing for too long.

        :param delivered: all changes up to this revision were delivered.
        """
        if delivered >= self.revision:
            self.revision = 0
        return bool(self.revision) and now_s - self.since_s > MAX_LAG_S


class PrefixWatch:
    """Watch of all keys under one prefix.

    :param prefix: the prefix.
    :param replace: called with all items of a full read and its revision.
    :param apply: called with the changed items of an event and its
        revision.
    :param wait_ms: maximum duration of one watch call.
    :param batch_delay_s: time for which changes are batched after an event.
    """

    def __init__(
        self,
        loop: Loop,
        store: StoreCalls,
        events: EventLog,
        prefix: str,
        replace: Callable[[list[KeyValue], int], None],
        apply: Callable[[list[KeyValue], int], None],
        wait_ms: int,
        batch_delay_s: float = 0.0,
    ):
        """Initialise without calls; :meth:`start` makes the first."""
        self.loop = loop
        self.store = store
        self.events = events
        self.prefix = prefix
        self.replace = replace
        self.apply = apply
        self.wait_ms = wait_ms
        self.batch_delay_s = batch_delay_s
        self.revision = 0
        self.failures = 0
        self.failing_since_s = 0.0
        self.stopped = False
        self.rereading = False
        #: When the store last delivered changes.
        self.last_change_s = -1e9
        #: When the store last responded to a call of this watch.
        self.last_response_s = -1e9

    def start(self) -> None:
        """Start with a full read."""
        self.read()

    def stop(self) -> None:
        """Make no further calls."""
        self.stopped = True

    def read(self) -> None:
        """Read the prefix in full."""
        if not self.stopped:
            call = self.store.read_range(self.prefix)
            call.add_done_callback(self.handle_read)

    def handle_read(self, done: Future) -> None:
        """Apply a full read, then watch."""
        if self.stopped:
            return
        if done.exception():
            self.handle_failure(done.exception(), self.read)
            return
        self.record_response()
        result: RangeResult = done.result()
        self.revision = result.revision
        try:
            self.replace(result.items, result.revision)
        except Exception:
            self.handle_fault()
            return
        self.watch()

    def reread(self) -> None:
        """Read the prefix in full beside a watch that may deliver nothing."""
        if self.rereading or self.stopped or not self.revision:
            return
        self.rereading = True

        def handle_read(done: Future) -> None:
            self.rereading = False
            if self.stopped or done.exception():
                return
            result: RangeResult = done.result()
            if result.revision > self.revision:
                self.revision = result.revision
                self.replace(result.items, result.revision)

        self.store.read_range(self.prefix).add_done_callback(handle_read)

    def watch(self) -> None:
        """Call the store for the next changes."""
        if not self.stopped:
            call = self.store.watch(self.prefix, self.revision, self.wait_ms)
            call.add_done_callback(self.handle_event)

    def handle_event(self, done: Future) -> None:
        """Apply the changes of a watch event."""
        if self.stopped:
            return
        error = done.exception()
        if isinstance(error, CompactedError):
            self.events.note(
                "feed.history_lost", prefix=self.prefix, after=self.revision
            )
            self.read()
            return
        if error:
            self.handle_failure(error, self.watch)
            return
        self.record_response()
        event: WatchEvent = done.result()
        # A full read may have been applied since the call was made.
        changed = [
            item for item in event.changed if item.mod_revision > self.revision
        ]
        self.revision = max(self.revision, event.revision)
        if changed:
            self.last_change_s = self.last_response_s
            try:
                self.apply(changed, event.revision)
            except Exception:
                self.handle_fault()
                return
            if self.batch_delay_s:
                self.loop.call_later(self.batch_delay_s, self.watch)
                return
        self.watch()

    def handle_fault(self) -> None:
        """Read in full after an unexpected error, in place of the changes."""
        logger.exception(f"changes below {self.prefix} can't be applied")
        self.events.note("feed.fault", prefix=self.prefix)
        self.loop.call_later(SLOW_RETRY_DELAY_S, self.read)

    def record_response(self) -> None:
        """Record a response from the store."""
        self.last_response_s = self.loop.clock()
        if self.failures:
            self.events.note(
                "feed.back",
                prefix=self.prefix,
                failures=self.failures,
                away_s=round(self.last_response_s - self.failing_since_s, 2),
            )
        self.failures = 0

    def handle_failure(
        self, error: BaseException, retry: Callable[[], None]
    ) -> None:
        """Retry a failed call after a delay."""
        self.failures += 1
        if self.failures == 1:
            self.failing_since_s = self.loop.clock()
            self.events.note(
                "feed.lost", prefix=self.prefix, reason=str(error)
            )
        delay_s = RETRY_DELAY_S
        if self.failures == 1:
            delay_s = FIRST_RETRY_DELAY_S
        elif self.failures > QUICK_RETRIES:
            delay_s = SLOW_RETRY_DELAY_S
        self.loop.call_later(delay_s, retry)
