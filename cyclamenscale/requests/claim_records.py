"""Records and state transitions of claims for non-repeatable requests.

A claim record is created only if its key is absent. Each transition between
the following states compares the key's revision::

    absent -> claimed -> done       the request ran, or may have run
                      -> abandoned  the request certainly did not run
    abandoned -> claimed            by a later request with the same key

An abandoned record is kept and not deleted, so that the comparison of a
delayed transaction that still carries the claim fails.
"""

from collections.abc import Iterable
from concurrent.futures import Future
from hashlib import blake2b
from typing import NamedTuple

from cyclamenscale.errors import FieldError
from cyclamenscale.model import CLAIM_PREFIX
from cyclamenscale.store.port import Compare, KeyValue, Put
from cyclamenscale.util.codec import decode_record, encode_record, pack

CLAIMED = "claimed"
DONE = "done"
ABANDONED = "abandoned"

NEW = "new"
RECORDED = "recorded"
PENDING = "pending"
MISMATCH = "mismatch"

# Below the store's default request size limit of 1.5 MiB.
TRANSACTION_LIMIT_BYTES = 1000000


class RecordedOutcome(NamedTuple):
    """The recorded response to a request.

    :ivar status: HTTP status; 0 if the outcome is unknown.
    :ivar headers: HTTP headers.
    :ivar body: the body; empty if it was too large to be kept.
    :ivar complete: whether ``headers`` and ``body`` are complete.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    complete: bool = True


class ClaimResult(NamedTuple):
    """The result of a claim.

    :ivar state: ``new`` (this attempt may run), ``recorded`` (the outcome
        of an earlier attempt), ``pending`` (an earlier attempt has no
        outcome yet) or ``mismatch`` (the key belongs to another request).
    :ivar outcome: the outcome, with ``recorded``.
    """

    state: str
    outcome: RecordedOutcome | None = None


class ClaimRecord(NamedTuple):
    """A claim as it is stored.

    :ivar attempt_id: unique id of the attempt that holds the key.
    :ivar digest: digest of the request.
    :ivar state: ``claimed``, ``done`` or ``abandoned``.
    :ivar class_name: class of the request.
    :ivar entry: name of the entry that wrote the record.
    :ivar when_s: time of the write, seconds since the epoch.
    :ivar outcome: the outcome, with ``done``.
    """

    attempt_id: str
    digest: str
    state: str
    class_name: str
    entry: str
    when_s: float
    outcome: RecordedOutcome | None = None


class OpenClaim(NamedTuple):
    """A claim that was made, and is neither recorded nor abandoned.

    :ivar attempt_id: id of the attempt that made it.
    :ivar digest: digest of the request.
    :ivar revision: ``mod_revision`` of the claim record.
    """

    attempt_id: str
    digest: str
    revision: int


class ClaimUpdate:
    """A pending write to one claim record.

    :ivar key: store key of the record.
    :ivar record: the record to write.
    :ivar revision: ``mod_revision`` the key must have, 0 for absent.
    :ivar in_doubt: whether an earlier transaction with this update, whose
        response was lost, may have taken effect or may still do so.
    :ivar given_up: whether the caller no longer waits for its claim.
    :ivar tries: number of transactions that carried the update.
    :ivar queued_s: when the update was queued.
    :ivar result: for a claim, the :class:`ClaimResult`.
    """

    def __init__(
        self, key: str, record: ClaimRecord, revision: int, queued_s: float
    ):
        """Encode the record once; it is sent again unchanged."""
        self.key = key
        self.record = record
        self.value = encode_record(record)
        self.revision = revision
        self.queued_s = queued_s
        self.in_doubt = False
        self.given_up = False
        self.tries = 0
        self.result: Future[ClaimResult] = Future()

    @property
    def is_claim(self) -> bool:
        """Return whether the update makes a claim."""
        return self.record.state == CLAIMED


class Resolution(NamedTuple):
    """What the response to a transaction means for one of its updates.

    :ivar settled: whether the update is final, else it is sent again.
    :ivar result: the result, if the update is a claim and is settled.
    :ivar revision: ``mod_revision`` of the record, to compare with from now
        on; 0 if the key is absent.
    :ivar superseded: whether the key has another record, so that this
        update can't be written any more.
    """

    settled: bool
    result: ClaimResult | None = None
    revision: int = 0
    superseded: bool = False


def store_key(class_name: str, key: str) -> str:
    """Return the store key of a claim.

    The hash is cryptographic, because callers choose their keys and must not
    be able to produce collisions with others.
    """
    digest = blake2b(pack([class_name, key]), digest_size=20)
    return CLAIM_PREFIX + digest.hexdigest()


def truncate_outcome(
    outcome: RecordedOutcome, limit_bytes: int
) -> RecordedOutcome:
    """Truncate an outcome to the size limits of the store.

    :param outcome: the outcome.
    :param limit_bytes: largest size of the body, and of the headers.
    :returns: the outcome, without the body if that is too large, and
        without both if the headers are.
    """
    header_bytes = sum(len(n) + len(v) for n, v in outcome.headers)
    if header_bytes > limit_bytes:
        return RecordedOutcome(outcome.status, [], b"", False)
    if len(outcome.body) > limit_bytes:
        return outcome._replace(body=b"", complete=False)
    return outcome


def choose_group(
    updates: Iterable[ClaimUpdate],
    limit: int,
    limit_bytes: int = TRANSACTION_LIMIT_BYTES,
) -> list[ClaimUpdate]:
    """Choose the updates of one transaction, in order.

    :param updates: waiting updates, the oldest first.
    :param limit: largest number of updates.
    :param limit_bytes: largest total size of keys and values; a single
        update always fits.
    :returns: updates with different keys, as the store requires.
    """
    group: dict[str, ClaimUpdate] = {}
    size_bytes = 0
    for update in updates:
        if update.key in group:
            continue
        size_bytes += len(update.key) + len(update.value)
        if len(group) >= limit or (group and size_bytes > limit_bytes):
            break
        group[update.key] = update
    return list(group.values())


def build_transaction(
    group: list[ClaimUpdate], lease: int
) -> tuple[list[Compare], list[Put]]:
    """Build the transaction of a group of updates."""
    compares = [Compare(update.key, update.revision) for update in group]
    writes = [Put(update.key, update.value, lease) for update in group]
    return compares, writes


def resolve_succeeded(update: ClaimUpdate, revision: int) -> Resolution:
    """Resolve an update whose transaction succeeded at a revision."""
    result = ClaimResult(NEW) if update.is_claim else None
    return Resolution(True, result, revision)


def resolve_failed(
    update: ClaimUpdate, current: KeyValue | None
) -> Resolution:
    """Resolve an update whose transaction failed.

    If the update is in doubt, a record with its attempt and state was
    written by the update itself, in a transaction whose response was lost. If
    it is not, two claims have the same attempt id, and only one may run.

    :param update: the update.
    :param current: the key as the failed transaction found it.
    """
    if current is None:
        return Resolution(False, revision=0)
    revision = current.mod_revision
    try:
        found = decode_record(current.value, ClaimRecord, current.key)
    except FieldError:
        # Written by another version of the program. The request may have
        # run.
        result = ClaimResult(PENDING) if update.is_claim else None
        return Resolution(True, result, revision, superseded=True)
    own = found.attempt_id == update.record.attempt_id
    if own and update.in_doubt and found.state == update.record.state:
        return resolve_succeeded(update, revision)
    if update.is_claim:
        return resolve_claim(update.record, found, revision)
    if own and found.state == CLAIMED:
        return Resolution(False, revision=revision)
    return Resolution(True, revision=revision, superseded=True)


def resolve_claim(
    wanted: ClaimRecord, found: ClaimRecord, revision: int
) -> Resolution:
    """Resolve a claim whose key already has a record."""
    if found.attempt_id == wanted.attempt_id:
        return Resolution(True, ClaimResult(PENDING), revision)
    if found.state == ABANDONED:
        return Resolution(False, revision=revision)
    return Resolution(True, result_of_existing(found, wanted.digest), revision)


def result_of_existing(found: ClaimRecord, digest: str) -> ClaimResult:
    """Return the result of claiming a key that is claimed or done."""
    if found.digest and found.digest != digest:
        return ClaimResult(MISMATCH)
    if found.state == DONE:
        return ClaimResult(RECORDED, found.outcome)
    return ClaimResult(PENDING)


def result_of_pending(current: KeyValue | None, digest: str) -> ClaimResult:
    """Return the result for a request whose key was pending when last read."""
    if current is None:
        return ClaimResult(PENDING)
    try:
        found = decode_record(current.value, ClaimRecord, current.key)
    except FieldError:
        return ClaimResult(PENDING)
    return result_of_existing(found, digest)
