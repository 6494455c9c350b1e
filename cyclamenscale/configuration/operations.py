"""Configuration changes made by operators, and queries of their state.

A change is one transaction. Its conditions are that the record has the
expected revision and that the key ``change/ID`` does not exist. A change
that adds a class or instance to a pool also compares the pool's revision
and writes the pool unchanged, so that it conflicts with a concurrent
removal of the pool.
"""

import secrets
import time
from collections.abc import Callable
from random import Random
from threading import Lock
from typing import NamedTuple, NoReturn

from cyclamenscale.configuration.table import ConfigTable
from cyclamenscale.configuration.validation import (
    PARSERS,
    PREFIXES,
    RECORD_TYPES,
    Record,
    check_removal,
    is_name,
)
from cyclamenscale.errors import (
    ConflictError,
    FieldError,
    LeaseLostError,
    NotAcceptedError,
    NotFoundError,
    OutcomeUnknownError,
    StoreAnswerLostError,
    StoreError,
    StoreUnavailableError,
)
from cyclamenscale.members.barriers import Barriers
from cyclamenscale.members.freshness import Freshness
from cyclamenscale.members.peers import PeerLink
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import (
    CHANGE_PREFIX,
    POOL_PREFIX,
    ChangeRecord,
    ConfigView,
)
from cyclamenscale.settings import Settings
from cyclamenscale.store.port import (
    Compare,
    Delete,
    KeyValue,
    Put,
    Store,
    TxnResult,
)
from cyclamenscale.util.clock import Clock
from cyclamenscale.util.codec import decode_record, encode_record

#: Maximum attempts at one change while its pool, but not its record, is
#: modified concurrently.
MAX_POOL_ATTEMPTS = 8

#: Interval at which a new lease is granted. All change records of an interval
#: share its lease, so that the store does not hold one lease per change.
LEASE_INTERVAL_S = 86400

#: Wait before a transaction is repeated after a lost response or lease.
RETRY_INTERVAL_S = 0.2

#: Maximum length of the operator's name and of the reason, in characters.
MAX_TEXT_LENGTH = 1000

#: Maximum wait for the table to cover a revision that was just read. The
#: watch reports progress at least every second.
TABLE_TIMEOUT_S = 2.0


class AcceptedChange(NamedTuple):
    """A change that is in force everywhere.

    :ivar change_id: id of the change, for queries and repetition.
    :ivar revision: store revision of the change.
    :ivar in_force_s: time until it was in force everywhere, in seconds.
    """

    change_id: str
    revision: int
    in_force_s: float


class ChangeStatus(NamedTuple):
    """State of a change.

    :ivar change_id: id of the change.
    :ivar state: ``accepted``, ``waiting`` or ``not_found``.
    :ivar revision: store revision of the change, 0 if it was not found.
    :ivar record: change record, None if it was not found.
    """

    change_id: str
    state: str
    revision: int
    record: ChangeRecord | None


class PreparedChange(NamedTuple):
    """A change, validated against the records that it depends on.

    :ivar key: store key of the record.
    :ivar old: current record in the store, None if there is none.
    :ivar new: new record, None to remove the record.
    :ivar pool: pool that the new record belongs to, None for a pool's own
        record and for a removal.
    """

    key: str
    old: KeyValue | None
    new: Record | None
    pool: KeyValue | None


