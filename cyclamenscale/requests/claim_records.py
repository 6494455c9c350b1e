"""Claims of requests that must not be repeated: records and rules.

A claim record is created only if its key is absent and goes through these
states, each step by a comparison of the key's revision::

    absent -> claimed -> done       the request ran, or may have run
                      -> abandoned  the request certainly did not run
    abandoned -> claimed            by a later request with the same key

An abandoned record is kept and not deleted: a delayed transaction that
still carries the claim must find its comparison false.
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

# A transaction stays below the 1.5 MiB that the store takes by default.
TRANSACTION_LIMIT_BYTES = 1000000


class RecordedOutcome(NamedTuple):
    """The answer that a request got.

    :ivar status: HTTP status.
    :ivar headers: HTTP headers.
    :ivar body: the body; empty if it was too large to be kept.
    :ivar whole: whether ``headers`` and ``body`` are complete.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    complete: bool = True


class ClaimResult(NamedTuple):
    """What a claim found.

    :ivar state: ``new`` (this attempt may run), ``recorded`` (the outcome
        of an earlier attempt), ``pending`` (an earlier attempt has no
        outcome yet) or ``mismatch`` (the key belongs to another request).
    :ivar outcome: the outcome, with ``recorded``.
    """

    state: str
    outcome: RecordedOutcome | None = None


class ClaimRecord(NamedTuple):
    """A claim as the store holds it.

    :ivar attempt_id: unique id of the attempt that holds the key.
    :ivar digest: digest of its request.
    :ivar state: ``claimed``, ``done`` or ``abandoned``.
    :ivar class_name: class of the request.
    :ivar entry: name of the entry that wrote the record.
    :ivar when_s: time of that entry, seconds since the epoch.
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
    """A claim that an entry has made and not settled."""

    attempt_id: str
    digest: str
    revision: int


class ClaimUpdate:
    """One step of one claim record, until it is settled.

    :ivar key: store key of the record.
    :ivar record: what is to be written.
    :ivar revision: ``mod_revision`` the key must have, 0 for absent.
    :ivar in_doubt: whether a transaction with this step may take effect
        although its answer was lost.
    :ivar given_up: whether the caller no longer waits for its claim.
    :ivar tries: transactions that left the step unsettled.
    :ivar queued_s: when the step was queued.
    :ivar result: the :class:`ClaimResult`, with a claim.
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
        """Return whether the step makes a claim."""
        return self.record.state == CLAIMED


class Resolution(NamedTuple):
    """What a failed transaction tells of one of its steps.

    :ivar settled: whether the step is over.
    :ivar result: the result of a claim that is settled.
    :ivar revision: ``mod_revision`` to compare with from now on, or that
        of the record if this step wrote it.
    :ivar lost: whether another record has taken the key, so that the step
        can't be made.
    """

    settled: bool
    result: ClaimResult | None = None
    revision: int = 0
    superseded: bool = False


def store_key(class_name: str, key: str) -> str:
    """Return the store key of a claim.

    A cryptographic hash, since callers choose keys and must not be able to
    collide with others.
    """
    digest = blake2b(pack([class_name, key]), digest_size=20)
    return CLAIM_PREFIX + digest.hexdigest()


def truncate_outcome(
    outcome: RecordedOutcome, limit_bytes: int
) -> RecordedOutcome:
    """Cut an outcome to what the store keeps.

    :param outcome: the outcome.
    :param limit_bytes: bound of its body, and of its headers.
    :returns: the outcome, without its body and, if they are too large as
        well, its headers.
    """
    header_bytes = sum(len(n) + len(v) for n, v in outcome.headers)
    if header_bytes > limit_bytes:
        return RecordedOutcome(outcome.status, [], b"", False)
    if len(outcome.body) > limit_bytes:
        return outcome._replace(body=b"", complete=False)
    return outcome


def choose_group(
    steps: Iterable[ClaimUpdate],
    limit: int,
    limit_bytes: int = TRANSACTION_LIMIT_BYTES,
) -> list[ClaimUpdate]:
    """Choose the steps of one transaction, in order.

    :param steps: steps that wait, the oldest first.
    :param limit: how many at most.
    :param limit_bytes: bound of their values' size; one step always fits.
    :returns: steps with different keys, as the store requires.
    """
    group: dict[str, ClaimUpdate] = {}
    size_bytes = 0
    for step in steps:
        if step.key in group:
            continue
        size_bytes += len(step.key) + len(step.value)
        if len(group) >= limit or (group and size_bytes > limit_bytes):
            break
        group[step.key] = step
    return list(group.values())


def build_transaction(
    group: list[ClaimUpdate], lease: int
) -> tuple[list[Compare], list[Put]]:
    """Build the transaction of a group."""
    compares = [Compare(step.key, step.revision) for step in group]
    writes = [Put(step.key, step.value, lease) for step in group]
    return compares, writes


def resolve_succeeded(step: ClaimUpdate, revision: int) -> Resolution:
    """Judge a step whose transaction succeeded at a revision."""
    result = ClaimResult(NEW) if step.is_claim else None
    return Resolution(True, result, revision)


def resolve_failed(step: ClaimUpdate, current: KeyValue | None) -> Resolution:
    """Judge a step whose transaction failed.

    If the step is in doubt, a record that carries its attempt and state was
    written by the step itself, in a transaction whose answer was lost. If
    it is not, two claims have the same attempt id, and only one may run.

    :param step: the step.
    :param current: the key as the failed transaction found it.
    """
    if current is None:
        return Resolution(False, revision=0)
    revision = current.mod_revision
    try:
        found = decode_record(current.value, ClaimRecord, current.key)
    except FieldError:
        # Written by another version of the program; the request may have
        # run.
        result = ClaimResult(PENDING) if step.is_claim else None
        return Resolution(True, result, revision, superseded=True)
    mine = found.attempt_id == step.record.attempt_id
    if mine and step.in_doubt and found.state == step.record.state:
        return resolve_succeeded(step, revision)
    if step.is_claim:
        return resolve_claim(step.record, found, revision)
    if mine and found.state == CLAIMED:
        return Resolution(False, revision=revision)
    return Resolution(True, revision=revision, superseded=True)


def resolve_claim(
    wanted: ClaimRecord, found: ClaimRecord, revision: int
) -> Resolution:
    """Judge a claim whose key has another record."""
    if found.attempt_id == wanted.attempt_id:
        return Resolution(True, ClaimResult(PENDING), revision)
    if found.state == ABANDONED:
        return Resolution(False, revision=revision)
    return Resolution(True, result_of_existing(found, wanted.digest), revision)


def result_of_existing(found: ClaimRecord, digest: str) -> ClaimResult:
    """Return what a claimed or done record means for another request."""
    if found.digest and found.digest != digest:
        return ClaimResult(MISMATCH)
    if found.state == DONE:
        return ClaimResult(RECORDED, found.outcome)
    return ClaimResult(PENDING)


def result_of_pending(current: KeyValue | None, digest: str) -> ClaimResult:
    """Return what a key that was pending means now for another request."""
    if current is None:
        return ClaimResult(PENDING)
    try:
        found = decode_record(current.value, ClaimRecord, current.key)
    except FieldError:
        return ClaimResult(PENDING)
    return result_of_existing(found, digest)
