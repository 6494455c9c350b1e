"""State of the stand-in store: keys with revisions, leases and history.

It follows the API of etcd v3: one revision per write transaction, an empty
store at revision 1, deletions as events, leases that delete their keys, and
watches from a past revision up to compaction.
"""

from collections import deque
from collections.abc import Iterable
from random import Random
from threading import Condition
from typing import NamedTuple

from sortedcontainers import SortedDict

from cyclamenscale.errors import CompactedError, CyclamenError
from cyclamenscale.util.clock import Clock, monotonic

MAX_OPERATIONS = 128
MAX_REQUEST_BYTES = 1572864
# Lease ids exceed 2**53, so that a client that parses them as floating-point
# numbers fails in tests.
FIRST_LEASE_ID = 7587848390000000001


class RequestRefusedError(CyclamenError):
    """The store refuses a request, which has no effect.

    :param message: error message as in the etcd API.
    :param code: gRPC status code.
    :param status: HTTP status code.
    """

    def __init__(self, message: str, code: int = 3, status: int = 400):
        """Store the codes for the gateway's response."""
        super().__init__(message)
        self.message = message
        self.code = code
        self.status = status


class Stored(NamedTuple):
    """A stored key; ``version`` 0 marks a deletion."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int


class Check(NamedTuple):
    """A comparison of a transaction.

    :ivar key: key to compare.
    :ivar target: ``MOD``, ``CREATE``, ``VERSION`` or ``VALUE``.
    :ivar result: ``EQUAL``, ``NOT_EQUAL``, ``GREATER`` or ``LESS``.
    :ivar expected: value that the target is compared with.
    """

    key: bytes
    target: str
    result: str
    expected: int | bytes


class RangeOp(NamedTuple):
    """Read one key, or the keys from ``key`` up to ``range_end``."""

    key: bytes
    range_end: bytes = b""
    limit: int = 0


class PutOp(NamedTuple):
    """Write a key."""

    key: bytes
    value: bytes
    lease: int = 0


class DeleteOp(NamedTuple):
    """Delete one key, or the keys from ``key`` up to ``range_end``."""

    key: bytes
    range_end: bytes = b""


Op = RangeOp | PutOp | DeleteOp


class RangeResponse(NamedTuple):
    """Keys that were read; ``count`` includes those beyond the limit."""

    items: list[Stored]
    count: int


class Lease:
    """A lease with its deadline on the state's clock and its keys."""

    def __init__(self, ttl_s: float, deadline_s: float):
        """Initialise with no keys."""
        self.ttl_s = ttl_s
        self.deadline_s = deadline_s
        self.keys: set[bytes] = set()


def range_includes(key: bytes, range_end: bytes, candidate: bytes) -> bool:
    """Return whether a range includes a key.

    A ``range_end`` of one zero byte means all keys from ``key`` on.
    """
    if not range_end:
        return candidate == key
    if range_end == b"\0":
        return candidate >= key
    return key <= candidate < range_end


