"""Accepts and cancels jobs: stored first, in groups, then answered.

A caller is told "not accepted" only if the store certainly did not, and
never will, take the job. After a lost answer the same write is sent again;
if it was carried out, its comparison fails and shows the record.
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

#: The platform takes 32 entries a transaction, two for each record.
WRITES_PER_TXN = 15

#: Records that wait; more are refused at once.
MAX_WAITING = 600

#: Transactions on their way at once.
MAX_IN_FLIGHT = 2

#: Pause before a write that failed is sent again.
RETRY_DELAY_S = 0.15

#: After a failure without a success since, new records are refused at once
#: for this long; then one of them tries the store again.
PROBE_INTERVAL_S = 0.5

#: When callers that are refused should come back. An outage lasts some
#: seconds, and callers come back only a few times.
RETRY_AFTER_S = 2.0


class Stored(NamedTuple):
    """A record that is in the store.

    :ivar revision: revision of its creation, 0 if it was there before.
    :ivar value: the value that is there.
    """

    revision: int
    value: bytes


class Fallback(Protocol):
    """Who creates records that the store refuses to this entry."""

    def available(self) -> bool:
        """Return whether it is worth asking."""

    def create(self, key: str, value: bytes, end_s: float) -> Future:
        """Create a record; the outcome is that of an acceptance."""


class PendingWrite:
    """A record to create.

    :ivar maybe: whether an earlier try may still be carried out.
    :ivar asked: whether the store or a peer has it without an answer yet.
    :ivar own: whether only this entry may try.
    """

    def __init__(
        self, key: str, value: bytes, end_s: float, local_only: bool = False
    ):
        """Keep the record and when the caller gives up."""
        self.key = key
        self.value = value
        self.end_s = end_s
        self.outcome: Future = Future()
        self.may_be_stored = False
        self.awaiting_response = False
        self.local_only = local_only
        self.attempts = 0


class Acceptance:
    """Creates records in groups; belongs to the loop's thread.

    :param loop: timers.
    :param store: the store.
    :param events: log of what failed.
    :param fallback: asked for what the store refuses to this entry.
    :param store_answered_s: when the store last answered any other call of
        this entry. A store that only loses some answers is not away.
    """

    def __init__(
        self,
        loop: Loop,
        store: StoreCalls,
        events: EventLog,
        fallback: Fallback | None = None,
        last_store_response_s: Callable[[], float] = lambda: 0.0,
    ):
        """Start with nothing waiting."""
        self.loop = loop
        self.store = store
        self.events = events
        self.fallback = fallback
        self.last_store_response_s = last_store_response_s
        self.waiting: deque[PendingWrite] = deque()
        self.in_flight = 0
        self.scheduled = False
        #: When the store last answered and last failed.
        self.last_success_s = 0.0
        self.last_failure_s = -1e9
        self.next_probe_s = 0.0

    def create(self, key: str, value: bytes, end_s: float) -> Future:
        """Create a record unless there is one.

        :param end_s: when the caller gives up.
        :returns: :class:`Stored`; fails with :class:`NotAcceptedNowError`
            if it is certainly not stored, and with
            :class:`UnknownOutcomeError` if that is not known.
        """
        return self.enqueue(PendingWrite(key, value, end_s))

    def create_locally(self, key: str, value: bytes, end_s: float) -> Future:
        """Create a record for a peer, without asking others."""
        return self.enqueue(PendingWrite(key, value, end_s, local_only=True))

    def enqueue(self, write: PendingWrite) -> Future:
        """Queue a record, or refuse it at once."""
        if len(self.waiting) >= MAX_WAITING:
            write.outcome.set_exception(NotAcceptedNowError("overload", 1.0))
            return write.outcome
        left_s = max(write.end_s - self.loop.clock(), 0.0)
        self.loop.call_later(left_s, lambda: self.expire(write))
        if self.is_store_unavailable():
            self.try_fallback(write)
            return write.outcome
        self.waiting.append(write)
        self.schedule_send(0.0)
        return write.outcome

    def is_store_unavailable(self) -> bool:
        """Return whether the store is taken to be away.

        Nothing of a record that is refused here was sent, so the refusal
        is true.
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
        """Send what waits, after a delay."""
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_later(delay_s, self.send)

    def send(self) -> None:
        """Send a group if one may be sent."""
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
        """Send one transaction."""
        self.in_flight += 1
        for write in group:
            write.attempts += 1
            write.awaiting_response = True
        call = self.store.txn(
            [Compare(write.key, 0) for write in group],
            [Put(write.key, write.value) for write in group],
        )
        call.add_done_callback(lambda done: self.on_response(group, done))

    def on_response(self, group: list[PendingWrite], done: Future) -> None:
        """Take the outcome of a transaction."""
        self.in_flight -= 1
        error = done.exception()
        if error:
            self.on_failure(group, error)
        else:
            self.last_success_s = self.loop.clock()
            result: TxnResult = done.result()
            for write in group:
                existing = result.current.get(write.key)
                if result.succeeded:
                    self.resolve(write, Stored(result.revision, write.value))
                elif existing:
                    self.resolve(write, Stored(0, existing.value))
                else:
                    write.awaiting_response = False
                    self.waiting.append(write)
        if self.waiting:
            self.schedule_send(0.0)

    def on_failure(
        self, group: list[PendingWrite], error: BaseException
    ) -> None:
        """Decide on a group whose transaction failed."""
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
        # What was not sent yet must not wait for the same.
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
        """Have another entry create a record that the store refused here."""
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
        asked = self.fallback.create(write.key, write.value, write.end_s)

        def answered(done: Future) -> None:
            write.awaiting_response = False
            error = done.exception()
            if error is None:
                self.resolve(write, done.result())
                return
            if isinstance(error, UnknownOutcomeError):
                write.may_be_stored = True
            self.retry_or_give_up(write)

        asked.add_done_callback(answered)

    def retry_or_give_up(self, write: PendingWrite) -> None:
        """Send a record again if it may be stored already, else refuse it."""
        left_s = write.end_s - self.loop.clock()
        if write.may_be_stored and left_s >= RETRY_DELAY_S:
            self.loop.call_later(RETRY_DELAY_S, lambda: self.retry(write))
        else:
            self.give_up(write)

    def retry(self, write: PendingWrite) -> None:
        """Send a record again whose transaction had no answer."""
        self.waiting.append(write)
        self.schedule_send(0.0)

    def resolve(self, write: PendingWrite, stored: Stored) -> None:
        """Tell that a record is stored, unless the caller has given up."""
        if not write.outcome.done():
            write.outcome.set_result(stored)

    def expire(self, write: PendingWrite) -> None:
        """Answer a caller whose time is over, whatever is under way."""
        if not write.outcome.done():
            write.may_be_stored = (
                write.may_be_stored or write.awaiting_response
            )
            self.give_up(write)

    def give_up(self, write: PendingWrite) -> None:
        """Tell that a record is not stored, or that nobody knows."""
        if write.outcome.done():
            return
        if write.may_be_stored:
            write.outcome.set_exception(UnknownOutcomeError("store"))
        else:
            write.outcome.set_exception(
                NotAcceptedNowError("store_unavailable", RETRY_AFTER_S)
            )
