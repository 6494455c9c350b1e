"""Messages between entries and their encoding.

A frame consists of a version byte, a byte for the message type, and the
message as a msgpack array. Frames of a different version, of an unknown type,
over the size limit or with fields that do not match the type are rejected
with :class:`cyclamenscale.errors.FrameError`.
"""

from collections.abc import Callable
from typing import NamedTuple

from cyclamenscale.errors import FrameError
from cyclamenscale.util.codec import pack, unpack

WIRE_VERSION = 1

MESSAGE_TYPES: dict[int, type] = {}
TAGS: dict[type, int] = {}


def message(tag: int) -> Callable[[type], type]:
    """Register a message type under its wire tag.

    :param tag: number of the type on the wire; must never be reused for
        another type.
    """

    def register(kind: type) -> type:
        MESSAGE_TYPES[tag] = kind
        TAGS[kind] = tag
        return kind

    return register


@message(1)
class Heartbeat(NamedTuple):
    """State of the sender, sent to each peer at a fixed interval.

    It also acknowledges the last heartbeat received from the peer: separate
    acknowledgements would double the number of messages.

    :ivar sender: name of the sending entry.
    :ivar incarnation: incarnation of the sender.
    :ivar address: ``host:port`` of its peer link.
    :ivar data_centre: data centre in which it runs.
    :ivar applied_revision: configuration revision it has applied.
    :ivar members_revision: revision of its member list.
    :ivar sequence: sequence number of the heartbeat.
    :ivar admitting: whether it currently admits work.
    :ivar acked_sequence: sequence number of the last heartbeat received from
        the peer, 0 if none.
    :ivar confirms: false while the sender is recovering from a restart; the
        acknowledgement then shows only that the link works.
    """

    sender: str
    incarnation: int
    address: str
    data_centre: str
    applied_revision: int
    members_revision: int
    sequence: int
    admitting: bool
    acked_sequence: int = 0
    confirms: bool = True


@message(3)
class ChangeNotice(NamedTuple):
    """Request to apply a revision and acknowledge it.

    :ivar sender: entry that waits for the acknowledgement.
    :ivar revision: the configuration revision.
    :ivar number: number of the barrier, echoed in :class:`ChangeAck`.
    """

    sender: str
    revision: int
    number: int


@message(4)
class ChangeAck(NamedTuple):
    """Acknowledgement that the sender has applied a revision.

    :ivar sender: acknowledging entry.
    :ivar revision: revision of the notice.
    :ivar number: number of the barrier, from the notice.
    """

    sender: str
    revision: int
    number: int


@message(5)
class DeltaRequest(NamedTuple):
    """Request for all changes after a revision.

    :ivar sender: requesting entry.
    :ivar after: highest revision it has applied.
    """

    sender: str
    after: int


class ConfigChange(NamedTuple):
    """One changed key of the configuration.

    :ivar key: store key.
    :ivar value: new value, empty if the key was deleted.
    :ivar revision: revision of the change.
    """

    key: str
    value: bytes
    revision: int


@message(6)
class Delta(NamedTuple):
    """Changes after a revision, in order; response to a delta request.

    :ivar sender: responding entry.
    :ivar after: the requested revision.
    :ivar upto: revision that the receiver reaches by applying the changes.
    :ivar complete: false if the sender's change log does not reach back to
        ``after``, so that digests have to be compared.
    :ivar changes: the changes.
    """

    sender: str
    after: int
    upto: int
    complete: bool
    changes: list[ConfigChange]


@message(7)
class DigestRequest(NamedTuple):
    """Request for the digests of the configuration's key buckets.

    :ivar sender: requesting entry.
    """

    sender: str


@message(8)
class Digest(NamedTuple):
    """Digests of the key buckets at a revision.

    :ivar sender: responding entry.
    :ivar revision: the sender's applied revision.
    :ivar buckets: 64-bit digest of each bucket.
    """

    sender: str
    revision: int
    buckets: list[int]


@message(9)
class BucketRequest(NamedTuple):
    """Request for the content of key buckets.

    :ivar sender: requesting entry.
    :ivar buckets: numbers of the buckets.
    """

    sender: str
    buckets: list[int]


@message(10)
class Bucket(NamedTuple):
    """Content of one key bucket at a revision.

    :ivar sender: responding entry.
    :ivar number: number of the bucket.
    :ivar revision: the sender's applied revision.
    :ivar items: keys of the bucket with their values and revisions.
    """

    sender: str
    number: int
    revision: int
    items: list[ConfigChange]


class SlotRequestItem(NamedTuple):
    """A request that waits for a slot.

    :ivar number: number that the entry has given to the request.
    :ivar class_name: class of the request.
    :ivar slack_ms: time remaining until its deadline, in milliseconds.
    :ivar exclude: endpoints that must not run it.
    """

    number: int
    class_name: str
    slack_ms: int
    exclude: tuple[str, ...] = ()


