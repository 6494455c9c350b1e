"""Follows prefixes of the store: a full reading, then watches.

After a lost history, or an error, the prefix is read in full again.
"""

from collections.abc import Callable
from concurrent.futures import Future

from cyclamenscale.errors import CompactedError
from cyclamenscale.jobs.ports import StoreCalls
from cyclamenscale.store.port import KeyValue, RangeResult, WatchEvent
from cyclamenscale.util.events import EventLog
from cyclamenscale.util.loop import Loop

#: Pause after a failure.
RETRY_DELAY_S = 0.2

#: Failures after which the pause is longer.
QUICK_RETRIES = 5
SLOW_RETRY_DELAY_S = 0.5


class PrefixWatch:
    """One prefix that is followed.

    :param prefix: the prefix.
    :param replace: gets all items and the revision of a full reading.
    :param apply: gets the items of one event, and its revision.
    :param wait_ms: longest wait of one watch.
    :param pause_s: time in which changes are gathered after an event.
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
        """Keep the parts; :meth:`start` begins."""
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
        #: When the store last answered a call of this feed.
        self.last_response_s = -1e9

    def start(self) -> None:
        """Begin with a full reading."""
        self.read()

    def stop(self) -> None:
        """Make no further calls."""
        self.stopped = True

    def read(self) -> None:
        """Read the prefix in full."""
        if not self.stopped:
            call = self.store.read_range(self.prefix)
            call.add_done_callback(self.on_read)

    def on_read(self, done: Future) -> None:
        """Take a full reading over."""
        if self.stopped:
            return
        if done.exception():
            self.on_failure(done.exception(), self.read)
            return
        self.on_response()
        result: RangeResult = done.result()
        self.revision = result.revision
        self.replace(result.items, result.revision)
        self.watch()

    def watch(self) -> None:
        """Wait for the next changes."""
        if not self.stopped:
            call = self.store.watch(self.prefix, self.revision, self.wait_ms)
            call.add_done_callback(self.on_event)

    def on_event(self, done: Future) -> None:
        """Take changes over."""
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
            self.on_failure(error, self.watch)
            return
        self.on_response()
        event: WatchEvent = done.result()
        self.revision = max(self.revision, event.revision)
        if event.changed:
            self.apply(event.changed, event.revision)
            if self.batch_delay_s:
                self.loop.call_later(self.batch_delay_s, self.watch)
                return
        self.watch()

    def on_response(self) -> None:
        """Note that the store answers."""
        self.last_response_s = self.loop.clock()
        if self.failures:
            self.events.note(
                "feed.back",
                prefix=self.prefix,
                failures=self.failures,
                away_s=round(self.last_response_s - self.failing_since_s, 2),
            )
        self.failures = 0

    def on_failure(
        self, error: BaseException, retry: Callable[[], None]
    ) -> None:
        """Try again after a pause."""
        self.failures += 1
        if self.failures == 1:
            self.failing_since_s = self.loop.clock()
            self.events.note(
                "feed.lost", prefix=self.prefix, reason=str(error)
            )
        slow = self.failures > QUICK_RETRIES
        self.loop.call_later(
            SLOW_RETRY_DELAY_S if slow else RETRY_DELAY_S, retry
        )