class Operations:
    """Makes the configuration changes that operators send to this entry.

    All methods are thread-safe.

    :param settings: settings of the entry.
    :param store: store that holds the configuration.
    :param table: configuration as applied by this entry.
    :param link: sends messages to the other members.
    :param freshness: determines whether this entry may acknowledge.
    :param metrics: counters ``operations.*``.
    :param clock: monotonic clock in seconds.
    :param wall_clock: returns the seconds since the epoch, for change
        records.
    :param rng: source of jitter.
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        table: ConfigTable,
        link: PeerLink,
        freshness: Freshness,
        metrics: Metrics,
        clock: Clock,
        wall_clock: Callable[[], float] = time.time,
        rng: Random | None = None,
    ):
        """Create the barriers, which receive acknowledgements on the link."""
        self.settings = settings
        self.store = store
        self.table = table
        self.metrics = metrics
        self.clock = clock
        self.wall_clock = wall_clock
        self.rng = rng or Random()
        self.barriers = Barriers(
            settings, table, link, freshness, metrics, clock
        )
        # Guards lease, lease_granted_s.
        self.lock = Lock()
        self.lease = 0
        self.lease_granted_s = 0.0

    def change(
        self,
        kind: str,
        name: str,
        fields: dict | None,
        who: str,
        why: str,
        change_id: str | None = None,
        expected_revision: int | None = None,
    ) -> AcceptedChange:
        """Make a change and wait until it is in force everywhere.

        :param kind: ``class``, ``pool`` or ``instance``.
        :param name: name of the record.
        :param fields: other fields of the record; None removes the record.
        :param who: name of the operator.
        :param why: the operator's reason.
        :param change_id: id for queries and repetition; a repeated change
            returns the outcome of the first one. By default a new id.
        :param expected_revision: revision of the record that the change is
            based on, 0 if it must not exist; None accepts any revision.
        :raises FieldErrors: if the input is not valid.
        :raises ConflictError: if the record has another revision, or the id
            belongs to a different change.
        :raises NotAcceptedError: if the change was not written.
        :raises OutcomeUnknownError: if it was not confirmed in time that
            the change is in force everywhere.
        """
        started_s = self.clock()
        if kind not in PREFIXES:
            allowed = "one of " + ", ".join(PREFIXES)
            raise FieldError("kind", kind, allowed)
        change_id = self.check_metadata(who, why, change_id)
        try:
            revision = self.find_change(change_id, kind, name, fields)
            if not revision:
                revision = self.write_change(
                    started_s,
                    kind,
                    name,
                    fields,
                    ChangeRecord(change_id, who, "", why, 0.0, "", ""),
                    expected_revision,
                )
        except (StoreUnavailableError, LeaseLostError) as error:
            self.metrics.incr("operations.not_accepted")
            raise NotAcceptedError(change_id, str(error)) from error
        self.barriers.wait_until_in_force(revision, started_s, change_id)
        self.metrics.incr("operations.accepted")
        return AcceptedChange(change_id, revision, self.clock() - started_s)

    def query(self, change_id: str) -> ChangeStatus:
        """Return the state of a change.

        The state is ``accepted`` only once a barrier at this entry has
        completed; the first query of a change that was sent to another
        entry starts a barrier here.

        :raises OutcomeUnknownError: if the store cannot be read.
        """
        try:
            _, found = self.store.get(CHANGE_PREFIX + change_id)
        except StoreError as error:
            raise OutcomeUnknownError(change_id, str(error)) from error
        if found is None:
            return ChangeStatus(change_id, "not_found", 0, None)
        record = decode_record(found.value, ChangeRecord, found.key)
        state = self.barriers.poll(found.mod_revision)
        return ChangeStatus(change_id, state, found.mod_revision, record)

    def check_metadata(self, who: str, why: str, change_id: str | None) -> str:
        """Validate operator, reason and id; return the id or a new one.

        :raises FieldError: if one of them is not valid.
        """
        for field, text in (("who", who), ("why", why)):
            if (
                not isinstance(text, str)
                or not 0 < len(text) <= MAX_TEXT_LENGTH
            ):
                allowed = f"1 to {MAX_TEXT_LENGTH} characters"
                raise FieldError(field, text, allowed)
        if change_id is None:
            return secrets.token_hex(8)
        if not is_name(change_id):
            raise FieldError("change_id", change_id, "a name")
        return change_id

    def find_change(
        self, change_id: str, kind: str, name: str, fields: dict | None
    ) -> int:
        """Return the revision of an earlier change with this id, or 0.

        :raises ConflictError: if the earlier change differs from this one.
        """
        _, found = self.store.get(CHANGE_PREFIX + change_id)
        if found is None:
            return 0
        record = decode_record(found.value, ChangeRecord, found.key)
        same = record.what == PREFIXES[kind] + name
        if fields is None or not record.new:
            same = same and fields is None and not record.new
        else:
            new = decode_record(
                record.new.encode(), RECORD_TYPES[kind], found.key
            )._asdict()
            same = same and isinstance(fields, dict)
            same = same and all(
                new.get(field) == value for field, value in fields.items()
            )
        if not same:
            wanted = f"{kind} {name}: {fields}"
            raise ConflictError(found.key, wanted, record, found.mod_revision)
        return found.mod_revision

    def write_change(
        self,
        started_s: float,
        kind: str,
        name: str,
        fields: dict | None,
        draft: ChangeRecord,
        expected_revision: int | None,
    ) -> int:
        """Write a change to the store and return its revision.

        :raises ConflictError: if the record has another revision.
        :raises NotAcceptedError: if the pool changed during every attempt.
        """
        for _ in range(MAX_POOL_ATTEMPTS):
            prepared = self.prepare_change(
                kind, name, fields, expected_revision
            )
            result = self.commit_change(started_s, prepared, draft)
            existing = result.current.get(CHANGE_PREFIX + draft.id)
            if result.succeeded:
                return result.revision
            if existing is not None:
                # Written by an earlier attempt whose response was lost, or
                # by another entry that received the same change.
                return self.find_change(draft.id, kind, name, fields)
            current = result.current.get(prepared.key)
            if revision_of(current) != revision_of(prepared.old):
                self.raise_conflict(prepared, current)
            # Only the pool was modified concurrently.
        raise NotAcceptedError(
            draft.id, f"{prepared.pool.key} changed during every attempt"
        )

    def prepare_change(
        self,
        kind: str,
        name: str,
        fields: dict | None,
        expected_revision: int | None,
    ) -> PreparedChange:
        """Validate a change against the newest records in the store.

        :raises FieldErrors: if the input is not valid.
        :raises NotFoundError: if the record to remove does not exist.
        :raises ConflictError: if the record has another revision.
        """
        key = PREFIXES[kind] + name if is_name(name) else ""
        view = self.table.view
        read_revision, old = 0, None
        if key:
            read_revision, old = self.store.get(key)
            view = with_record(view, kind, name, old)
        pool = None
        if fields is None:
            if old is None:
                raise NotFoundError(kind, name)
            # The pool's classes and instances are read from the table, which
            # must not be older than the revision that the transaction
            # compares.
            if kind == "pool" and not self.table.wait(
                read_revision, TABLE_TIMEOUT_S
            ):
                raise StoreUnavailableError(
                    "watch", f"revision {read_revision} was not delivered"
                )
            view = self.table.view if kind == "pool" else view
            check_removal(kind, name, view)
            prepared = PreparedChange(key, old, None, None)
        else:
            target = fields.get("pool") if isinstance(fields, dict) else None
            if kind != "pool" and is_name(target):
                _, pool = self.store.get(POOL_PREFIX + target)
                view = with_record(view, "pool", target, pool)
            new = PARSERS[kind](name, fields, view)
            if kind == "instance" and old is None:
                # The maintenance history of a new instance is unknown. If it
                # counted as never maintained, the instances of a new pool
                # would be drained at once.
                new = new._replace(maintained_s=self.wall_clock())
            prepared = PreparedChange(key, old, new, pool)
        if expected_revision not in (None, revision_of(old)):
            self.raise_conflict(prepared, old)
        return prepared

    def commit_change(
        self, started_s: float, prepared: PreparedChange, draft: ChangeRecord
    ) -> TxnResult:
        """Run the transaction of a change; repeat it if its response is lost.

        Repeating it is safe: it requires that the change record does not
        exist yet.

        :raises OutcomeUnknownError: if no response arrived in time.
        """
        key, old, new, pool = prepared
        new_value = encode_record(new) if new is not None else b""
        record = draft._replace(
            what=key,
            when_s=self.wall_clock(),
            old=old.value.decode() if old else "",
            new=new_value.decode(),
        )
        record_key = CHANGE_PREFIX + draft.id
        compares = [
            Compare(key, revision_of(old)),
            Compare(record_key, 0),
        ]
        writes: list[Put | Delete] = [
            Put(key, new_value) if new is not None else Delete(key)
        ]
        if pool is not None and pool.key != key:
            compares.append(Compare(pool.key, pool.mod_revision))
            writes.append(Put(pool.key, pool.value))
        response_lost = False
        while True:
            try:
                put = Put(
                    record_key, encode_record(record), self.daily_lease()
                )
                return self.store.txn(compares, [*writes, put])
            except LeaseLostError:
                self.drop_lease()
            except StoreAnswerLostError:
                self.metrics.incr("operations.answers_lost")
                response_lost = True
            except StoreUnavailableError:
                if not response_lost:
                    raise
            self.pause_before_retry(started_s, draft.id)

    def pause_before_retry(self, started_s: float, change_id: str) -> None:
        """Pause before a transaction is repeated.

        :raises OutcomeUnknownError: if ``accept_within_s`` has passed since
            the start of the change.
        """
        remaining_s = (
            started_s + self.settings.freshness.accept_within_s - self.clock()
        )
        if remaining_s <= 0:
            self.metrics.incr("operations.unknown")
            raise OutcomeUnknownError(change_id, "the store does not answer")
        self.barriers.wait_for_ack(min(RETRY_INTERVAL_S, remaining_s))

    def raise_conflict(
        self, prepared: PreparedChange, current: KeyValue | None
    ) -> NoReturn:
        """Raise the error for a record with an unexpected revision.

        :raises ConflictError: always, with the current record.
        """
        self.metrics.incr("operations.conflicts")
        current_record = None
        if current is not None:
            kind = prepared.key.split("/")[1]
            current_record = decode_record(
                current.value, RECORD_TYPES[kind], current.key
            )
        raise ConflictError(
            prepared.key, prepared.new, current_record, revision_of(current)
        )

    def daily_lease(self) -> int:
        """Return the lease shared by the change records of a day.

        :raises StoreUnavailableError: if no lease could be granted.
        """
        with self.lock:
            now_s = self.clock()
            if (
                not self.lease
                or now_s - self.lease_granted_s >= LEASE_INTERVAL_S
            ):
                # A day longer than the retention: the last change of the
                # interval shares the lease that was granted for the first.
                ttl_s = self.settings.audit.retention_s + LEASE_INTERVAL_S
                try:
                    self.lease = self.store.lease_grant(ttl_s)
                except StoreAnswerLostError as error:
                    # The lease, if granted, expires unused; no change was
                    # written.
                    raise StoreUnavailableError(
                        "lease_grant", error.reason
                    ) from error
                self.lease_granted_s = now_s
            return self.lease

    def drop_lease(self) -> None:
        """Discard the current lease after it was lost."""
        with self.lock:
            self.lease = 0


def revision_of(item: KeyValue | None) -> int:
    """Return the revision of a key, 0 if it is absent."""
    return item.mod_revision if item else 0


def with_record(
    view: ConfigView, kind: str, name: str, item: KeyValue | None
) -> ConfigView:
    """Return a view in which one record is replaced by the given item."""
    fields = {"class": "classes", "pool": "pools", "instance": "instances"}
    records = dict(getattr(view, fields[kind]))
    records.pop(name, None)
    if item is not None:
        records[name] = decode_record(item.value, RECORD_TYPES[kind], item.key)
    return view._replace(**{fields[kind]: records})
