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
REQUEST_TIMEOUT_S = 0.5

#: Peers that are asked for one record.
MAX_PEERS_TRIED = 2

#: A peer that did not answer, or refused, comes last for this long.
AVOID_S = 2.0

FRAME_LIMIT_BYTES = 65536

#: After a question that no peer could answer, others are not asked for this
#: long: the store is away for all.
COOLDOWN_S = 0.5

#: Prefixes of the records that peers may create.
CREATABLE_PREFIXES = (JOB, CANCEL)

#: Outcomes of a question.
DONE = "done"
REFUSED = "refused"
UNKNOWN = "unknown"
ABSENT = "absent"


@message(20)
class CreateRequest(NamedTuple):
    """Create a record unless there is one.

    :ivar key: key of a job or a cancellation.
    :ivar value: the record.
    :ivar left_ms: time that the caller still waits.
    """

    key: str
    value: bytes
    left_ms: int


@message(21)
class StateRequest(NamedTuple):
    """Tell the state of a job.

    :ivar queue: queue that the caller named.
    :ivar job: its id.
    """

    queue: str
    job: str


@message(22)
class PeerResponse(NamedTuple):
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
        self.avoided_until_s: dict[str, float] = {}
        self.preferred = ""
        self.all_failed = False
        self.requests_in_progress = 0
        self.next_attempt_s = 0.0

    def available(self) -> bool:
        """Return whether it is worth asking a peer now."""
        if not self.peers or not self.all_failed:
            return bool(self.peers)
        return (
            not self.requests_in_progress
            and self.loop.clock() >= self.next_attempt_s
        )

    def set_peers(self, peers: dict[str, str]) -> None:
        """Take over which entries there are.

        :param peers: address by name, without this entry.
        """
        self.peers = peers
        self.avoided_until_s = {
            name: until_s
            for name, until_s in self.avoided_until_s.items()
            if name in peers
        }

    def peers_to_try(self) -> list[str]:
        """Return the peers to ask, the one that answered last first."""
        now_s = self.loop.clock()
        names = sorted(self.peers)
        self.rng.shuffle(names)
        names.sort(
            key=lambda name: (
                self.avoided_until_s.get(name, 0.0) > now_s,
                name != self.preferred,
            )
        )
        return names[:MAX_PEERS_TRIED]

    def create(self, key: str, value: bytes, end_s: float) -> Future:
        """Have a peer create a record.

        :param end_s: when the caller gives up.
        :returns: :class:`Stored`; fails with :class:`NotAcceptedNowError`
            if no peer has stored it or will, and with
            :class:`UnknownOutcomeError` if that is not known.
        """
        outcome: Future = Future()
        left_ms = int(max(end_s - self.loop.clock(), 0.0) * 1000)
        frame = encode_frame(CreateRequest(key, value, left_ms))

        def settle(answer: PeerResponse | None, maybe: bool) -> None:
            if answer and answer.outcome == DONE:
                found = Stored(answer.revision, answer.value or value)
                outcome.set_result(found)
            elif maybe:
                outcome.set_exception(UnknownOutcomeError("peers"))
            else:
                outcome.set_exception(
                    NotAcceptedNowError("store_unavailable", RETRY_AFTER_S)
                )

        self.request("create", key, frame, settle)
        return outcome

    def state(self, queue: str, job: str) -> Future:
        """Have a peer tell a job's state.

        :returns: the state, or None if no peer knows; fails with
            :class:`NoJobError` if there is no such job.
        """
        outcome: Future = Future()

        def settle(answer: PeerResponse | None, maybe: bool) -> None:
            if answer and answer.outcome == ABSENT:
                outcome.set_exception(NoJobError(f"no job {job}"))
            elif answer and answer.outcome == DONE:
                outcome.set_result(answer.value.decode())
            else:
                outcome.set_result(None)

        frame = encode_frame(StateRequest(queue, job))
        self.request("state", job, frame, settle)
        return outcome

    def request(
        self,
        what: str,
        subject: str,
        frame: bytes,
        settle: Callable[[PeerResponse | None, bool], None],
    ) -> None:
        """Ask one peer after the other until one has a response.

        :param settle: gets the response, None if there is none, and whether
            a peer may have carried the question out.
        """
        names = self.peers_to_try()
        began_s = self.loop.clock()
        self.requests_in_progress += 1

        def finish(response: PeerResponse | None, maybe: bool) -> None:
            self.requests_in_progress -= 1
            self.all_failed = response is None
            if self.all_failed:
                self.next_attempt_s = self.loop.clock() + COOLDOWN_S
            settle(response, maybe)

        def try_next_peer(maybe: bool) -> None:
            if not names:
                log_attempt("", "none")
                finish(None, maybe)
                return
            name = names.pop(0)
            call = self.transport.ask(
                self.peers.get(name, ""), frame, REQUEST_TIMEOUT_S
            )
            call.add_done_callback(lambda done: on_response(name, done, maybe))

        def on_response(name: str, done: Future, maybe: bool) -> None:
            error = done.exception()
            if isinstance(error, CallError):
                log_attempt(name, error.reason)
                self.avoid(name)
                sent = not isinstance(error, CallNotSentError)
                try_next_peer(maybe or sent)
                return
            response = decode_response(done.result())
            log_attempt(name, response.outcome)
            if response.outcome in (DONE, ABSENT):
                self.preferred = name
                finish(response, maybe)
                return
            self.avoid(name)
            try_next_peer(maybe or response.outcome == UNKNOWN)

        def log_attempt(name: str, outcome: str) -> None:
            self.events.note(
                f"relay.{what}",
                subject=subject,
                peer=name,
                peers=len(self.peers),
                outcome=outcome,
                took_s=round(self.loop.clock() - began_s, 4),
            )

        try_next_peer(False)

    def avoid(self, name: str) -> None:
        """Ask a peer last for a while."""
        self.avoided_until_s[name] = self.loop.clock() + AVOID_S
        if self.preferred == name:
            self.preferred = ""


