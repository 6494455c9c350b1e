"""In-memory store with the same injectable faults as the stand-in server.

In tests, several entries may each have a :class:`MemoryStore` on one shared
state, with separate faults.
"""

import time
from collections import Counter
from collections.abc import Callable, Iterator
from typing import TypeVar

from cyclamenscale.errors import (
    LeaseLostError,
    StoreAnswerLostError,
    StoreUnavailableError,
)
from cyclamenscale.settings import Settings
from cyclamenscale.standin.state import (
    Check,
    DeleteOp,
    PutOp,
    RangeOp,
    RangeResponse,
    RequestRefusedError,
    Stored,
    StoreFaults,
    StoreState,
)
from cyclamenscale.store.port import (
    Compare,
    Delete,
    KeyValue,
    Put,
    RangeResult,
    Store,
    TxnResult,
    Watch,
    WatchEvent,
)
from cyclamenscale.util.keys import prefix_end

T = TypeVar("T")

PROGRESS_INTERVAL_S = 0.5


class MemoryStore(Store):
    """In-memory implementation of the store port.

    :param state: state of the store; a new one by default.
    :param settings: settings of the entry, for the call timeout and the
        silence limit of watches.
    :param sleep: function that sleeps for ``slow_s`` seconds; tests with a
        virtual clock pass their own.
    """

    def __init__(
        self,
        state: StoreState | None = None,
        settings: Settings | None = None,
        sleep: Callable[[float], None] = time.sleep,
    ):
        """Initialise with no faults active."""
        self.state = state or StoreState()
        self.settings = (settings or Settings()).store
        self.sleep = sleep
        self.faults = StoreFaults(self.state)
        self.calls: Counter[str] = Counter()

    def call(self, name: str, write: bool, action: Callable[[], T]) -> T:
        """Make one call, subject to the active faults."""
        with self.state.changed:
            self.calls[name] += 1
        if self.faults.down:
            raise StoreUnavailableError(name, "the store is down")
        slow_s = self.faults.slow_s
        timeout_s = self.settings.call_timeout_s
        if slow_s:
            self.sleep(min(slow_s, timeout_s))
        if slow_s > timeout_s and not write:
            raise StoreUnavailableError(name, f"no answer in {timeout_s} s")
        try:
            result = action()
        except RequestRefusedError as error:
            raise StoreUnavailableError(name, error.message) from error
        if slow_s > timeout_s:
            raise StoreAnswerLostError(name, f"no answer in {timeout_s} s")
        if write and self.faults.should_lose_response():
            raise StoreAnswerLostError(name, "connection closed")
        return result

    def get(self, key: str) -> tuple[int, KeyValue | None]:
        """Read one key."""
        revision, response = self.call(
            "get", False, lambda: self.state.read(RangeOp(key.encode()))
        )
        found = [to_key_value(item) for item in response.items]
        return revision, found[0] if found else None

    def range(
        self, prefix: str, limit: int = 0, start: str = ""
    ) -> RangeResult:
        """Read all keys under a prefix."""
        op = RangeOp(
            (start or prefix or "\0").encode(), prefix_end(prefix), limit
        )
        revision, response = self.call(
            "range", False, lambda: self.state.read(op)
        )
        items = [to_key_value(item) for item in response.items]
        return RangeResult(revision, items, response.count > len(items))

    def txn(
        self,
        compares: list[Compare],
        writes: list[Put | Delete],
    ) -> TxnResult:
        """Apply all writes if all comparisons hold, otherwise none."""
        checks = [
            Check(c.key.encode(), "MOD", "EQUAL", c.mod_revision)
            for c in compares
        ]
        success = [
            PutOp(w.key.encode(), w.value, w.lease)
            if isinstance(w, Put)
            else DeleteOp(w.key.encode())
            for w in writes
        ]
        failure = [RangeOp(check.key) for check in checks]

        def transact() -> tuple[bool, int, list]:
            try:
                return self.state.transact(checks, success, failure)
            except RequestRefusedError as error:
                if error.code == 5:
                    lease_id = next(
                        w.lease
                        for w in writes
                        if isinstance(w, Put) and w.lease
                    )
                    raise LeaseLostError(lease_id) from error
                raise

        succeeded, revision, responses = self.call("txn", True, transact)
        current = {}
        if not succeeded:
            for response in responses:
                if isinstance(response, RangeResponse) and response.items:
                    found = to_key_value(response.items[0])
                    current[found.key] = found
        return TxnResult(succeeded, revision, current)

    def lease_grant(self, ttl_s: int) -> int:
        """Grant a lease."""
        return self.call("lease_grant", True, lambda: self.state.grant(ttl_s))

    def lease_keep_alive(self, lease_id: int) -> int:
        """Renew a lease."""
        left_s = self.call(
            "lease_keep_alive", True, lambda: self.state.keep_alive(lease_id)
        )
        if not left_s:
            raise LeaseLostError(lease_id)
        return left_s

    def lease_revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete the keys attached to it."""

        def revoke() -> None:
            try:
                self.state.revoke(lease_id)
            except RequestRefusedError as error:
                raise LeaseLostError(lease_id) from error

        self.call("lease_revoke", True, revoke)

    def watch(self, prefix: str, from_revision: int) -> "MemoryWatch":
        """Watch the keys under a prefix."""
        self.call("watch", False, lambda: None)
        return MemoryWatch(self, prefix, from_revision)

    def call_counts(self) -> dict[str, int]:
        """Return the number of calls by name."""
        with self.state.changed:
            return dict(self.calls)


class MemoryWatch(Watch):
    """A watch on the state of an in-memory store."""

    def __init__(self, store: MemoryStore, prefix: str, from_revision: int):
        """Start at a revision; 0 means the next one."""
        self.store = store
        self.state = store.state
        self.prefix = prefix
        self.next_revision = from_revision or self.state.revision + 1
        self.closed = False

    def events(self) -> Iterator[WatchEvent]:
        """Yield events; the first one immediately."""
        first = True
        while True:
            with self.state.changed:
                if not first and not self.is_ready():
                    self.state.changed.wait(PROGRESS_INTERVAL_S)
                first = False
                event = self.next_event()
            if event is None:
                return
            yield event

    def is_ready(self) -> bool:
        """Return whether the next event is available without waiting."""
        return (
            self.closed
            or self.store.faults.down
            or self.state.revision >= self.next_revision
        )

    def next_event(self) -> WatchEvent | None:
        """Return the next event, or None once the watch is closed."""
        faults = self.store.faults
        silence_s = self.store.settings.watch_silence_s
        if faults.mute_watches and not self.closed:
            notified = self.state.changed.wait_for(
                lambda: self.closed or faults.down or not faults.mute_watches,
                silence_s,
            )
            if not notified:
                raise StoreUnavailableError(
                    "watch", f"silent for {silence_s} s"
                )
        if self.closed:
            return None
        if faults.down:
            raise StoreUnavailableError("watch", "the store is down")
        revision, events = self.state.events_from(
            (self.prefix or "\0").encode(),
            prefix_end(self.prefix),
            self.next_revision,
        )
        self.next_revision = max(self.next_revision, revision + 1)
        return WatchEvent(revision, [to_key_value(e) for e in events])

    def close(self) -> None:
        """Close the watch, which ends :meth:`events`."""
        with self.state.changed:
            self.closed = True
            self.state.changed.notify_all()


def to_key_value(stored: Stored) -> KeyValue:
    """Convert a key of the state to the type of the store port."""
    return KeyValue(
        stored.key.decode(),
        stored.value,
        stored.create_revision,
        stored.mod_revision,
        stored.lease,
    )
