"""Relays requests to a peer while the store rejects this entry's calls.

The platform's store may reject some entries and serve the others. A
rejected entry sends its callers' jobs and cancellations to a peer, which
stores them. A record is created only if its key does not exist, so it does
no harm if both entries store it.

An entry whose watch is behind requests the state of jobs from the leader,
which stores all progress itself, or from a peer whose watch is not behind.

A caller may be refused only if no peer can have executed the request; a
request without a response may have been executed.
"""

from collections import Counter
from collections.abc import Callable
from concurrent.futures import Future
from random import Random
from typing import NamedTuple, Protocol

from cyclamenscale.errors import (
    CallError,
    CallNotSentError,
    FieldError,
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

#: Timeout of one request. A peer responds after one write to the store.
REQUEST_TIMEOUT_S = 0.5

#: Maximum number of peers tried for one request.
MAX_PEERS_TRIED = 2

#: A peer that did not respond, or refused, is tried last for this long.
AVOID_S = 2.0

FRAME_LIMIT_BYTES = 65536

#: After a request that no peer could execute, none is sent for this long,
#: since the store is probably unavailable to all entries.
COOLDOWN_S = 0.5

#: Prefixes of the records that peers may create.
CREATABLE_PREFIXES = (JOB, CANCEL)

#: Kinds of requests, for the log and for the pause after a failure.
CREATE_KIND = "create"
STATE_KIND = "state"
PROBE_KIND = "probe"
LEASE_END_KIND = "lease_end"

#: Outcomes of a request.
DONE = "done"
REFUSED = "refused"
UNKNOWN = "unknown"
ABSENT = "absent"


@message(20)
class CreateRequest(NamedTuple):
    """Request to create a record unless its key exists.

    :ivar key: key of a job or a cancellation.
    :ivar value: the record.
    :ivar remaining_ms: remaining waiting time of the caller.
    """

    key: str
    value: bytes
    remaining_ms: int


@message(21)
class StateRequest(NamedTuple):
    """Request for the state of a job.

    :ivar queue: name of the queue in the caller's request.
    :ivar job: id of the job.
    """

    queue: str
    job: str


@message(23)
class RecordNotice(NamedTuple):
    """Notice to the leader that a record was created.

    :ivar key: key of a job or a cancellation.
    :ivar value: the record.
    :ivar revision: revision of its creation.
    """

    key: str
    value: bytes
    revision: int


@message(24)
class StoreProbe(NamedTuple):
    """Request to find out whether the store serves the peer.

    :ivar sender: name of the requesting entry.
    """

    sender: str


@message(25)
class LeaseEndRequest(NamedTuple):
    """Request to end the lease of the leader, which has ended its term.

    :ivar lease: id of the lease.
    """

    lease: int


@message(22)
class PeerResponse(NamedTuple):
    """Response to any request.

    :ivar outcome: one of ``done``, ``refused``, ``unknown``, ``absent``.
    :ivar revision: revision of a created record, 0 if it already existed.
    :ivar value: the existing record, or the state.
    """

    outcome: str
    revision: int = 0
    value: bytes = b""


class Transport(Protocol):
    """Connections to peers, as the relay uses them."""

    def request(self, address: str, frame: bytes, timeout_s: float) -> Future:
        """Send a request to a peer; fails with a :class:`CallError`."""


class Relay:
    """Selects peers and sends them requests.

    :param loop: clock.
    :param transport: connections to the peers.
    :param events: log of the requests.
    :param rng: random source that spreads the requests over the peers.
    :ivar leader: name of the leader if it is another entry, or empty.
    :ivar preferred: name of the peer that last executed a request, or empty.
    """

    def __init__(
        self, loop: Loop, transport: Transport, events: EventLog, rng: Random
    ):
        """Initialise with no peers."""
        self.loop = loop
        self.transport = transport
        self.events = events
        self.rng = rng
        #: Addresses of the other entries by name.
        self.peers: dict[str, str] = {}
        #: Until when a peer is tried last, by name.
        self.avoided_until_s: dict[str, float] = {}
        self.leader = ""
        self.preferred = ""
        self.requests_in_progress: Counter[str] = Counter()
        #: When the next request may be sent, by kind of request, if no peer
        #: could execute the last one.
        self.next_attempt_s: dict[str, float] = {}

    def available(self, kind: str = CREATE_KIND) -> bool:
        """Return whether a request may be sent to a peer now."""
        if not self.peers or kind not in self.next_attempt_s:
            return bool(self.peers)
        return (
            not self.requests_in_progress[kind]
            and self.loop.clock() >= self.next_attempt_s[kind]
        )

    def set_peers(self, peers: dict[str, str], leader: str = "") -> None:
        """Set the peers.

        :param peers: address by name, without this entry.
        :param leader: name of the leader if it is one of them.
        """
        self.peers = peers
        self.leader = leader
        self.avoided_until_s = {
            name: until_s
            for name, until_s in self.avoided_until_s.items()
            if name in peers
        }

    def peers_to_try(self, kind: str = CREATE_KIND) -> list[str]:
        """Return the peers to try, the preferred one first.

        The leader is the first for states, and the last for records, which
        all entries can create.
        """
        now_s = self.loop.clock()
        names = sorted(self.peers)
        self.rng.shuffle(names)
        names.sort(
            key=lambda name: (
                self.avoided_until_s.get(name, 0.0) > now_s,
                (name == self.leader) != (kind == STATE_KIND),
                name != self.preferred,
            )
        )
        return names[:MAX_PEERS_TRIED]

    def create(self, key: str, value: bytes, end_s: float) -> Future:
        """Have a peer create a record.

        :param end_s: deadline of the caller.
        :returns: future of :class:`Stored`; fails with
            :class:`NotAcceptedNowError` if no peer has stored the record or
            will store it, and with :class:`UnknownOutcomeError` if one may
            have.
        """
        outcome: Future = Future()
        remaining_ms = int(max(end_s - self.loop.clock(), 0.0) * 1000)
        frame = encode_frame(CreateRequest(key, value, remaining_ms))

        def settle(
            response: PeerResponse | None, may_be_executed: bool
        ) -> None:
            if response and response.outcome == DONE:
                stored = Stored(response.revision, response.value or value)
                outcome.set_result(stored)
            elif may_be_executed:
                outcome.set_exception(UnknownOutcomeError("peers"))
            else:
                outcome.set_exception(
                    NotAcceptedNowError("store_unavailable", RETRY_AFTER_S)
                )

        self.request(CREATE_KIND, key, frame, settle)
        return outcome

    def state(self, queue: str, job: str) -> Future:
        """Request a job's state from a peer.

        :returns: future of the state, or of None if no peer returned it;
            fails with :class:`NoJobError` if there is no such job.
        """
        outcome: Future = Future()

        def settle(
            response: PeerResponse | None, may_be_executed: bool
        ) -> None:
            if response and response.outcome == ABSENT:
                outcome.set_exception(NoJobError(f"no job {job}"))
            elif response and response.outcome == DONE:
                outcome.set_result(response.value.decode())
            else:
                outcome.set_result(None)

        frame = encode_frame(StateRequest(queue, job))
        self.request(STATE_KIND, job, frame, settle)
        return outcome

    def probe(self) -> Future:
        """Find out whether the store serves a peer.

        :returns: future of whether it does.
        """
        outcome: Future = Future()
        frame = encode_frame(StoreProbe(""))
        self.request(
            PROBE_KIND,
            "",
            frame,
            lambda response, may_be_executed: outcome.set_result(
                response is not None
            ),
        )
        return outcome

    def end_lease(self, lease: int) -> None:
        """Have a peer end the lease of this entry; it expires otherwise."""
        self.request(
            LEASE_END_KIND,
            str(lease),
            encode_frame(LeaseEndRequest(lease)),
            lambda response, may_be_executed: None,
        )

    def request(
        self,
        kind: str,
        subject: str,
        frame: bytes,
        settle: Callable[[PeerResponse | None, bool], None],
    ) -> None:
        """Send a request to one peer after the other until one executes it.

        :param kind: kind of request.
        :param subject: key or job id, for the log.
        :param frame: the encoded request.
        :param settle: called with the response, or None if there is none,
            and with whether a peer may have executed the request.
        """
        names = self.peers_to_try(kind)
        began_s = self.loop.clock()
        self.requests_in_progress[kind] += 1

        def finish(
            response: PeerResponse | None, may_be_executed: bool
        ) -> None:
            self.requests_in_progress[kind] -= 1
            self.next_attempt_s.pop(kind, None)
            if response is None:
                self.next_attempt_s[kind] = self.loop.clock() + COOLDOWN_S
            settle(response, may_be_executed)

        def try_next_peer(may_be_executed: bool) -> None:
            if not names:
                log_attempt("", "none")
                finish(None, may_be_executed)
                return
            name = names.pop(0)
            call = self.transport.request(
                self.peers.get(name, ""), frame, REQUEST_TIMEOUT_S
            )
            call.add_done_callback(
                lambda done: handle_response(name, done, may_be_executed)
            )

        def handle_response(
            name: str, done: Future, may_be_executed: bool
        ) -> None:
            error = done.exception()
            if isinstance(error, CallError):
                log_attempt(name, error.reason)
                self.avoid(name)
                sent = not isinstance(error, CallNotSentError)
                try_next_peer(may_be_executed or sent)
                return
            response = decode_response(done.result())
            log_attempt(name, response.outcome)
            if response.outcome in (DONE, ABSENT):
                self.preferred = name
                finish(response, may_be_executed)
                return
            self.avoid(name)
            try_next_peer(may_be_executed or response.outcome == UNKNOWN)

        def log_attempt(name: str, outcome: str) -> None:
            self.events.note(
                f"relay.{kind}",
                subject=subject,
                peer=name,
                peers=len(self.peers),
                outcome=outcome,
                took_s=round(self.loop.clock() - began_s, 4),
            )

        try_next_peer(False)

    def avoid(self, name: str) -> None:
        """Try a peer last for a while."""
        self.avoided_until_s[name] = self.loop.clock() + AVOID_S
        if self.preferred == name:
            self.preferred = ""


def decode_response(frame: bytes) -> PeerResponse:
    """Decode a response; the outcome is unknown if that fails."""
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
    """Serves requests of peers, without sending requests to others.

    :param create: creates a record, like a caller of this entry.
    :param state: returns the state of a job according to this entry.
    :param take_notice: applies a record that another entry has created.
    :param probe_store: makes a call to the store.
    :param end_lease: ends the lease of the leader, given its id.
    """

    def __init__(
        self,
        loop: Loop,
        create: Callable[[str, bytes, float], Future],
        state: Callable[[str, str], Future],
        take_notice: Callable[[str, bytes, int], None],
        probe_store: Callable[[], Future],
        end_lease: Callable[[int], Future],
    ):
        """Initialise with the functions that execute requests."""
        self.loop = loop
        self.create = create
        self.state = state
        self.take_notice = take_notice
        self.probe_store = probe_store
        self.end_lease = end_lease

    def handle(self, frame: bytes) -> Future:
        """Execute a request; the future's result is an encoded response."""
        response: Future = Future()

        def settle(done: Future) -> None:
            error = done.exception()
            if error is None:
                found = done.result()
            elif isinstance(error, NoJobError):
                found = PeerResponse(ABSENT)
            elif isinstance(
                error, NotAcceptedNowError | FrameError | FieldError
            ):
                found = PeerResponse(REFUSED)
            else:
                found = PeerResponse(UNKNOWN)
            response.set_result(encode_frame(found))

        self.execute(frame).add_done_callback(settle)
        return response

    def execute(self, frame: bytes) -> Future:
        """Decode and execute a request.

        :returns: future of a :class:`PeerResponse`.
        """
        outcome: Future = Future()
        try:
            request = decode_frame(frame, FRAME_LIMIT_BYTES)
            call = self.dispatch(request)
        except (FrameError, FieldError, JobError) as error:
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
            elif isinstance(found, str):
                found = PeerResponse(DONE, 0, found.encode())
            else:
                found = PeerResponse(DONE)
            outcome.set_result(found)

        call.add_done_callback(settle)
        return outcome

    def dispatch(self, request: NamedTuple) -> Future:
        """Start the execution of a request.

        :raises FrameError: if the message is not a request.
        :raises FieldError: if a record can't be decoded.
        :raises NotAcceptedNowError: if peers may not create such a record.
        """
        if isinstance(request, StateRequest):
            return self.state(request.queue, request.job)
        if isinstance(request, StoreProbe):
            return self.probe_store()
        if isinstance(request, LeaseEndRequest):
            return self.end_lease(request.lease)
        if not isinstance(request, CreateRequest | RecordNotice):
            raise FrameError("type")
        if not request.key.startswith(CREATABLE_PREFIXES):
            raise NotAcceptedNowError("foreign_key", RETRY_AFTER_S)
        if isinstance(request, RecordNotice):
            self.take_notice(request.key, request.value, request.revision)
            taken: Future = Future()
            taken.set_result(None)
            return taken
        end_s = self.loop.clock() + request.remaining_ms / 1000
        return self.create(request.key, request.value, end_s)
