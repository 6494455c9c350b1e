"""Operators' changes of the configuration, and queries about them.

A change is one transaction that compares the record's revision and the
absence of ``change/ID``. A change that moves something into a pool also
compares the pool and writes it again unchanged, so that it conflicts with
a removal of the pool that happens at the same time.
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

#: Tries of one change that lost a race for its pool, not for its record.
MAX_POOL_ATTEMPTS = 8

#: One lease for the change records of a day, so that the store does not
#: hold one lease for each change.
LEASE_INTERVAL_S = 86400

#: Wait between two looks at a change whose answer was lost.
RETRY_INTERVAL_S = 0.2

MAX_TEXT_LENGTH = 1000

#: Wait for the table to reach a revision that was just read; the watch
#: reports at least every second.
TABLE_TIMEOUT_S = 2.0


class AcceptedChange(NamedTuple):
    """A change that is in force everywhere.

    :ivar change_id: id to query it by.
    :ivar revision: its revision.
    :ivar in_force_s: how long it took, in seconds.
    """

    change_id: str
    revision: int
    in_force_s: float


class ChangeStatus(NamedTuple):
    """What is known about a change.

    :ivar change_id: its id.
    :ivar state: ``accepted``, ``waiting`` or ``not_found``.
    :ivar revision: its revision, 0 if it was not found.
    :ivar record: the audit record, if it was found.
    """

    change_id: str
    state: str
    revision: int
    record: ChangeRecord | None


class PreparedChange(NamedTuple):
    """A change that was validated against the records it depends on.

    :ivar key: store key of the record.
    :ivar old: the record in the store, if there is one.
    :ivar new: the record that replaces it, None to remove it.
    :ivar pool: the pool that the new record joins, if it does.
    """

    key: str
    old: KeyValue | None
    new: Record | None
    pool: KeyValue | None


class Operations:
    """Takes operators' changes at this entry.

    All may be called from several threads.

    :param settings: the whole settings.
    :param store: the store port.
    :param table: this entry's configuration.
    :param link: reaches the other members.
    :param freshness: tells whether this entry may acknowledge.
    :param metrics: counters.
    :param clock: monotonic seconds.
    :param wall_clock: seconds since the epoch, for the audit records.
    :param random: source of jitter.
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
        random: Random | None = None,
    ):
        """Register for acknowledgements on the link."""
        self.settings = settings
        self.store = store
        self.table = table
        self.metrics = metrics
        self.clock = clock
        self.wall_clock = wall_clock
        self.random = random or Random()
        self.barriers = Barriers(
            settings, table, link, freshness, metrics, clock
        )
        # Guards lease, lease_s.
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
        :param fields: its other fields; None removes the record.
        :param who: the operator.
        :param why: the operator's reason.
        :param change_id: id to repeat or query the change by; a repeated
            change returns the outcome of the first.
        :param expected_revision: revision of the record that the operator
            saw, 0 for none; by default the newest.
        :raises FieldErrors: if the input is not valid.
        :raises ConflictError: if the record is not as expected.
        :raises NotAcceptedError: if the change was certainly not written.
        :raises OutcomeUnknownError: if it is not known in time whether it
            is in force.
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
        self.barriers.require(revision, started_s, change_id)
        self.metrics.incr("operations.accepted")
        return AcceptedChange(change_id, revision, self.clock() - started_s)

    def query(self, change_id: str) -> ChangeStatus:
        """Return what is known about a change.

        The state is ``accepted`` only if a barrier at this entry has found
        so; the first query about a change that another entry took begins
        one here.

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
        """Check operator, reason and id; return the id, a new one if None.

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

        :raises ConflictError: if it was a different change.
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
        """Write a change; return its revision."""
        for _ in range(MAX_POOL_ATTEMPTS):
            prepared = self.prepare_change(
                kind, name, fields, expected_revision
            )
            result = self.commit_change(started_s, prepared, draft)
            mine = result.current.get(CHANGE_PREFIX + draft.id)
            if result.succeeded:
                return result.revision
            if mine is not None:
                # An earlier try with a lost answer, or the same change
                # sent to another entry.
                return self.find_change(draft.id, kind, name, fields)
            current = result.current.get(prepared.key)
            if revision_of(current) != revision_of(prepared.old):
                self.raise_conflict(prepared, current)
            # Only the pool was written in the meantime.
        raise NotAcceptedError(
            draft.id, f"pool {prepared.pool.key} is written all the time"
        )

    def prepare_change(
        self,
        kind: str,
        name: str,
        fields: dict | None,
        expected_revision: int | None,
    ) -> PreparedChange:
        """Validate a change against the newest records in the store."""
        key = PREFIXES[kind] + name if is_name(name) else ""
        view = self.table.view
        read, old = 0, None
        if key:
            read, old = self.store.get(key)
            view = with_record(view, kind, name, old)
        pool = None
        if fields is None:
            if old is None:
                raise NotFoundError(kind, name)
            # The pool's users are looked up in the table, which must not be
            # older than the revision that the transaction compares.
            if kind == "pool" and not self.table.wait(read, TABLE_TIMEOUT_S):
                raise StoreUnavailableError(
                    "watch", f"revision {read} was not delivered"
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
                # Its history is unknown. Counted as never maintained, a new
                # pool would begin to drain at once.
                new = new._replace(maintained_s=self.wall_clock())
            prepared = PreparedChange(key, old, new, pool)
        if expected_revision not in (None, revision_of(old)):
            self.raise_conflict(prepared, old)
        return prepared

    def commit_change(
        self, started_s: float, prepared: PreparedChange, draft: ChangeRecord
    ) -> TxnResult:
        """Make the transaction of a change, again if its answer is lost.

        Repeating it is safe: it compares the absence of its own record.
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
        lost = False
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
                lost = True
            except StoreUnavailableError:
                if not lost:
                    raise
            self.pause_before_retry(started_s, draft.id)

    def pause_before_retry(self, started_s: float, change_id: str) -> None:
        """Pause before a transaction is repeated.

        :raises OutcomeUnknownError: if the time is up.
        """
        left_s = (
            started_s + self.settings.freshness.accept_within_s - self.clock()
        )
        if left_s <= 0:
            self.metrics.incr("operations.unknown")
            raise OutcomeUnknownError(change_id, "the store does not answer")
        self.barriers.pause(min(RETRY_INTERVAL_S, left_s))

    def raise_conflict(
        self, prepared: PreparedChange, current: KeyValue | None
    ) -> NoReturn:
        """Report that a record is not as expected."""
        self.metrics.incr("operations.conflicts")
        shown = None
        if current is not None:
            kind = prepared.key.split("/")[1]
            shown = decode_record(
                current.value, RECORD_TYPES[kind], current.key
            )
        raise ConflictError(
            prepared.key, prepared.new, shown, revision_of(current)
        )

    def daily_lease(self) -> int:
        """Return the lease of today's change records."""
        with self.lock:
            now_s = self.clock()
            if (
                not self.lease
                or now_s - self.lease_granted_s >= LEASE_INTERVAL_S
            ):
                # A day more than the retention, as the last change of the
                # day gets the lease that was made for the first.
                ttl_s = self.settings.audit.retention_s + LEASE_INTERVAL_S
                try:
                    self.lease = self.store.lease_grant(ttl_s)
                except StoreAnswerLostError as error:
                    # The lease expires by itself; no change was written.
                    raise StoreUnavailableError(
                        "lease_grant", error.reason
                    ) from error
                self.lease_granted_s = now_s
            return self.lease

    def drop_lease(self) -> None:
        """Forget a lease that does not exist any more."""
        with self.lock:
            self.lease = 0


def revision_of(item: KeyValue | None) -> int:
    """Return the revision of a key that may be absent."""
    return item.mod_revision if item else 0


def with_record(
    view: ConfigView, kind: str, name: str, item: KeyValue | None
) -> ConfigView:
    """Return a view in which one record is as just read."""
    field = {"class": "classes", "pool": "pools", "instance": "instances"}
    records = dict(getattr(view, field[kind]))
    records.pop(name, None)
    if item is not None:
        records[name] = decode_record(item.value, RECORD_TYPES[kind], item.key)
    return view._replace(**{field[kind]: records})
