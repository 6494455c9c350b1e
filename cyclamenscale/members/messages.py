"""Messages between entries.

A frame is one version byte, one byte for the message type, and the message
as a msgpack array. Frames of another version, of an unknown type, over the
size limit or with other fields than the type's are refused with
:class:`cyclamenscale.errors.FrameError`.
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

    :param tag: number of the type on the wire; never used again for
        another type.
    """

    def register(kind: type) -> type:
        MESSAGE_TYPES[tag] = kind
        TAGS[kind] = tag
        return kind

    return register


@message(1)
class Heartbeat(NamedTuple):
    """State of the sender, sent to each peer at an interval.

    It also answers the receiver's last heartbeat: a message of its own for
    the answer would double the number of messages.

    :ivar sender: name of the sending entry.
    :ivar incarnation: its incarnation.
    :ivar address: ``host:port`` of its peer link.
    :ivar data_centre: where it runs.
    :ivar applied_revision: configuration revision it has applied.
    :ivar members_revision: revision of its member list.
    :ivar sequence: number of the heartbeat.
    :ivar admitting: whether it admits work now.
    :ivar acked_sequence: last heartbeat received from the peer, 0
        for none.
    :ivar confirms: false while the sender is recovering from a restart; the
        answer then shows only that the link works.
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
    """A revision was written; apply it and acknowledge.

    :ivar sender: entry that wrote it.
    :ivar revision: the configuration revision.
    :ivar number: number of the barrier, echoed by :class:`ChangeAck`.
    """

    sender: str
    revision: int
    number: int


@message(4)
class ChangeAck(NamedTuple):
    """The sender has applied a revision.

    :ivar sender: acknowledging entry.
    :ivar revision: the revision of the notice.
    :ivar number: number of the barrier that it answers.
    """

    sender: str
    revision: int
    number: int


@message(5)
class DeltaRequest(NamedTuple):
    """Ask for all changes after a revision.

    :ivar sender: entry that asks.
    :ivar after: highest revision it has applied.
    """

    sender: str
    after: int


class ConfigChange(NamedTuple):
    """One changed key of the configuration.

    :ivar key: store key.
    :ivar value: its value, empty if it was deleted.
    :ivar revision: revision of the change.
    """

    key: str
    value: bytes
    revision: int


@message(6)
class Delta(NamedTuple):
    """Changes after a revision, in order.

    :ivar sender: answering entry.
    :ivar after: the revision asked for.
    :ivar upto: revision the receiver has reached by applying them.
    :ivar complete: false if the log does not reach back to ``after``, and
        digests have to be compared.
    :ivar changes: the changes.
    """

    sender: str
    after: int
    upto: int
    complete: bool
    changes: list[ConfigChange]


@message(7)
class DigestRequest(NamedTuple):
    """Ask for the digests of the configuration's key buckets.

    :ivar sender: entry that asks.
    """

    sender: str


@message(8)
class Digest(NamedTuple):
    """Digests of the key buckets at a revision.

    :ivar sender: answering entry.
    :ivar revision: its applied revision.
    :ivar buckets: 64-bit digest of each bucket.
    """

    sender: str
    revision: int
    buckets: list[int]


@message(9)
class BucketRequest(NamedTuple):
    """Ask for the content of key buckets.

    :ivar sender: entry that asks.
    :ivar buckets: numbers of the buckets.
    """

    sender: str
    buckets: list[int]


@message(10)
class Bucket(NamedTuple):
    """Content of one key bucket at a revision.

    :ivar sender: answering entry.
    :ivar number: number of the bucket.
    :ivar revision: the sender's applied revision.
    :ivar items: its keys.
    """

    sender: str
    number: int
    revision: int
    items: list[ConfigChange]


class SlotRequestItem(NamedTuple):
    """A request that waits for a slot.

    :ivar number: the entry's number of the request.
    :ivar class_name: class of the request.
    :ivar slack_ms: time left until its deadline, in milliseconds.
    :ivar exclude: endpoints that must not run it.
    """

    number: int
    class_name: str
    slack_ms: int
    exclude: tuple[str, ...] = ()


class GrantItem(NamedTuple):
    """A slot for a waiting request.

    :ivar number: the entry's number of the request.
    :ivar endpoint: name of the instance, empty if the request is refused.
    :ivar retry_after_ms: with a refusal, when a slot is expected.
    """

    number: int
    endpoint: str
    retry_after_ms: int = 0


class SlotReleaseItem(NamedTuple):
    """A slot that is free again.

    :ivar number: the entry's number of the request; negative for a slot
        granted to a request that had taken over another one.
    :ivar run_ms: how long it ran, in milliseconds.
    :ivar complete: whether a whole answer came.
    :ivar successor: number of the request of the same class that took over the
        slot, 0 if it is free.
    """

    number: int
    run_ms: int
    complete: bool
    successor: int = 0


class SlotInUseItem(NamedTuple):
    """A request that runs on a slot.

    :ivar number: the entry's number of the request.
    :ivar class_name: class of the request.
    :ivar endpoint: name of the instance.
    :ivar elapsed_ms: how long it has run, in milliseconds.
    """

    number: int
    class_name: str
    endpoint: str
    elapsed_ms: int


@message(11)
class SlotBatch(NamedTuple):
    """From an entry to a pool's scheduler.

    :ivar sender: the entry.
    :ivar pool: the pool.
    :ivar epoch: grows with each change of scheduler that the sender saw;
        with ``reset`` the scheduler forgets what it knew of the sender.
    :ivar reset: whether ``requests`` and ``in_use`` are complete.
    :ivar requests: requests that wait.
    :ivar released: slots that are free again.
    :ivar cancelled: numbers of requests that no longer wait.
    :ivar in_use: requests that run, only with ``reset``.
    :ivar sequence: grows by one with each batch of an epoch; a gap makes
        the scheduler ask for a reset.
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
    """From a pool's scheduler to an entry.

    :ivar sender: the entry that schedules.
    :ivar pool: the pool.
    :ivar epoch: epoch of the entry's last :class:`SlotBatch`, 0 to ask for
        a reset.
    :ivar grants: the slots.
    :ivar sequence: grows by one with each batch of an epoch; a gap makes
        the entry send a reset.
    :ivar head_slack_ms: slack of the first waiting request of the most urgent
        class, -1 if none waits, -2 if besides many slots are free; see
        ``slot_client.py`` on handing over.
    """

    sender: str
    pool: str
    epoch: int
    grants: list[GrantItem]
    sequence: int = 0
    head_slack_ms: int = -1


