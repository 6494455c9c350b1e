"""Scheduler of one pool: assigns its slots to waiting requests.

Requests are ordered by their class's target, shorter first, and within a
class by slack. Long work, and requests that run far longer than is usual for
their class (stragglers), may use only a share of the slots of an endpoint and
of the pool. A long request that has waited longer than ``starvation_s`` gets
the next slot within that share, ahead of all other work; so it waits at most
``starvation_s`` plus the time until one of the share's slots is free, times
its position among the starved requests.

There is no I/O and no thread; clock and random source are injected.
"""

from collections.abc import Callable
from random import Random

from cyclamenscale.errors import NotFoundError
from cyclamenscale.members.messages import (
    GrantItem,
    SlotInUseItem,
    SlotReleaseItem,
    SlotRequestItem,
)
from cyclamenscale.model import Endpoint
from cyclamenscale.requests.endpoint_choice import (
    CROSS_CENTRE_LATENCY_MS,
    EndpointChoice,
)
from cyclamenscale.requests.queues import (
    ClassQueue,
    EndpointSlots,
    RequestKey,
    WaitingRequest,
)
from cyclamenscale.requests.runtimes import RunTimeEstimator
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock

POLICIES: dict[str, type] = {}

#: Bounds of the retry-after time that a refused request gets.
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 60_000
#: Above this share of free slots, entries may delay reports of freed ones.
SPARE_SHARE = 0.2
#: Number of requests tried when the head of a queue can use none of the free
#: slots, because it excludes them or waits for one in its data centre.
LOOK_AHEAD = 64


