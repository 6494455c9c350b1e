"""Slots in use of one pool: which requests run where, and which are long."""

from heapq import heapify, heappop, heappush

from cyclamenscale.requests.queues import (
    ClassQueue,
    EndpointSlots,
    RequestKey,
    RunningRequest,
)
from cyclamenscale.requests.runtimes import RunTimeEstimator
from cyclamenscale.util.clock import Clock

#: Target of a running request whose class is not configured.
DEFAULT_TARGET_MS = 60_000


class Occupancy:
    """Requests that run on the slots of a pool.

    :param clock: monotonic clock in seconds.
    :param runtimes: run time estimates.
    """

    def __init__(self, clock: Clock, runtimes: RunTimeEstimator):
        """Initialise with no endpoints and no requests."""
        self.clock = clock
        self.runtimes = runtimes
        #: Slot counts by endpoint.
        self.spots: dict[str, EndpointSlots] = {}
        self.targets: dict[str, float] = {}
        self.ordered_queues: list[ClassQueue] = []
        self.running: dict[RequestKey, RunningRequest] = {}
        #: Slots granted to requests that had already taken over another slot.
        self.duplicate_grants: dict[RequestKey, RunningRequest] = {}
        #: Heap of the times at which running requests start to count as
        #: long; the second item breaks ties between equal times.
        self.long_checks: list[tuple[float, int, RunningRequest]] = []
        self.push_count = 0
        self.long_used = 0
        self.total_slots = 0

    def hand_over(self, key: RequestKey, previous: RunningRequest) -> None:
        """Record that an entry reused a slot for a request of the same class.

        A grant for that request may be in flight. The granted slot stays in
        use until the entry reports what it did with it, under the negated
        request number.
        """
        duplicate = self.running.pop(key, None)
        if duplicate is not None:
            self.duplicate_grants[key] = duplicate
        self.occupy(
            key, previous.class_name, previous.endpoint_slots, self.clock()
        )

    @property
    def free_slots(self) -> int:
        """Return the number of free slots of the pool."""
        return (
            self.total_slots - len(self.running) - len(self.duplicate_grants)
        )

    def all_targets(self) -> dict[str, float]:
        """Return the targets of all classes, unconfigured ones included."""
        return {
            queue.name: queue.target_ms for queue in self.ordered_queues
        } | (self.targets)

    def occupy(
        self,
        key: RequestKey,
        class_name: str,
        slots: EndpointSlots,
        started_s: float,
    ) -> None:
        """Record a request as running on a slot of an endpoint."""
        running = RunningRequest(key, class_name, slots, started_s)
        self.running[key] = running
        slots.used += 1
        targets = self.all_targets()
        targets.setdefault(class_name, DEFAULT_TARGET_MS)
        limit_ms = self.runtimes.long_limit_ms(targets)
        p90_ms = self.runtimes.quantiles(
            class_name, targets[class_name]
        ).p90_ms
        if p90_ms > limit_ms:
            self.mark_long(running)
        else:
            due_s = started_s + limit_ms / 1000
            self.push_count += 1
            heappush(self.long_checks, (due_s, self.push_count, running))

    def mark_long(self, running: RunningRequest) -> None:
        """Count a running request towards the share of long work."""
        running.long = True
        running.endpoint_slots.long_used += 1
        self.long_used += 1

    def free(self, running: RunningRequest) -> None:
        """Free the slot of a request."""
        slots = running.endpoint_slots
        slots.used -= 1
        if running.long:
            slots.long_used -= 1
            self.long_used -= 1

    def mark_stragglers(self, now_s: float) -> None:
        """Count requests as long work that have run past the long limit."""
        while self.long_checks and self.long_checks[0][0] <= now_s:
            running = heappop(self.long_checks)[2]
            if self.is_running(running) and not running.long:
                self.mark_long(running)
        if len(self.long_checks) > 2 * len(self.running) + 64:
            self.long_checks = [
                item for item in self.long_checks if self.is_running(item[2])
            ]
            heapify(self.long_checks)

    def is_running(self, running: RunningRequest) -> bool:
        """Return whether this is still the running request of its key."""
        return self.running.get(running.key) is running
