"""Asks another entry to do what the store refuses to do for this one.

The platform's store may turn some entries away and serve the others. An
entry that is turned away hands its callers' jobs and cancellations to a
peer, which stores them, and asks it for the state of jobs, since its own
watch is behind. A record is created only where there is none, so that it
does no harm if both store it.

What a peer certainly did not do may be refused; a question without an
answer may have been carried out.
"""

from collections.abc import Callable
from concurrent.futures import Future
from random import Random
from typing import NamedTuple, Protocol

from cyclamenscale.errors import (
    CallError,
    CallNotSentError,
    FrameError,
    JobError,
    NoJobError,
    NotAcceptedNowError,
    UnknownOutcomeError,
)
from cyclamenscale.jobs.acceptance import RETRY_AFTER_S, Stored
from cyclamenscale.jobs.keys import CANCEL, JOB
from cyclamenscale.members.messages import (
    decode_frame,
    encode_frame,
    message,
)
from cyclamenscale.util.events import EventLog
from cyclamenscale.util.loop import Loop

#: Time for one question. A peer answers after one write to the store.
ASK_S = 0.5

#: Peers that are asked for one record.
PEERS_LIMIT = 2

#: A peer that did not answer, or refused, comes last for this long.
SHUN_S = 2.0

FRAME_LIMIT_BYTES = 65536

#: After a question that no peer could answer, others are not asked for this
#: long: the store is away for all.
PAUSE_S = 0.5

#: Prefixes of the records that peers may create.
PREFIXES = (JOB, CANCEL)

#: Outcomes of a question.
DONE = "done"
REFUSED = "refused"
UNKNOWN = "unknown"
ABSENT = "absent"


@message(20)
class CreateQuestion(NamedTuple):
    """Create a record unless there is one.

    :ivar key: key of a job or a cancellation.
    :ivar value: the record.
    :ivar left_ms: time that the caller still waits.
    """

    key: str
    value: bytes
    left_ms: int


@message(21)
class StateQuestion(NamedTuple):
    """Tell the state of a job.

    :ivar queue: queue that the caller named.
    :ivar job: its id.
    """

    queue: str
    job: str


@message(22)
class PeerAnswer(NamedTuple):
    """Answer to either question.

    :ivar outcome: one of ``done``, ``refused``, ``unknown``, ``absent``.
    :ivar revision: of a record that was created, 0 if it was there.
    :ivar value: the record that is there, or the state.
    """

    outcome: str
    revision: int = 0
    value: bytes = b""


class Transport(Protocol):
    """What the relay needs of the links to the peers."""

    def ask(self, address: str, question: bytes, timeout_s: float) -> Future:
        """Ask a peer; fails with a :class:`CallError`."""


class Relay:
    """Chooses peers and follows their answers.

    :param loop: its clock.
    :param transport: the links.
    :param events: log.
    :param rng: spreads the entries over the peers.
    """

    def __init__(
        self, loop: Loop, transport: Transport, events: EventLog, rng: Random
    ):
        """Start without peers."""
        self.loop = loop
        self.transport = transport
        self.events = events
        self.rng = rng
        #: Addresses of the other entries by name.
        self.peers: dict[str, str] = {}
        #: Until when a peer comes last.
        self.shunned_s: dict[str, float] = {}
        self.favourite = ""
        self.failed = False
        self.asking = 0
        self.retry_s = 0.0

    def available(self) -> bool:
        """Return whether it is worth asking a peer now."""
        if not self.peers or not self.failed:
            return bool(self.peers)
        return not self.asking and self.loop.clock() >= self.retry_s

    def set_peers(self, peers: dict[str, str]) -> None:
        """Take over which entries there are.

        :param peers: address by name, without this entry.
        """
        self.peers = peers
        self.shunned_s = {
            name: until_s
            for name, until_s in self.shunned_s.items()
            if name in peers
        }

    def order(self) -> list[str]:
        """Return the peers to ask, the one that answered last first."""
        now_s = self.loop.clock()
        names = sorted(self.peers)
        self.rng.shuffle(names)
        names.sort(
            key=lambda name: (
                self.shunned_s.get(name, 0.0) > now_s,
                name != self.favourite,
            )
        )
        return names[:PEERS_LIMIT]

    def create(self, key: str, value: bytes, end_s: float) -> Future:
        """Have a peer create a record.

        :param end_s: when the caller gives up.
        :returns: :class:`Stored`; fails with :class:`NotAcceptedNowError`
            if no peer has stored it or will, and with
            :class:`UnknownOutcomeError` if that is not known.
        """
        outcome: Future = Future()
        left_ms = int(max(end_s - self.loop.clock(), 0.0) * 1000)
        question = encode_frame(CreateQuestion(key, value, left_ms))

        def settle(answer: PeerAnswer | None, maybe: bool) -> None:
            if answer and answer.outcome == DONE:
                found = Stored(answer.revision, answer.value or value)
                outcome.set_result(found)
            elif maybe:
                outcome.set_exception(UnknownOutcomeError("peers"))
            else:
                outcome.set_exception(
                    NotAcceptedNowError("store_unavailable", RETRY_AFTER_S)
                )

        self.ask("create", key, question, settle)
        return outcome

    def state(self, queue: str, job: str) -> Future:
        """Have a peer tell a job's state.

        :returns: the state, or None if no peer knows; fails with
            :class:`NoJobError` if there is no such job.
        """
        outcome: Future = Future()

        def settle(answer: PeerAnswer | None, maybe: bool) -> None:
            if answer and answer.outcome == ABSENT:
                outcome.set_exception(NoJobError(f"no job {job}"))
            elif answer and answer.outcome == DONE:
                outcome.set_result(answer.value.decode())
            else:
                outcome.set_result(None)

        question = encode_frame(StateQuestion(queue, job))
        self.ask("state", job, question, settle)
        return outcome

    def ask(
        self,
        what: str,
        subject: str,
        question: bytes,
        settle: Callable[[PeerAnswer | None, bool], None],
    ) -> None:
        """Ask one peer after the other until one has an answer.

        :param settle: gets the answer, None if there is none, and whether
            a peer may have carried the question out.
        """
        names = self.order()
        began_s = self.loop.clock()
        self.asking += 1

        def end(answer: PeerAnswer | None, maybe: bool) -> None:
            self.asking -= 1
            self.failed = answer is None
            if self.failed:
                self.retry_s = self.loop.clock() + PAUSE_S
            settle(answer, maybe)

        def next_peer(maybe: bool) -> None:
            if not names:
                note("", "none")
                end(None, maybe)
                return
            name = names.pop(0)
            asked = self.transport.ask(
                self.peers.get(name, ""), question, ASK_S
            )
            asked.add_done_callback(lambda done: take(name, done, maybe))

        def take(name: str, done: Future, maybe: bool) -> None:
            error = done.exception()
            if isinstance(error, CallError):
                note(name, error.reason)
                self.shun(name)
                sent = not isinstance(error, CallNotSentError)
                next_peer(maybe or sent)
                return
            answer = read_answer(done.result())
            note(name, answer.outcome)
            if answer.outcome in (DONE, ABSENT):
                self.favourite = name
                end(answer, maybe)
                return
            self.shun(name)
            next_peer(maybe or answer.outcome == UNKNOWN)

        def note(name: str, result: str) -> None:
            self.events.note(
                f"relay.{what}",
                subject=subject,
                peer=name,
                peers=len(self.peers),
                outcome=result,
                took_s=round(self.loop.clock() - began_s, 4),
            )

        next_peer(False)

    def shun(self, name: str) -> None:
        """Ask a peer last for a while."""
        self.shunned_s[name] = self.loop.clock() + SHUN_S
        if self.favourite == name:
            self.favourite = ""


