"""Waiting and running requests of one pool, as its scheduler stores them."""

from collections.abc import Iterator
from heapq import heapify, heappop, heappush, nsmallest
from itertools import islice
from operator import itemgetter
from typing import NamedTuple

from cyclamenscale.members.messages import SlotRequestItem


class RequestKey(NamedTuple):
    """Identifies a request at a scheduler."""

    entry: str
    number: int


class WaitingRequest:
    """A request that waits for a slot."""

    __slots__ = ("key", "class_name", "deadline_s", "arrived_s", "exclude")

    def __init__(self, key: RequestKey, item: SlotRequestItem, now_s: float):
        """Initialise with the arrival time and the deadline."""
        self.key = key
        self.class_name = item.class_name
        self.deadline_s = now_s + item.slack_ms / 1000
        self.arrived_s = now_s
        self.exclude = item.exclude


class RunningRequest:
    """A request that runs on a slot."""

    __slots__ = ("key", "class_name", "endpoint_slots", "started_s", "long")

    def __init__(
        self,
        key: RequestKey,
        class_name: str,
        slots: "EndpointSlots",
        started_s: float,
    ):
        """Initialise with the endpoint and the start time."""
        self.key = key
        self.class_name = class_name
        self.endpoint_slots = slots
        self.started_s = started_s
        self.long = False


class EndpointSlots:
    """Slot counts of one endpoint."""

    __slots__ = ("name", "data_centre", "allowed", "used", "long_used")

    def __init__(self, name: str):
        """Initialise with no slots."""
        self.name = name
        self.data_centre = ""
        self.allowed = 0
        self.used = 0
        self.long_used = 0

    @property
    def free(self) -> int:
        """Return the free slots; negative if fewer are allowed than in use."""
        return self.allowed - self.used


class ClassQueue:
    """Waiting requests of one class, ordered by deadline.

    Cancelled requests stay in the heap until they reach its top or make up
    more than half of it, so that a cancellation takes constant amortized
    time.
    """

    def __init__(self, name: str, target_ms: float):
        """Initialise with no requests."""
        self.name = name
        self.target_ms = target_ms
        self.requests: dict[RequestKey, WaitingRequest] = {}
        self.heap: list[tuple[float, int, WaitingRequest]] = []
        self.push_count = 0

    def push(self, waiting: WaitingRequest) -> None:
        """Add a request."""
        self.push_count += 1
        self.requests[waiting.key] = waiting
        heappush(self.heap, (waiting.deadline_s, self.push_count, waiting))

    def remove(self, key: RequestKey) -> WaitingRequest | None:
        """Remove a request from any position in the queue."""
        waiting = self.requests.pop(key, None)
        if len(self.heap) > 2 * len(self.requests) + 32:
            self.heap = [item for item in self.heap if self.contains(item[2])]
            heapify(self.heap)
        return waiting

    def contains(self, waiting: WaitingRequest) -> bool:
        """Return whether this is still the waiting request of its key."""
        return self.requests.get(waiting.key) is waiting

    def head(self) -> WaitingRequest | None:
        """Return the request with the earliest deadline."""
        while self.heap and not self.contains(self.heap[0][2]):
            heappop(self.heap)
        return self.heap[0][2] if self.heap else None

    def oldest(self) -> WaitingRequest | None:
        """Return the request that arrived first."""
        return next(iter(self.requests.values()), None)

    def most_urgent(self, count: int) -> list[WaitingRequest]:
        """Return the first requests in order of deadline."""
        # At most about half of the heap is cancelled requests, so twice as
        # many are examined.
        smallest = nsmallest(2 * count, self.heap, key=itemgetter(0, 1))
        live = (one[2] for one in smallest if self.contains(one[2]))
        return list(islice(live, count))

    def by_deadline(self) -> Iterator[WaitingRequest]:
        """Yield all requests in order of deadline."""
        for _, _, waiting in sorted(self.heap, key=lambda item: item[:2]):
            if self.contains(waiting):
                yield waiting