def slot_policy(name: str) -> Callable[[type], type]:
    """Register a class as a slot scheduling policy.

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

    :param settings: settings of the entry.
    :param clock: monotonic clock in seconds.
    :param rng: breaks ties between endpoints.
    :param runtimes: run time estimates, which may be shared.
    :param choice: ``spread`` chooses the endpoint with the most free slots,
        ``two_choices`` the better one of two random endpoints.
    :param cross_centre_latency_ms: latency between data centres, in
        milliseconds.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        rng: Random,
        runtimes: RunTimeEstimator | None = None,
        choice: str = "spread",
        cross_centre_latency_ms: float = CROSS_CENTRE_LATENCY_MS,
    ):
        """Initialise with no endpoints, classes or requests."""
        super().__init__(
            settings,
            clock,
            rng,
            runtimes or RunTimeEstimator(settings, clock),
            choice,
            cross_centre_latency_ms,
        )
        self.queues: dict[str, ClassQueue] = {}
        self.epochs: dict[str, int] = {}
        self.waiting_classes: dict[RequestKey, str] = {}
        self.refusals: list[tuple[str, GrantItem]] = []
        #: Whether long work has waited longer than ``starvation_s``.
        self.starved = False

    # Configuration and membership.

    def update_classes(self, targets: dict[str, float]) -> None:
        """Apply the classes of the pool.

        :param targets: target of each class, in milliseconds.
        """
        if targets == self.targets:
            return
        self.targets = dict(targets)
        for queue in self.queues.values():
            queue.target_ms = targets.get(queue.name, queue.target_ms)
        self.sort_queues()

    def update_entries(self, centres: dict[str, str]) -> None:
        """Apply the data centres of the entries.

        :param centres: data centre by name of entry.
        """
        self.entry_centres = centres

    def update_endpoints(
        self, endpoints: list[Endpoint], allowed: dict[str, int]
    ) -> None:
        """Apply the endpoints of the pool.

        :param endpoints: the endpoints.
        :param allowed: usable slots by endpoint; an endpoint that is missing
            gets no new work.
        """
        previous_total = self.total_slots
        by_name = {endpoint.name: endpoint for endpoint in endpoints}
        for name in by_name:
            if name not in self.spots:
                self.spots[name] = EndpointSlots(name)
        self.total_slots = 0
        for name, slots in list(self.spots.items()):
            slots.allowed = allowed.get(name, 0) if name in by_name else 0
            if name in by_name:
                slots.data_centre = by_name[name].data_centre
            elif not slots.used:
                del self.spots[name]
            self.total_slots += slots.allowed
        if 0 < self.total_slots < previous_total:
            self.shed()

    # Requests.

    def add(self, entry: str, epoch: int, request: SlotRequestItem) -> None:
        """Queue a request, or refuse it if it cannot meet its deadline.

        :param entry: name of the entry.
        :param epoch: the entry's epoch; the request is ignored if this is
            not the epoch of the entry's last reset.
        :param request: the request.
        """
        if epoch != self.epochs.setdefault(entry, epoch):
            return
        key = RequestKey(entry, request.number)
        if key in self.waiting_classes or key in self.running:
            return
        queue = self.find_or_add_queue(request)
        waiting = WaitingRequest(key, request, self.clock())
        if self.total_slots:
            wait_ms = self.expected_wait_ms(queue)
            p50_ms = self.quantiles(queue).p50_ms
            # With a free slot no estimate is needed.
            if wait_ms and wait_ms + p50_ms > request.slack_ms:
                self.refuse(waiting, queue)
                return
        if len(self.waiting_classes) >= self.settings.queue_limit:
            least_urgent = next(
                q
                for q in reversed(self.ordered_queues)
                if q.requests or q is queue
            )
            if least_urgent is queue:
                self.refuse(waiting, queue)
                return
            self.refuse(
                least_urgent.requests[next(reversed(least_urgent.requests))],
                least_urgent,
            )
        queue.push(waiting)
        self.waiting_classes[key] = queue.name

    def cancel(self, entry: str, number: int) -> None:
        """Remove a waiting request."""
        self.remove_waiting(RequestKey(entry, number))

    def finish(
        self, entry: str, item: SlotReleaseItem, learn: bool = True
    ) -> None:
        """Free the slot of a request.

        :param entry: name of the entry.
        :param item: the request; an unknown one is ignored.
        :param learn: whether to record the run time.
        """
        if item.number < 0:
            running = self.duplicate_grants.pop(
                RequestKey(entry, -item.number), None
            )
        else:
            running = self.running.pop(RequestKey(entry, item.number), None)
        if running is None:
            return
        self.free(running)
        if item.complete and learn:
            self.runtimes.record(running.class_name, item.run_ms)
        if item.successor:
            key = RequestKey(entry, item.successor)
            self.remove_waiting(key)
            self.hand_over(key, running)

    def head_slack_ms(self) -> int:
        """Return the slack at the head of the most urgent queue.

        :returns: milliseconds, or -1 if no slot may be handed over, because
            no request of the most urgent class waits or long work is
            starved, or -2 if nothing waits and so many slots are free that
            one more or less makes no difference.
        """
        if (
            not self.waiting_classes
            and self.free_slots > SPARE_SHARE * self.total_slots
        ):
            return -2
        queue = self.ordered_queues[0] if self.ordered_queues else None
        head = queue.head() if queue else None
        if head is None or queue.name not in self.targets or self.starved:
            return -1
        return max(0, round((head.deadline_s - self.clock()) * 1000))

    def reset(
        self,
        entry: str,
        epoch: int,
        requests: list[SlotRequestItem],
        in_use: list[SlotInUseItem],
    ) -> None:
        """Replace all requests of an entry.

        :param entry: name of the entry.
        :param epoch: its new epoch.
        :param requests: its waiting requests.
        :param in_use: its running requests.
        """
        self.remove_entry(entry)
        self.epochs[entry] = epoch
        now_s = self.clock()
        for item in in_use:
            slots = self.spots.setdefault(
                item.endpoint, EndpointSlots(item.endpoint)
            )
            key = RequestKey(entry, item.number)
            self.occupy(
                key, item.class_name, slots, now_s - item.elapsed_ms / 1000
            )
        for request in requests:
            self.add(entry, epoch, request)

    def remove_entry(self, entry: str) -> None:
        """Remove the requests of an entry and free its slots."""
        self.epochs.pop(entry, None)
        for key in [key for key in self.waiting_classes if key.entry == entry]:
            self.remove_waiting(key)
        for key in [key for key in self.running if key.entry == entry]:
            self.free(self.running.pop(key))
        for key in [
            key for key in self.duplicate_grants if key.entry == entry
        ]:
            self.free(self.duplicate_grants.pop(key))
        self.refusals = [one for one in self.refusals if one[0] != entry]

    def assign_slots(self) -> list[tuple[str, GrantItem]]:
        """Assign free slots to waiting requests.

        :returns: pairs of entry and grant, refusals included.
        """
        now_s = self.clock()
        self.local_wait_until_s = None
        self.expire(now_s)
        self.mark_stragglers(now_s)
        grants: list[tuple[str, GrantItem]] = []
        self.starved = False
        if self.waiting_classes and any(
            slots.free > 0 for slots in self.spots.values()
        ):
            targets = self.all_targets()
            limit_ms = self.runtimes.long_limit_ms(targets)
            for queue, starved in self.service_order(now_s, limit_ms):
                self.serve_queue(queue, starved, limit_ms, now_s, grants)
        refusals, self.refusals = self.refusals, []
        return grants + refusals

    # Internal methods.

    def find_or_add_queue(self, request: SlotRequestItem) -> ClassQueue:
        """Return the queue of a request's class.

        A class that is not in the configuration yet is ordered by the slack
        of its first request.
        """
        queue = self.queues.get(request.class_name)
        if queue is None:
            target_ms = self.targets.get(request.class_name, request.slack_ms)
            queue = ClassQueue(request.class_name, target_ms)
            self.queues = {
                name: old
                for name, old in self.queues.items()
                if old.requests or name in self.targets
            }
            self.queues[queue.name] = queue
            self.sort_queues()
        return queue

    def sort_queues(self) -> None:
        """Order the queues by target, shorter first."""
        self.ordered_queues = sorted(
            self.queues.values(), key=lambda queue: queue.target_ms
        )

    def expected_wait_ms(self, queue: ClassQueue) -> float:
        """Return the expected wait of a new request, 0 with a free slot.

        It is the work ahead of the request, in slot-milliseconds, divided by
        the number of slots.
        """
        ahead = 0.0
        for other in self.ordered_queues:
            if other.target_ms <= queue.target_ms:
                ahead += len(other.requests) * self.quantiles(other).mean_ms
        if not ahead and self.free_slots > 0:
            return 0.0
        return (ahead + self.quantiles(queue).mean_ms) / max(
            1, self.total_slots
        )

    def retry_after_ms(self, queue: ClassQueue) -> int:
        """Return the time until the work ahead of a new request is done."""
        if not self.total_slots:
            return MAX_RETRY_AFTER_MS
        wait_ms = self.expected_wait_ms(queue)
        return int(min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS))

    def refuse(self, waiting: WaitingRequest, queue: ClassQueue) -> None:
        """Refuse a request, whether it is queued yet or not."""
        after_ms = self.retry_after_ms(queue)
        self.remove_waiting(waiting.key)
        key = waiting.key
        self.refusals.append((key.entry, GrantItem(key.number, "", after_ms)))

    def remove_waiting(self, key: RequestKey) -> WaitingRequest | None:
        """Remove a waiting request and return it, or None."""
        name = self.waiting_classes.pop(key, None)
        return None if name is None else self.queues[name].remove(key)

    def expire(self, now_s: float) -> None:
        """Refuse requests that can no longer meet their deadline."""
        for queue in self.ordered_queues:
            if not queue.requests:
                continue
            latest_s = now_s + self.quantiles(queue).p50_ms / 1000
            head = queue.head()
            while head is not None and head.deadline_s < latest_s:
                # A new request that cannot meet its deadline by the
                # estimate is still tried while slots are free.
                if head.arrived_s == now_s and head.deadline_s > now_s:
                    break
                self.refuse(head, queue)
                head = queue.head()

    def shed(self) -> None:
        """Refuse requests that miss their deadline with the remaining slots.

        The most urgent work is planned first, so that the least urgent is
        shed first.
        """
        now_s = self.clock()
        ahead_ms = 0.0
        for queue in self.ordered_queues:
            times = self.quantiles(queue)
            for waiting in list(queue.by_deadline()):
                wait_ms = ahead_ms / self.total_slots
                remaining_ms = (waiting.deadline_s - now_s) * 1000
                if wait_ms + times.p50_ms > remaining_ms:
                    self.refuse(waiting, queue)
                else:
                    ahead_ms += times.mean_ms

    def service_order(
        self, now_s: float, limit_ms: float
    ) -> list[tuple[ClassQueue, bool]]:
        """Return the queues in the order in which they are served.

        Starved requests of long classes come first, then all classes by
        target. A pair states whether only starved requests are served.
        """
        starved_queues = []
        all_queues = []
        for queue in self.ordered_queues:
            if not queue.requests:
                continue
            all_queues.append((queue, False))
            if self.quantiles(queue).p90_ms > limit_ms:
                oldest = queue.oldest()
                if now_s - oldest.arrived_s > self.settings.starvation_s:
                    starved_queues.append((queue, True))
        self.starved = bool(starved_queues)
        starved_queues.sort(key=lambda item: item[0].oldest().arrived_s)
        return starved_queues + all_queues

    def serve_queue(
        self,
        queue: ClassQueue,
        starved: bool,
        limit_ms: float,
        now_s: float,
        grants: list[tuple[str, GrantItem]],
    ) -> None:
        """Assign slots to the requests of a queue while any are free.

        :param queue: the queue.
        :param starved: whether to serve only requests that have waited longer
            than ``starvation_s``.
        :param limit_ms: run time beyond which work counts as long.
        :param now_s: monotonic seconds.
        :param grants: list to which the grants are appended.
        """
        long = self.quantiles(queue).p90_ms > limit_ms
        while queue.requests:
            waiting = queue.oldest() if starved else queue.head()
            waited_s = now_s - waiting.arrived_s
            if starved and waited_s <= self.settings.starvation_s:
                return
            slots, others = self.choose(waiting, queue, long, starved, now_s)
            if slots is not None and not starved:
                waiting = self.prefer_local(waiting, queue, slots)
            if slots is not None:
                grants.append(self.grant(waiting, slots, now_s))
            elif queue.contains(waiting):
                break
        else:
            return
        if not others or starved:
            return
        for waiting in queue.most_urgent(LOOK_AHEAD):
            slots, others = self.choose(waiting, queue, long, starved, now_s)
            if slots is not None:
                grants.append(self.grant(waiting, slots, now_s))
            if not others:
                return

    def grant(
        self, waiting: WaitingRequest, slots: EndpointSlots, now_s: float
    ) -> tuple[str, GrantItem]:
        """Assign a slot to a waiting request and return its grant."""
        self.remove_waiting(waiting.key)
        self.occupy(waiting.key, waiting.class_name, slots, now_s)
        return waiting.key.entry, GrantItem(waiting.key.number, slots.name)