class GrantItem(NamedTuple):
    """A slot granted to a waiting request, or a refusal.

    :ivar number: number that the entry has given to the request.
    :ivar endpoint: name of the instance, empty if the request is refused.
    :ivar retry_after_ms: for a refusal, time until a slot is expected to be
        free, in milliseconds.
    """

    number: int
    endpoint: str
    retry_after_ms: int = 0


class SlotReleaseItem(NamedTuple):
    """A slot that a request has released.

    :ivar number: number that the entry has given to the request; negative
        for a slot granted to a request that had already taken over another
        one.
    :ivar run_ms: run time of the request, in milliseconds.
    :ivar complete: whether a complete response was received.
    :ivar successor: number of the request of the same class that has taken
        over the slot, 0 if the slot is free.
    """

    number: int
    run_ms: int
    complete: bool
    successor: int = 0


class SlotInUseItem(NamedTuple):
    """A slot in use by a running request.

    :ivar number: number that the entry has given to the request.
    :ivar class_name: class of the request.
    :ivar endpoint: name of the instance.
    :ivar elapsed_ms: time the request has run so far, in milliseconds.
    """

    number: int
    class_name: str
    endpoint: str
    elapsed_ms: int


@message(11)
class SlotBatch(NamedTuple):
    """Slot requests and releases from an entry to a pool's scheduler.

    :ivar sender: name of the entry.
    :ivar pool: name of the pool.
    :ivar epoch: increases with each change of scheduler that the sender
        observes; with ``reset`` the scheduler discards its state of the
        sender.
    :ivar reset: whether ``requests`` and ``in_use`` are complete.
    :ivar requests: requests that wait for a slot.
    :ivar released: slots that have been released.
    :ivar cancelled: numbers of requests that no longer wait.
    :ivar in_use: slots of running requests, only with ``reset``.
    :ivar sequence: increases by one with each batch of an epoch; on a gap
        the scheduler requests a reset.
    """

    sender: str
    pool: str
    epoch: int
    reset: bool
    requests: list[SlotRequestItem]
    released: list[SlotReleaseItem]
    cancelled: list[int]
    in_use: list[SlotInUseItem]
    sequence: int = 0


@message(12)
class GrantBatch(NamedTuple):
    """Grants and refusals from a pool's scheduler to an entry.

    :ivar sender: name of the entry that is the scheduler.
    :ivar pool: name of the pool.
    :ivar epoch: epoch of the entry's last :class:`SlotBatch`, 0 to request
        a reset.
    :ivar grants: granted slots and refusals.
    :ivar sequence: increases by one with each batch of an epoch; on a gap
        the entry sends a reset.
    :ivar head_slack_ms: slack of the first waiting request of the most urgent
        class, in milliseconds; -1 if no slot may be handed over, because no
        such request waits or long work is starved; -2 if nothing waits and
        many slots are free. See ``slot_handover.py``.
    """

    sender: str
    pool: str
    epoch: int
    grants: list[GrantItem]
    sequence: int = 0
    head_slack_ms: int = -1


@message(13)
class EndpointSignal(NamedTuple):
    """Signal that an endpoint leaves, fails or is available again.

    :ivar sender: entry that observed it.
    :ivar endpoint: name of the instance.
    :ivar kind: ``leaving``, ``failed`` or ``back``.
    """

    sender: str
    endpoint: str
    kind: str


@message(14)
class InProgressRequest(NamedTuple):
    """Request for the number of requests in progress at an endpoint.

    :ivar sender: requesting entry.
    :ivar endpoint: name of the instance.
    :ivar token: number of this message, echoed in the reply.
    """

    sender: str
    endpoint: str
    token: int


@message(15)
class InProgressReply(NamedTuple):
    """Reply to :class:`InProgressRequest`.

    :ivar sender: responding entry.
    :ivar endpoint: name of the instance.
    :ivar token: number from the request.
    :ivar count: number of the sender's requests in progress at the endpoint.
    """

    sender: str
    endpoint: str
    token: int
    count: int


def encode_frame(content: NamedTuple) -> bytes:
    """Encode a message as a frame."""
    return bytes((WIRE_VERSION, TAGS[type(content)])) + pack(content)


def decode_frame(frame: bytes, limit_bytes: int) -> NamedTuple:
    """Decode a frame.

    :param frame: the received bytes.
    :param limit_bytes: frames over this size are rejected.
    :raises FrameError: with the reason, which is part of a counter's name.
    """
    if len(frame) > limit_bytes:
        raise FrameError("size")
    if len(frame) < 2 or frame[0] != WIRE_VERSION:
        raise FrameError("version")
    if frame[1] not in MESSAGE_TYPES:
        raise FrameError("type")
    return unpack(frame[2:], MESSAGE_TYPES[frame[1]])
