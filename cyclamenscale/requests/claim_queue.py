"""Bounded queue and cache of the claim committer; no locks, no I/O."""

from collections import OrderedDict, deque
from collections.abc import Iterator

from cyclamenscale.requests.claim_records import ClaimRecord, ClaimUpdate
from cyclamenscale.util.clock import Clock


class UpdateQueue:
    """Updates that wait for a transaction, bounded in number and size.

    :param limit: largest number of updates.
    :param limit_bytes: largest total of their encoded sizes.
    """

    def __init__(self, limit: int, limit_bytes: int):
        """Initialise with no updates."""
        self.limit = limit
        self.limit_bytes = limit_bytes
        self.size_bytes = 0
        self.updates: deque[ClaimUpdate] = deque()

    def __len__(self) -> int:
        """Return the number of waiting updates."""
        return len(self.updates)

    def __iter__(self) -> Iterator[ClaimUpdate]:
        """Iterate over the updates, the oldest first."""
        return iter(self.updates)

    def fits(self, update: ClaimUpdate) -> bool:
        """Return whether another update fits.

        Only new updates are checked: those of a failed transaction are
        queued again even if the queue is full.
        """
        size_bytes = self.size_bytes + len(update.value)
        return (
            len(self.updates) < self.limit and size_bytes <= self.limit_bytes
        )

    def add(self, update: ClaimUpdate, at_front: bool = False) -> None:
        """Add an update at the back or the front."""
        if at_front:
            self.updates.appendleft(update)
        else:
            self.updates.append(update)
        self.size_bytes += len(update.value)

    def remove(self, update: ClaimUpdate) -> None:
        """Remove an update."""
        self.updates.remove(update)
        self.size_bytes -= len(update.value)

    def drop_before(self, oldest_s: float) -> int:
        """Drop outcomes that were queued before a time.

        A claim is kept until its caller gives up, however long that takes:
        the caller may be paused.

        :returns: how many outcomes were dropped.
        """
        expired = [
            update
            for update in self.updates
            if update.queued_s < oldest_s and not update.is_claim
        ]
        for update in expired:
            self.remove(update)
        return len(expired)


class OutcomeCache:
    """Outcomes that this entry recorded; evicts the oldest when full.

    With it, a repeated request gets its response while the store is down.

    :param limit_bytes: largest total of the encoded sizes.
    :param retention_s: how long an outcome may be used, in seconds.
    :param clock: monotonic seconds.
    :ivar evicted: number of evicted outcomes.
    """

    def __init__(self, limit_bytes: int, retention_s: float, clock: Clock):
        """Initialise with no outcomes; the owner's lock guards all fields."""
        self.limit_bytes = limit_bytes
        self.retention_s = retention_s
        self.clock = clock
        self.updates: OrderedDict[str, ClaimUpdate] = OrderedDict()
        self.size_bytes = 0
        self.evicted = 0

    def add(self, update: ClaimUpdate) -> None:
        """Add the outcome of an update."""
        previous = self.updates.pop(update.key, None)
        if previous:
            self.size_bytes -= len(previous.value)
        self.updates[update.key] = update
        self.size_bytes += len(update.value)
        while self.size_bytes > self.limit_bytes:
            _, oldest = self.updates.popitem(last=False)
            self.size_bytes -= len(oldest.value)
            self.evicted += 1

    def find(self, key: str) -> ClaimRecord | None:
        """Return the record of a store key, None if missing or expired."""
        update = self.updates.get(key)
        if update and self.clock() - update.queued_s < self.retention_s:
            return update.record
        return None