@message(13)
class EndpointSignal(NamedTuple):
    """An endpoint was seen to leave or to fail.

    :ivar sender: the entry that saw it.
    :ivar endpoint: name of the instance.
    :ivar kind: ``leaving``, ``failed`` or ``back``.
    """

    sender: str
    endpoint: str
    kind: str


@message(14)
class InProgressRequest(NamedTuple):
    """Ask an entry how many requests it has in progress at an endpoint.

    :ivar sender: entry that asks.
    :ivar endpoint: name of the instance.
    :ivar token: number of the question, echoed by the answer.
    """

    sender: str
    endpoint: str
    token: int


@message(15)
class InProgressReply(NamedTuple):
    """Answer to :class:`InProgressRequest`.

    :ivar sender: answering entry.
    :ivar endpoint: name of the instance.
    :ivar token: number of the question.
    :ivar count: requests in progress.
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

    :param frame: the bytes received.
    :param limit_bytes: frames over this size are refused.
    :raises FrameError: with the reason, which names a counter.
    """
    if len(frame) > limit_bytes:
        raise FrameError("size")
    if len(frame) < 2 or frame[0] != WIRE_VERSION:
        raise FrameError("version")
    if frame[1] not in MESSAGE_TYPES:
        raise FrameError("type")
    return unpack(frame[2:], MESSAGE_TYPES[frame[1]])