class StoreState:
    """Keys, leases and bounded history of a store.

    :param clock: time in seconds, for the expiry of leases.
    :param history_limit: number of past revisions that watches can start at.
    """

    def __init__(self, clock: Clock = monotonic, history_limit: int = 20000):
        """Initialise as empty, at revision 1."""
        self.clock = clock
        self.history_limit = history_limit
        # Guards all other fields; notified after each write.
        self.changed = Condition()
        self.revision = 1
        self.compacted_revision = 0
        self.keys: SortedDict[bytes, Stored] = SortedDict()
        self.leases: dict[int, Lease] = {}
        self.next_lease_id = FIRST_LEASE_ID
        self.history: deque[tuple[int, list[Stored]]] = deque()

    def read(self, op: RangeOp) -> tuple[int, RangeResponse]:
        """Read keys.

        :returns: revision of the read, and the keys.
        """
        with self.changed:
            self.expire_due_leases()
            return self.revision, self.find(op)

    def transact(
        self, checks: Iterable[Check], success: list[Op], failure: list[Op]
    ) -> tuple[bool, int, list]:
        """Run one branch of a transaction.

        :returns: whether all checks held, the revision afterwards, and one
            response for each operation of the branch: a
            :class:`RangeResponse`, the number of deleted keys, or None.
        :raises RequestRefusedError: if it is invalid; it has no effect then.
        """
        checks = list(checks)
        with self.changed:
            self.expire_due_leases()
            for part in (checks, success, failure):
                if len(part) > MAX_OPERATIONS:
                    raise RequestRefusedError(
                        "etcdserver: too many operations in txn request"
                    )
            self.validate(success)
            self.validate(failure)
            succeeded = all(self.holds(check) for check in checks)
            responses, events = [], []
            branch = success if succeeded else failure
            for op in branch:
                if isinstance(op, PutOp) and op.lease:
                    self.find_lease(op.lease)
            for op in branch:
                responses.append(self.run(op, events))
            self.commit(events)
            return succeeded, self.revision, responses

    def validate(self, ops: list[Op]) -> None:
        """Check a branch before any of its operations takes effect."""
        written = set()
        size_bytes = 0
        for op in ops:
            if not op.key:
                raise RequestRefusedError("etcdserver: key is not provided")
            if not isinstance(op, PutOp):
                continue
            if op.key in written:
                raise RequestRefusedError(
                    "etcdserver: duplicate key given in txn request"
                )
            written.add(op.key)
            size_bytes += len(op.key) + len(op.value)
        if size_bytes > MAX_REQUEST_BYTES:
            raise RequestRefusedError("etcdserver: request is too large")

    def holds(self, check: Check) -> bool:
        """Evaluate one comparison."""
        stored = self.keys.get(check.key, Stored(check.key, b"", 0, 0, 0, 0))
        if check.target == "VALUE" and not stored.version:
            # In the etcd API, no comparison with the value of an absent key
            # holds.
            return False
        found = {
            "MOD": stored.mod_revision,
            "CREATE": stored.create_revision,
            "VERSION": stored.version,
            "VALUE": stored.value,
        }[check.target]
        return {
            "EQUAL": found == check.expected,
            "NOT_EQUAL": found != check.expected,
            "GREATER": found > check.expected,
            "LESS": found < check.expected,
        }[check.result]

    def run(self, op: Op, events: list[Stored]) -> RangeResponse | int | None:
        """Execute one operation as part of the next revision."""
        if isinstance(op, RangeOp):
            return self.find(op)
        if isinstance(op, PutOp):
            self.put(op, events)
            return None
        matching = self.find(RangeOp(op.key, op.range_end)).items
        for stored in matching:
            self.delete(stored, events)
        return len(matching)

    def find(self, op: RangeOp) -> RangeResponse:
        """Return the keys of a range in ascending order."""
        if not op.range_end:
            stored = self.keys.get(op.key)
            return RangeResponse([stored] if stored else [], int(bool(stored)))
        last = None if op.range_end == b"\0" else op.range_end
        names = list(self.keys.irange(op.key, last, (True, False)))
        chosen = names[: op.limit] if op.limit else names
        return RangeResponse([self.keys[name] for name in chosen], len(names))

    def put(self, op: PutOp, events: list[Stored]) -> None:
        """Write a key at the next revision."""
        revision = self.revision + 1
        old = self.keys.get(op.key)
        if old and old.lease:
            self.leases[old.lease].keys.discard(op.key)
        if op.lease:
            self.leases[op.lease].keys.add(op.key)
        stored = Stored(
            op.key,
            op.value,
            old.create_revision if old else revision,
            revision,
            old.version + 1 if old else 1,
            op.lease,
        )
        self.keys[op.key] = stored
        events.append(stored)

    def delete(self, stored: Stored, events: list[Stored]) -> None:
        """Delete a key at the next revision."""
        del self.keys[stored.key]
        if stored.lease in self.leases:
            self.leases[stored.lease].keys.discard(stored.key)
        events.append(Stored(stored.key, b"", 0, self.revision + 1, 0, 0))

    def commit(self, events: list[Stored]) -> None:
        """Create the next revision from events, if there are any."""
        if not events:
            return
        self.revision += 1
        self.history.append((self.revision, events))
        if len(self.history) > self.history_limit:
            self.compact(self.history[0][0])
        self.changed.notify_all()

    def compact(self, revision: int) -> None:
        """Discard the history up to and including a revision."""
        with self.changed:
            self.compacted_revision = max(self.compacted_revision, revision)
            while self.history and self.history[0][0] <= revision:
                self.history.popleft()

    def grant(self, ttl_s: float) -> int:
        """Grant a lease.

        :returns: id of the lease.
        """
        if ttl_s <= 0:
            raise RequestRefusedError("etcdserver: too small lease TTL")
        with self.changed:
            self.expire_due_leases()
            lease_id = self.next_lease_id
            self.next_lease_id += 1
            self.leases[lease_id] = Lease(ttl_s, self.clock() + ttl_s)
            return lease_id

    def keep_alive(self, lease_id: int) -> float:
        """Renew a lease.

        :returns: its time to live in seconds; 0 if it does not exist.
        """
        with self.changed:
            self.expire_due_leases()
            lease = self.leases.get(lease_id)
            if lease is None:
                return 0
            lease.deadline_s = self.clock() + lease.ttl_s
            return lease.ttl_s

    def revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys."""
        with self.changed:
            self.expire_due_leases()
            self.find_lease(lease_id)
            self.end_lease(lease_id)

    def find_lease(self, lease_id: int) -> Lease:
        """Return a lease.

        :raises RequestRefusedError: if it does not exist.
        """
        if lease_id not in self.leases:
            raise RequestRefusedError(
                "etcdserver: requested lease not found", code=5, status=404
            )
        return self.leases[lease_id]

    def end_lease(self, lease_id: int) -> None:
        """Delete a lease and its keys in one revision."""
        lease = self.leases.pop(lease_id)
        events: list[Stored] = []
        for key in sorted(lease.keys):
            self.delete(self.keys[key], events)
        self.commit(events)

    def expire_due_leases(self) -> None:
        """End the leases whose time to live has elapsed."""
        with self.changed:
            now_s = self.clock()
            for lease_id, lease in list(self.leases.items()):
                if lease.deadline_s <= now_s:
                    self.end_lease(lease_id)

    def expire_leases(self) -> None:
        """End all leases, as if their time to live had elapsed."""
        with self.changed:
            for lease_id in list(self.leases):
                self.end_lease(lease_id)

    def events_from(
        self, key: bytes, range_end: bytes, revision: int
    ) -> tuple[int, list[Stored]]:
        """Return the events of a range from a revision on.

        :returns: current revision of the store, and the events in order.
        :raises CompactedError: if the revision has been compacted.
        """
        with self.changed:
            self.expire_due_leases()
            if revision <= self.compacted_revision:
                raise CompactedError(self.compacted_revision + 1)
            found = []
            for past_revision, events in reversed(self.history):
                if past_revision < revision:
                    break
                found.append(
                    [
                        e
                        for e in events
                        if range_includes(key, range_end, e.key)
                    ]
                )
            return self.revision, [e for part in reversed(found) for e in part]


class StoreFaults:
    """Injectable faults of a store, initially inactive.

    :param state: state whose watches are notified of a change.
    :param seed: seed of the random choice of lost responses.
    """

    def __init__(self, state: StoreState, seed: int = 1):
        """Initialise with no faults active."""
        self.state = state
        self.random = Random(seed)
        self.down = False
        self.slow_s = 0.0
        self.lose_next = 0
        self.lose_share = 0.0
        self.mute_watches = False

    def set(
        self,
        down: bool | None = None,
        slow_s: float | None = None,
        lose_next: int | None = None,
        lose_share: float | None = None,
        mute_watches: bool | None = None,
    ) -> None:
        """Set the given faults and leave the others unchanged.

        :param down: refuse each call before it takes effect.
        :param slow_s: delay of each call before it takes effect, in seconds.
        :param lose_next: number of further writes whose responses are lost.
        :param lose_share: share of writes whose responses are lost, 0 to 1.
        :param mute_watches: keep watches open but send nothing.
        """
        with self.state.changed:
            if down is not None:
                self.down = down
            if slow_s is not None:
                self.slow_s = slow_s
            if lose_next is not None:
                self.lose_next = lose_next
            if lose_share is not None:
                self.lose_share = lose_share
            if mute_watches is not None:
                self.mute_watches = mute_watches
            self.state.changed.notify_all()

    def clear(self) -> None:
        """Deactivate all faults."""
        self.set(False, 0.0, 0, 0.0, False)

    def expire_leases(self) -> None:
        """End all leases."""
        self.state.expire_leases()

    def should_lose_response(self) -> bool:
        """Return whether the response to a successful write is to be lost."""
        with self.state.changed:
            if self.lose_next > 0:
                self.lose_next -= 1
                return True
            return self.random.random() < self.lose_share