def decode_response(frame: bytes) -> PeerResponse:
    """Decode an answer; one that can't be read tells nothing."""
    try:
        response = decode_frame(frame, FRAME_LIMIT_BYTES)
    except FrameError:
        return PeerResponse(UNKNOWN)
    return (
        response
        if isinstance(response, PeerResponse)
        else PeerResponse(UNKNOWN)
    )


class Responder:
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

    def handle(self, frame: bytes) -> Future:
        """Return the answer to a question, as a frame."""
        response: Future = Future()

        def settle(done: Future) -> None:
            error = done.exception()
            if error is None:
                found = done.result()
            elif isinstance(error, NoJobError):
                found = PeerResponse(ABSENT)
            elif isinstance(error, NotAcceptedNowError | FrameError):
                found = PeerResponse(REFUSED)
            else:
                found = PeerResponse(UNKNOWN)
            response.set_result(encode_frame(found))

        self.execute(frame).add_done_callback(settle)
        return response

    def execute(self, frame: bytes) -> Future:
        """Carry a question out; a :class:`PeerAnswer` or a failure."""
        outcome: Future = Future()
        try:
            request = decode_frame(frame, FRAME_LIMIT_BYTES)
            call = self.dispatch(request)
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
                found = PeerResponse(DONE, found.revision, value)
            else:
                found = PeerResponse(DONE, 0, found.encode())
            outcome.set_result(found)

        call.add_done_callback(settle)
        return outcome

    def dispatch(self, request: NamedTuple) -> Future:
        """Begin to carry a question out.

        :raises FrameError: if it is not a question.
        :raises NotAcceptedNowError: if it names another kind of record.
        """
        if isinstance(request, StateRequest):
            return self.state(request.queue, request.job)
        if not isinstance(request, CreateRequest):
            raise FrameError("type")
        if not request.key.startswith(CREATABLE_PREFIXES):
            raise NotAcceptedNowError("foreign_key", RETRY_AFTER_S)
        end_s = self.loop.clock() + request.left_ms / 1000
        return self.create(request.key, request.value, end_s)
