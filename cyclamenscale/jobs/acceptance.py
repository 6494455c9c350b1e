"""Creates the records of accepted and cancelled jobs, in batches.

A caller gets a response only after the record is stored, and "not accepted"
only if the store certainly has not applied the write and never will. After
a lost response the same write is sent again; if the first one was applied,
the comparison fails and returns the stored record.
"""

from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from typing import NamedTuple, Protocol

from cyclamenscale.errors import (
    NotAcceptedNowError,
    StoreError,
    StoreUnavailableError,
    UnknownOutcomeError,
)
from cyclamenscale.jobs.ports import StoreCalls
from cyclamenscale.store.port import Compare, Put, TxnResult
from cyclamenscale.util.events import EventLog
from cyclamenscale.util.loop import Loop

#: The platform allows 32 operations in a transaction; each record takes two,
#: a comparison and a write.
WRITES_PER_TXN = 15

#: Maximum number of waiting records; further ones are refused immediately.
MAX_WAITING = 600

#: Maximum number of concurrent transactions.
MAX_IN_FLIGHT = 2

#: Delay before a failed write is sent again.
RETRY_DELAY_S = 0.15

#: After a failure that no success has followed, the store gets no new record
#: for this long; then one record is sent to it as a probe.
PROBE_INTERVAL_S = 0.5

#: Retry delay reported to refused callers. An outage lasts some seconds, and
#: callers retry only a few times.
RETRY_AFTER_S = 2.0


class Stored(NamedTuple):
    """A record that is in the store.

    :ivar revision: revision of its creation, 0 if it already existed.
    :ivar value: the stored value.
    """

    revision: int
    value: bytes


class Fallback(Protocol):
    """Another way to create records while this entry's store calls fail."""

    def available(self) -> bool:
        """Return whether a request is likely to succeed."""

    def create(self, key: str, value: bytes, end_s: float) -> Future:
        """Create a record; same result as :meth:`Acceptance.create`."""


class PendingWrite:
    """A record to create.

    :ivar may_be_stored: whether an earlier attempt may have been applied
        or may still be.
    :ivar awaiting_response: whether a request to the store or a peer is in
        progress.
    :ivar local_only: whether it must not be passed on to a peer.
    """

    def __init__(
        self, key: str, value: bytes, end_s: float, local_only: bool = False
    ):
        """Initialise a write that has not been attempted.

        :param end_s: deadline of the caller.
        """
        self.key = key
        self.value = value
        self.end_s = end_s
        self.outcome: Future = Future()
        self.may_be_stored = False
        self.awaiting_response = False
        self.local_only = local_only
        self.attempts = 0