def read_answer(frame: bytes) -> PeerAnswer:
    """Decode an answer; one that can't be read tells nothing."""
    try:
        answer = decode_frame(frame, FRAME_LIMIT_BYTES)
    except FrameError:
        return PeerAnswer(UNKNOWN)
    return answer if isinstance(answer, PeerAnswer) else PeerAnswer(UNKNOWN)


class Answerer:
    """Answers the questions of peers, never by asking others.

    :param create: creates a record as for a caller of this entry.
    :param state: returns the state of a job as this entry knows it.
    """

    def __init__(
        self,
        loop: Loop,
        create: Callable[[str, bytes, float], Future],
        state: Callable[[str, str], Future],
    ):
        """Keep the functions."""
        self.loop = loop
        self.create = create
        self.state = state

    def take(self, frame: bytes) -> Future:
        """Return the answer to a question, as a frame."""
        answer: Future = Future()

        def settle(done: Future) -> None:
            error = done.exception()
            if error is None:
                found = done.result()
            elif isinstance(error, NoJobError):
                found = PeerAnswer(ABSENT)
            elif isinstance(error, NotAcceptedNowError | FrameError):
                found = PeerAnswer(REFUSED)
            else:
                found = PeerAnswer(UNKNOWN)
            answer.set_result(encode_frame(found))

        self.carry_out(frame).add_done_callback(settle)
        return answer

    def carry_out(self, frame: bytes) -> Future:
        """Carry a question out; a :class:`PeerAnswer` or a failure."""
        outcome: Future = Future()
        try:
            question = decode_frame(frame, FRAME_LIMIT_BYTES)
            call = self.call(question)
        except (FrameError, JobError) as error:
            outcome.set_exception(error)
            return outcome

        def settle(done: Future) -> None:
            error = done.exception()
            if error:
                outcome.set_exception(error)
                return
            found = done.result()
            if isinstance(found, Stored):
                value = b"" if found.revision else found.value
                found = PeerAnswer(DONE, found.revision, value)
            else:
                found = PeerAnswer(DONE, 0, found.encode())
            outcome.set_result(found)

        call.add_done_callback(settle)
        return outcome

    def call(self, question: NamedTuple) -> Future:
        """Begin to carry a question out.

        :raises FrameError: if it is not a question.
        :raises NotAcceptedNowError: if it names another kind of record.
        """
        if isinstance(question, StateQuestion):
            return self.state(question.queue, question.job)
        if not isinstance(question, CreateQuestion):
            raise FrameError("type")
        if not question.key.startswith(PREFIXES):
            raise NotAcceptedNowError("foreign_key", RETRY_AFTER_S)
        end_s = self.loop.clock() + question.left_ms / 1000
        return self.create(question.key, question.value, end_s)
