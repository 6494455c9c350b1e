"""Slots of one pool in use: where requests run, and which count as long."""

from heapq import heapify, heappop, heappush

from cyclamenscale.requests.queues import ClassQueue, Key, Running, Spot
from cyclamenscale.requests.runtimes import RunTimeEstimator
from cyclamenscale.util.clock import Clock

#: Target assumed for a running request of a class that is not configured.
UNKNOWN_TARGET_MS = 60_000


class Occupancy:
    """Requests on the slots of a pool.

    :param clock: monotonic seconds.
    :param runtimes: learned run times.
    """

    def __init__(self, clock: Clock, runtimes: RunTimeEstimator):
        """Start without endpoints and requests."""
        self.clock = clock
        self.runtimes = runtimes
        self.spots: dict[str, Spot] = {}
        self.targets: dict[str, float] = {}
        self.order: list[ClassQueue] = []
        self.running: dict[Key, Running] = {}
        #: Slots granted to requests that had taken over another one.
        self.crossed: dict[Key, Running] = {}
        #: When each running request counts as long; the number orders
        #: equal times.
        self.watched: list[tuple[float, int, Running]] = []
        self.pushed = 0
        self.long_used = 0
        self.total = 0

    def hand_over(self, key: Key, before: Running) -> None:
        """Note that an entry reused a slot for a request of the same class.

        A grant for that request may be under way. Its slot stays in use
        until the entry says what became of it, under the negative number.
        """
        crossed = self.running.pop(key, None)
        if crossed is not None:
            self.crossed[key] = crossed
        self.occupy(key, before.class_name, before.spot, self.clock())

    @property
    def free_slots(self) -> int:
        """Return the number of free slots of the pool."""
        return self.total - len(self.running) - len(self.crossed)

    def known_targets(self) -> dict[str, float]:
        """Return the targets of all classes, also of unconfigured ones."""
        return {queue.name: queue.target_ms for queue in self.order} | (
            self.targets
        )

    def occupy(
        self, key: Key, class_name: str, spot: Spot, since_s: float
    ) -> None:
        """Put a request on a slot."""
        running = Running(key, class_name, spot, since_s)
        self.running[key] = running
        spot.used += 1
        targets = self.known_targets()
        targets.setdefault(class_name, UNKNOWN_TARGET_MS)
        limit_ms = self.runtimes.long_limit_ms(targets)
        p90_ms = self.runtimes.quantiles(
            class_name, targets[class_name]
        ).p90_ms
        if p90_ms > limit_ms:
            self.mark_long(running)
        else:
            due_s = since_s + limit_ms / 1000
            self.pushed += 1
            heappush(self.watched, (due_s, self.pushed, running))

    def mark_long(self, running: Running) -> None:
        """Count a running request against the share of long work."""
        running.long = True
        running.spot.long_used += 1
        self.long_used += 1

    def free(self, running: Running) -> None:
        """Free a slot."""
        spot = running.spot
        spot.used -= 1
        if running.long:
            spot.long_used -= 1
            self.long_used -= 1

    def watch(self, now_s: float) -> None:
        """Count requests that turned out to run long as long work."""
        while self.watched and self.watched[0][0] <= now_s:
            running = heappop(self.watched)[2]
            if self.runs(running) and not running.long:
                self.mark_long(running)
        if len(self.watched) > 2 * len(self.running) + 64:
            self.watched = [
                item for item in self.watched if self.runs(item[2])
            ]
            heapify(self.watched)

    def runs(self, running: Running) -> bool:
        """Return whether this very request still runs."""
        return self.running.get(running.key) is running