class Acceptance:
    """Creates records in batches; used only by the loop's thread.

    :param loop: clock and timers.
    :param store: the store.
    :param events: log of failures.
    :param fallback: creates records while this entry's store calls fail.
    :param last_store_response_s: returns when the store last responded to
        any other call of this entry. A store that loses only some responses
        counts as available.
    :param on_created: called with the key, the value and the revision of
        each record that this entry has created.
    """

    def __init__(
        self,
        loop: Loop,
        store: StoreCalls,
        events: EventLog,
        fallback: Fallback | None = None,
        last_store_response_s: Callable[[], float] = lambda: 0.0,
        on_created: Callable[[str, bytes, int], None] = (
            lambda key, value, revision: None
        ),
    ):
        """Initialise with no waiting records."""
        self.loop = loop
        self.store = store
        self.events = events
        self.fallback = fallback
        self.last_store_response_s = last_store_response_s
        self.on_created = on_created
        self.waiting: deque[PendingWrite] = deque()
        self.in_flight = 0
        self.scheduled = False
        #: When a transaction last succeeded and last failed.
        self.last_success_s = 0.0
        self.last_failure_s = -1e9
        self.next_probe_s = 0.0

    def create(self, key: str, value: bytes, end_s: float) -> Future:
        """Create a record unless the key exists.

        :param end_s: deadline of the caller.
        :returns: future of :class:`Stored`; fails with
            :class:`NotAcceptedNowError` if the record is certainly not
            stored, and with :class:`UnknownOutcomeError` if it may be.
        """
        return self.enqueue(PendingWrite(key, value, end_s))

    def create_locally(self, key: str, value: bytes, end_s: float) -> Future:
        """Create a record for a peer, without passing it on."""
        return self.enqueue(PendingWrite(key, value, end_s, local_only=True))

    def enqueue(self, write: PendingWrite) -> Future:
        """Queue a write, or refuse it if the queue is full."""
        if len(self.waiting) >= MAX_WAITING:
            write.outcome.set_exception(NotAcceptedNowError("overload", 1.0))
            return write.outcome
        remaining_s = max(write.end_s - self.loop.clock(), 0.0)
        self.loop.call_later(remaining_s, lambda: self.expire(write))
        if self.is_store_unavailable():
            self.try_fallback(write)
            return write.outcome
        self.waiting.append(write)
        self.schedule_send(0.0)
        return write.outcome

    def is_store_unavailable(self) -> bool:
        """Return whether new records should not be sent to the store.

        The store counts as unavailable after a failure until it responds
        again, except for one probe every :data:`PROBE_INTERVAL_S`. A record
        that is refused for this was never sent, so it can't be stored.
        """
        last_response_s = max(
            self.last_success_s, self.last_store_response_s()
        )
        if self.last_failure_s <= last_response_s:
            return False
        now_s = self.loop.clock()
        if now_s < self.next_probe_s or self.in_flight:
            return True
        self.next_probe_s = now_s + PROBE_INTERVAL_S
        return False

    def schedule_send(self, delay_s: float) -> None:
        """Schedule the sending of waiting writes."""
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_later(delay_s, self.send)

    def send(self) -> None:
        """Send waiting writes in batches, up to the concurrency limit."""
        self.scheduled = False
        while self.waiting and self.in_flight < MAX_IN_FLIGHT:
            group: dict[str, PendingWrite] = {}
            rest: deque[PendingWrite] = deque()
            now_s = self.loop.clock()
            while self.waiting and len(group) < WRITES_PER_TXN:
                write = self.waiting.popleft()
                if write.outcome.done():
                    continue
                if write.end_s <= now_s:
                    self.give_up(write)
                elif write.key in group:
                    rest.append(write)
                else:
                    group[write.key] = write
            self.waiting.extendleft(reversed(rest))
            if not group:
                return
            self.send_group(list(group.values()))
            if rest:
                return

    def send_group(self, group: list[PendingWrite]) -> None:
        """Send a batch of writes as one transaction."""
        self.in_flight += 1
        for write in group:
            write.attempts += 1
            write.awaiting_response = True
        call = self.store.txn(
            [Compare(write.key, 0) for write in group],
            [Put(write.key, write.value) for write in group],
        )
        call.add_done_callback(lambda done: self.handle_response(group, done))

    def handle_response(self, group: list[PendingWrite], done: Future) -> None:
        """Process the result of a transaction."""
        self.in_flight -= 1
        error = done.exception()
        if error:
            self.handle_failure(group, error)
        else:
            self.last_success_s = self.loop.clock()
            result: TxnResult = done.result()
            for write in group:
                existing = result.current.get(write.key)
                if result.succeeded:
                    self.resolve(write, Stored(result.revision, write.value))
                    self.on_created(write.key, write.value, result.revision)
                elif existing:
                    self.resolve(write, Stored(0, existing.value))
                else:
                    write.awaiting_response = False
                    self.waiting.append(write)
        if self.waiting:
            self.schedule_send(0.0)

    def handle_failure(
        self, group: list[PendingWrite], error: BaseException
    ) -> None:
        """Handle the writes of a transaction that failed."""
        now_s = self.loop.clock()
        self.last_failure_s = now_s
        self.next_probe_s = now_s + PROBE_INTERVAL_S
        lost = not isinstance(error, StoreUnavailableError)
        if not isinstance(error, StoreError):
            self.events.note("accept.store_error", reason=str(error))
        for write in group:
            write.may_be_stored = write.may_be_stored or lost
            write.awaiting_response = False
            self.try_fallback(write)
        # Waiting writes would run into the same failure.
        waiting, self.waiting = self.waiting, deque()
        for write in waiting:
            self.try_fallback(write)
        self.events.note(
            "accept.store_failed",
            records=len(group),
            lost=lost,
            reason=str(error),
        )

    def try_fallback(self, write: PendingWrite) -> None:
        """Have the fallback create a record, if it is available."""
        if write.outcome.done():
            return
        if (
            write.local_only
            or not self.fallback
            or not self.fallback.available()
        ):
            self.retry_or_give_up(write)
            return
        write.awaiting_response = True
        call = self.fallback.create(write.key, write.value, write.end_s)

        def handle_response(done: Future) -> None:
            write.awaiting_response = False
            error = done.exception()
            if error is None:
                self.resolve(write, done.result())
                return
            if isinstance(error, UnknownOutcomeError):
                write.may_be_stored = True
            self.retry_or_give_up(write)

        call.add_done_callback(handle_response)

    def retry_or_give_up(self, write: PendingWrite) -> None:
        """Retry a write if it may be stored already, else refuse it."""
        remaining_s = write.end_s - self.loop.clock()
        if write.may_be_stored and remaining_s >= RETRY_DELAY_S:
            self.loop.call_later(RETRY_DELAY_S, lambda: self.retry(write))
        else:
            self.give_up(write)

    def retry(self, write: PendingWrite) -> None:
        """Send a write again whose transaction had no response."""
        self.waiting.append(write)
        self.schedule_send(0.0)

    def resolve(self, write: PendingWrite, stored: Stored) -> None:
        """Report that a record is stored, unless already resolved."""
        if not write.outcome.done():
            write.outcome.set_result(stored)

    def expire(self, write: PendingWrite) -> None:
        """Report the outcome of a write at the caller's deadline."""
        if not write.outcome.done():
            write.may_be_stored = (
                write.may_be_stored or write.awaiting_response
            )
            self.give_up(write)

    def give_up(self, write: PendingWrite) -> None:
        """Report that a record is not stored, or that this is unknown."""
        if write.outcome.done():
            return
        if write.may_be_stored:
            write.outcome.set_exception(UnknownOutcomeError("store"))
        else:
            write.outcome.set_exception(
                NotAcceptedNowError("store_unavailable", RETRY_AFTER_S)
            )
