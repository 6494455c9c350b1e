"""Slots of one pool: who gets the next one, and where.

Requests are ordered by their class's target, shorter first, and within a
class by slack. Long work, and requests that run far longer than their class
usually does, may hold only a share of the slots of an endpoint and of the
pool. A long request that has waited longer than ``starvation_s`` takes the
next slot within that share, ahead of all other work; so it waits at most
``starvation_s`` plus the time until one of the share's slots is free, times
its place among the starved ones.

No I/O, no threads: clock and random source are injected.
"""

from collections.abc import Callable
from random import Random

from cyclamenscale.errors import NotFoundError
from cyclamenscale.members.messages import (
    DoneItem,
    GrantItem,
    HoldingItem,
    WantItem,
)
from cyclamenscale.model import Endpoint
from cyclamenscale.requests.endpoint_choice import TRIP_MS, EndpointChoice
from cyclamenscale.requests.queues import ClassQueue, Key, Spot, Waiting
from cyclamenscale.requests.runtimes import RunTimeEstimator
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock

POLICIES: dict[str, type] = {}

#: Shortest and longest time a refused caller is told to wait.
RETRY_AFTER_MIN_MS = 100
RETRY_AFTER_MAX_MS = 60_000
#: Above this share of free slots entries may report freed ones later.
AMPLE_SHARE = 0.2
#: Requests tried behind one that can use none of the free slots, because it
#: excludes them or is held back for its data centre.
LOOK_AHEAD = 64


def policy(name: str) -> Callable[[type], type]:
    """Register a way to share a pool's slots.

    :param name: value of the setting ``scheduling.policy``.
    """

    def register(kind: type) -> type:
        POLICIES[name] = kind
        return kind

    return register


def find_policy(name: str) -> type:
    """Return a registered policy.

    :raises NotFoundError: if no policy has this name.
    """
    if name not in POLICIES:
        raise NotFoundError("policy", name)
    return POLICIES[name]


