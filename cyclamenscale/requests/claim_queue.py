"""Bounded queues and caches of the claim committer; no locks, no I/O."""

from collections import OrderedDict, deque
from collections.abc import Iterator

from cyclamenscale.requests.claim_records import ClaimRecord, ClaimUpdate
from cyclamenscale.util.clock import Clock


class UpdateQueue:
    """Steps that wait for a transaction, bounded in number and size.

    :param limit: how many steps it takes.
    :param limit_bytes: bound of their encoded size.
    """

    def __init__(self, limit: int, limit_bytes: int):
        """Start empty."""
        self.limit = limit
        self.limit_bytes = limit_bytes
        self.size_bytes = 0
        self.updates: deque[ClaimUpdate] = deque()

    def __len__(self) -> int:
        """Return how many steps wait."""
        return len(self.updates)

    def __iter__(self) -> Iterator[ClaimUpdate]:
        """Iterate, the oldest first."""
        return iter(self.updates)

    def fits(self, step: ClaimUpdate) -> bool:
        """Return whether another step fits.

        Steps that were taken out go back in whether there is room or not.
        """
        size_bytes = self.size_bytes + len(step.value)
        return (
            len(self.updates) < self.limit and size_bytes <= self.limit_bytes
        )

    def add(self, step: ClaimUpdate, at_front: bool = False) -> None:
        """Add a step at one end."""
        if at_front:
            self.updates.appendleft(step)
        else:
            self.updates.append(step)
        self.size_bytes += len(step.value)

    def remove(self, step: ClaimUpdate) -> None:
        """Take a step out."""
        self.updates.remove(step)
        self.size_bytes -= len(step.value)

    def drop_before(self, oldest_s: float) -> int:
        """Drop outcomes that were queued before a time.

        A claim stays until its caller gives up, however late: the caller
        may be paused.

        :returns: how many were dropped.
        """
        expired = [
            step
            for step in self.updates
            if step.queued_s < oldest_s and not step.is_claim
        ]
        for step in expired:
            self.remove(step)
        return len(expired)


class OutcomeCache:
    """Outcomes that this entry recorded, bounded, the oldest dropped first.

    A repeated request gets its answer although the store is down.

    :param limit_bytes: bound of their encoded size.
    :param retention_s: how long one may be used, in seconds.
    :param clock: monotonic seconds.
    """

    def __init__(self, limit_bytes: int, retention_s: float, clock: Clock):
        """Start empty; the owner's lock guards all fields."""
        self.limit_bytes = limit_bytes
        self.retention_s = retention_s
        self.clock = clock
        self.updates: OrderedDict[str, ClaimUpdate] = OrderedDict()
        self.size_bytes = 0
        self.evicted = 0

    def add(self, step: ClaimUpdate) -> None:
        """Keep the outcome of a step."""
        replaced = self.updates.pop(step.key, None)
        if replaced:
            self.size_bytes -= len(replaced.value)
        self.updates[step.key] = step
        self.size_bytes += len(step.value)
        while self.size_bytes > self.limit_bytes:
            _, oldest = self.updates.popitem(last=False)
            self.size_bytes -= len(oldest.value)
            self.evicted += 1

    def find(self, key: str) -> ClaimRecord | None:
        """Return the record of a store key, if it may still be used."""
        step = self.updates.get(key)
        if step and self.clock() - step.queued_s < self.retention_s:
            return step.record
        return None