class PoolScheduler(EndpointChoice):
    """Scheduler of one pool.

    :param settings: the whole settings.
    :param clock: monotonic seconds.
    :param rng: breaks ties between endpoints.
    :param runtimes: learned run times, shared with other users of them.
    :param choice: ``spread`` takes the endpoint with most free slots,
        ``two_choices`` the better one of two random ones.
    :param trip_ms: latency between data centres.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        rng: Random,
        runtimes: RunTimeEstimator | None = None,
        choice: str = "spread",
        trip_ms: float = TRIP_MS,
    ):
        """Start without endpoints, classes and requests."""
        super().__init__(
            settings,
            clock,
            rng,
            runtimes or RunTimeEstimator(settings, clock),
            choice,
            trip_ms,
        )
        self.queues: dict[str, ClassQueue] = {}
        self.epochs: dict[str, int] = {}
        self.classes: dict[Key, str] = {}
        self.refused: list[tuple[str, GrantItem]] = []
        #: Whether long work waited longer than ``starvation_s``.
        self.starved = False

    # Views.

    def update_classes(self, targets: dict[str, float]) -> None:
        """Take over the classes of the pool.

        :param targets: target of each class, in milliseconds.
        """
        if targets == self.targets:
            return
        self.targets = dict(targets)
        for queue in self.queues.values():
            queue.target_ms = targets.get(queue.name, queue.target_ms)
        self.sort_queues()

    def update_entries(self, centres: dict[str, str]) -> None:
        """Take over the data centres of the entries.

        :param centres: data centre by name of entry.
        """
        self.centres = centres

    def update_endpoints(
        self, endpoints: list[Endpoint], allowed: dict[str, int]
    ) -> None:
        """Take over the endpoints of the pool.

        :param endpoints: the endpoints.
        :param allowed: slots that may be used, by endpoint; an endpoint
            that is missing gets no new work.
        """
        before = self.total
        known = {endpoint.name: endpoint for endpoint in endpoints}
        for name in known:
            if name not in self.spots:
                self.spots[name] = Spot(name)
        self.total = 0
        for name, spot in list(self.spots.items()):
            spot.allowed = allowed.get(name, 0) if name in known else 0
            if name in known:
                spot.data_centre = known[name].data_centre
            elif not spot.used:
                del self.spots[name]
            self.total += spot.allowed
        if 0 < self.total < before:
            self.shed()

    # Requests.

    def add(self, entry: str, epoch: int, want: WantItem) -> None:
        """Queue a request, or refuse it if it cannot meet its deadline.

        :param entry: name of the entry.
        :param epoch: the entry's epoch; a request of another epoch than
            that of the entry's last reset is ignored.
        :param want: the request.
        """
        if epoch != self.epochs.setdefault(entry, epoch):
            return
        key = Key(entry, want.number)
        if key in self.classes or key in self.running:
            return
        queue = self.queue_of(want)
        waiting = Waiting(key, want, self.clock())
        if self.total:
            wait_ms = self.wait_ms(queue)
            p50_ms = self.quantiles(queue).p50_ms
            # With a free slot there is no estimate to be wrong about.
            if wait_ms and wait_ms + p50_ms > want.slack_ms:
                self.refuse(waiting, queue)
                return
        if len(self.classes) >= self.settings.queue_limit:
            least = next(
                q for q in reversed(self.order) if q.live or q is queue
            )
            if least is queue:
                self.refuse(waiting, queue)
                return
            self.refuse(least.live[next(reversed(least.live))], least)
        queue.push(waiting)
        self.classes[key] = queue.name

    def cancel(self, entry: str, number: int) -> None:
        """Free the place of a waiting request."""
        self.drop(Key(entry, number))

    def done(self, entry: str, item: DoneItem, learn: bool = True) -> None:
        """Free the slot of a request.

        :param entry: name of the entry.
        :param item: the request; unknown ones are ignored.
        :param learn: whether the run time is to be recorded.
        """
        if item.number < 0:
            running = self.crossed.pop(Key(entry, -item.number), None)
        else:
            running = self.running.pop(Key(entry, item.number), None)
        if running is None:
            return
        self.free(running)
        if item.whole and learn:
            self.runtimes.record(running.class_name, item.run_ms)
        if item.next:
            key = Key(entry, item.next)
            self.drop(key)
            self.hand_over(key, running)

    def head_ms(self) -> int:
        """Return the slack at the head of the most urgent queue.

        :returns: milliseconds, or -1 if no slot may be handed over: nothing
            of the most urgent class waits, or long work is starved. -2 if
            nothing waits and so many slots are free that one more or less
            makes no difference.
        """
        if not self.classes and self.free_slots > AMPLE_SHARE * self.total:
            return -2
        queue = self.order[0] if self.order else None
        head = queue.head() if queue else None
        if head is None or queue.name not in self.targets or self.starved:
            return -1
        return max(0, round((head.deadline_s - self.clock()) * 1000))

    def reset(
        self,
        entry: str,
        epoch: int,
        wants: list[WantItem],
        holding: list[HoldingItem],
    ) -> None:
        """Replace all that is known of an entry.

        :param entry: name of the entry.
        :param epoch: its new epoch.
        :param wants: requests that wait.
        :param holding: requests that run.
        """
        self.forget(entry)
        self.epochs[entry] = epoch
        now_s = self.clock()
        for item in holding:
            spot = self.spots.setdefault(item.endpoint, Spot(item.endpoint))
            key = Key(entry, item.number)
            self.occupy(key, item.class_name, spot, now_s - item.ran_ms / 1000)
        for want in wants:
            self.add(entry, epoch, want)

    def forget(self, entry: str) -> None:
        """Drop the requests of an entry and free its slots."""
        self.epochs.pop(entry, None)
        for key in [key for key in self.classes if key.entry == entry]:
            self.drop(key)
        for key in [key for key in self.running if key.entry == entry]:
            self.free(self.running.pop(key))
        for key in [key for key in self.crossed if key.entry == entry]:
            self.free(self.crossed.pop(key))
        self.refused = [one for one in self.refused if one[0] != entry]

    def grants(self) -> list[tuple[str, GrantItem]]:
        """Give free slots to waiting requests.

        :returns: pairs of entry and grant, refusals included.
        """
        now_s = self.clock()
        self.held_until_s = None
        self.expire(now_s)
        self.watch(now_s)
        given: list[tuple[str, GrantItem]] = []
        self.starved = False
        if self.classes and any(spot.free > 0 for spot in self.spots.values()):
            targets = self.known_targets()
            limit_ms = self.runtimes.long_limit_ms(targets)
            for queue, starved in self.turns(now_s, limit_ms):
                self.serve(queue, starved, limit_ms, now_s, given)
        refused, self.refused = self.refused, []
        return given + refused

    # Parts.

    def queue_of(self, want: WantItem) -> ClassQueue:
        """Return the queue of a request's class.

        A class the configuration does not know yet is ordered by the slack
        of its first request.
        """
        queue = self.queues.get(want.class_name)
        if queue is None:
            target_ms = self.targets.get(want.class_name, want.slack_ms)
            queue = ClassQueue(want.class_name, target_ms)
            self.queues = {
                name: old
                for name, old in self.queues.items()
                if old.live or name in self.targets
            }
            self.queues[queue.name] = queue
            self.sort_queues()
        return queue

    def sort_queues(self) -> None:
        """Order the queues by target, shorter first."""
        self.order = sorted(
            self.queues.values(), key=lambda queue: queue.target_ms
        )

    def wait_ms(self, queue: ClassQueue) -> float:
        """Return the expected wait of a new request, 0 with a free slot.

        It is the work ahead, in slot-milliseconds, over the slots.
        """
        ahead = 0.0
        for other in self.order:
            if other.target_ms <= queue.target_ms:
                ahead += len(other.live) * self.quantiles(other).mean_ms
        if not ahead and self.free_slots > 0:
            return 0.0
        return (ahead + self.quantiles(queue).mean_ms) / max(1, self.total)

    def retry_after_ms(self, queue: ClassQueue) -> int:
        """Return when the work ahead of a new request will be drained."""
        if not self.total:
            return RETRY_AFTER_MAX_MS
        wait_ms = self.wait_ms(queue)
        return int(min(max(wait_ms, RETRY_AFTER_MIN_MS), RETRY_AFTER_MAX_MS))

    def refuse(self, waiting: Waiting, queue: ClassQueue) -> None:
        """Refuse a request, waiting or not."""
        after_ms = self.retry_after_ms(queue)
        self.drop(waiting.key)
        key = waiting.key
        self.refused.append((key.entry, GrantItem(key.number, "", after_ms)))

    def drop(self, key: Key) -> Waiting | None:
        """Remove a waiting request."""
        name = self.classes.pop(key, None)
        return None if name is None else self.queues[name].remove(key)

    def expire(self, now_s: float) -> None:
        """Refuse requests that can no longer meet their deadline."""
        for queue in self.order:
            if not queue.live:
                continue
            latest_s = now_s + self.quantiles(queue).p50_ms / 1000
            head = queue.head()
            while head is not None and head.deadline_s < latest_s:
                # A request that never could meet its deadline by the
                # estimate gets its chance while slots are free.
                if head.since_s == now_s and head.deadline_s > now_s:
                    break
                self.refuse(head, queue)
                head = queue.head()

    def shed(self) -> None:
        """Refuse what cannot meet its deadline with the slots left.

        The most urgent work is planned first, so that the least urgent is
        shed first.
        """
        now_s = self.clock()
        ahead_ms = 0.0
        for queue in self.order:
            times = self.quantiles(queue)
            for waiting in list(queue.ordered()):
                wait_ms = ahead_ms / self.total
                left_ms = (waiting.deadline_s - now_s) * 1000
                if wait_ms + times.p50_ms > left_ms:
                    self.refuse(waiting, queue)
                else:
                    ahead_ms += times.mean_ms

    def turns(
        self, now_s: float, limit_ms: float
    ) -> list[tuple[ClassQueue, bool]]:
        """Return the queues in the order they are served.

        Starved requests of long classes come first, then each class by its
        target.
        """
        first = []
        rest = []
        for queue in self.order:
            if not queue.live:
                continue
            rest.append((queue, False))
            if self.quantiles(queue).p90_ms > limit_ms:
                oldest = queue.oldest()
                if now_s - oldest.since_s > self.settings.starvation_s:
                    first.append((queue, True))
        self.starved = bool(first)
        first.sort(key=lambda turn: turn[0].oldest().since_s)
        return first + rest

    def serve(
        self,
        queue: ClassQueue,
        starved: bool,
        limit_ms: float,
        now_s: float,
        given: list[tuple[str, GrantItem]],
    ) -> None:
        """Give slots to the requests of a queue as far as they go.

        :param queue: the queue.
        :param starved: whether only requests that waited too long are
            served.
        :param limit_ms: run time beyond which work is long.
        :param now_s: the time.
        :param given: gets the grants.
        """
        long = self.quantiles(queue).p90_ms > limit_ms
        while queue.live:
            waiting = queue.oldest() if starved else queue.head()
            late_s = now_s - waiting.since_s
            if starved and late_s <= self.settings.starvation_s:
                return
            spot, others = self.choose(waiting, queue, long, starved, now_s)
            if spot is not None and not starved:
                waiting = self.nearer(waiting, queue, spot)
            if spot is not None:
                given.append(self.grant(waiting, spot, now_s))
            elif queue.has(waiting):
                break
        else:
            return
        if not others or starved:
            return
        for waiting in queue.first(LOOK_AHEAD):
            spot, others = self.choose(waiting, queue, long, starved, now_s)
            if spot is not None:
                given.append(self.grant(waiting, spot, now_s))
            if not others:
                return

    def grant(
        self, waiting: Waiting, spot: Spot, now_s: float
    ) -> tuple[str, GrantItem]:
        """Give a slot to a waiting request."""
        self.drop(waiting.key)
        self.occupy(waiting.key, waiting.class_name, spot, now_s)
        return waiting.key.entry, GrantItem(waiting.key.number, spot.name)
