"""Choice of the endpoint that runs a request."""

from random import Random

from cyclamenscale.requests.occupancy import Occupancy
from cyclamenscale.requests.queues import (
    ClassQueue,
    EndpointSlots,
    WaitingRequest,
)
from cyclamenscale.requests.runtimes import Quantiles, RunTimeEstimator
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock

#: Trunk reservation: a long request that is not starved starts only while
#: more than this share of the pool's slots is free, so that long requests at
#: the start of a burst don't occupy slots throughout it. See
#: docs/decisions/002-slots-of-a-pool.md.
LONG_RESERVE_SHARE = 0.4
#: The reservation no longer applies to a request that has waited for this
#: share of its slack.
RESERVE_SLACK_SHARE = 0.25
#: To run in its entry's data centre, a request may overtake the head of the
#: queue if its deadline is at most this much later.
LOCAL_EXTRA_SLACK_S = 0.02
#: How many requests of a queue may overtake the head.
LOCAL_CANDIDATES_LIMIT = 16
#: Latency between data centres. The deployments have 0.5 and 1.5 ms.
CROSS_CENTRE_LATENCY_MS = 1.0


class EndpointChoice(Occupancy):
    """Choice among the free slots of a pool.

    :param settings: settings of the entry.
    :param clock: monotonic seconds.
    :param rng: breaks ties between endpoints.
    :param runtimes: run time estimates.
    :param choice: ``spread`` or ``two_choices``.
    :param cross_centre_latency_ms: latency between data centres, in
        milliseconds.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        rng: Random,
        runtimes: RunTimeEstimator,
        choice: str,
        cross_centre_latency_ms: float,
    ):
        """Initialise with no endpoints and no requests."""
        super().__init__(clock, runtimes)
        self.settings = settings.scheduling
        self.rng = rng
        self.choice = choice
        self.cross_centre_latency_ms = cross_centre_latency_ms
        self.entry_centres: dict[str, str] = {}
        #: When the first request that waits for a slot in its own data
        #: centre may run in another one, None if no request waits.
        self.local_wait_until_s: float | None = None

    def refuse(self, waiting: WaitingRequest, queue: ClassQueue) -> None:
        """Refuse a request, whether it is queued or not."""
        raise NotImplementedError

    def choose(
        self,
        waiting: WaitingRequest,
        queue: ClassQueue,
        long: bool,
        starved: bool,
        now_s: float,
    ) -> tuple[EndpointSlots | None, bool]:
        """Choose an endpoint.

        :returns: the endpoint or None, and whether a request later in the
            queue may find a slot.
        """
        share = self.settings.long_share
        if long and not starved and self.is_reserved(waiting, now_s):
            return None, False
        if long and self.long_used >= max(1, int(share * self.total_slots)):
            return None, False
        free = [
            slots
            for slots in self.spots.values()
            if slots.used < slots.allowed
            and not (
                long and slots.long_used >= max(1, int(share * slots.allowed))
            )
        ]
        if not free:
            return None, False
        eligible = [
            slots for slots in free if slots.name not in waiting.exclude
        ]
        if not eligible:
            if all(
                slots.name in waiting.exclude
                for slots in self.spots.values()
                if slots.allowed
            ):
                self.refuse(waiting, queue)
            return None, True
        centre = self.entry_centres.get(waiting.key.entry, "")
        local = [slots for slots in eligible if slots.data_centre == centre]
        if (
            not local
            and centre
            and self.should_wait_for_local(waiting, queue, centre, now_s)
        ):
            return None, True
        return self.pick(local or eligible), True

    def is_reserved(self, waiting: WaitingRequest, now_s: float) -> bool:
        """Return whether the free slots are reserved for short requests."""
        if self.free_slots > LONG_RESERVE_SHARE * self.total_slots:
            return False
        slack_s = waiting.deadline_s - waiting.arrived_s
        return now_s - waiting.arrived_s < RESERVE_SLACK_SHARE * slack_s

    def should_wait_for_local(
        self,
        waiting: WaitingRequest,
        queue: ClassQueue,
        centre: str,
        now_s: float,
    ) -> bool:
        """Return whether to wait for a slot in the entry's data centre.

        This is worthwhile only while the expected wait is shorter than the
        latency to another data centre.
        """
        busy = sum(
            slots.used
            for slots in self.spots.values()
            if slots.data_centre == centre and slots.allowed
        )
        until_s = waiting.arrived_s + self.cross_centre_latency_ms / 1000
        if until_s <= now_s:
            return False
        if (
            not busy
            or self.quantiles(queue).mean_ms / busy
            >= self.cross_centre_latency_ms
        ):
            return False
        if (
            self.local_wait_until_s is None
            or until_s < self.local_wait_until_s
        ):
            self.local_wait_until_s = until_s
        return True

    def prefer_local(
        self, head: WaitingRequest, queue: ClassQueue, slots: EndpointSlots
    ) -> WaitingRequest:
        """Return the request to run at an endpoint.

        This is the head of the queue, or a request with about the same slack
        from an entry in the endpoint's data centre: while requests queue,
        slots become free one by one and leave no choice of the endpoint.
        """
        centre = slots.data_centre
        if self.entry_centres.get(head.key.entry) == centre:
            return head
        limit_s = head.deadline_s + LOCAL_EXTRA_SLACK_S
        for waiting in queue.most_urgent(LOCAL_CANDIDATES_LIMIT):
            if waiting.deadline_s > limit_s:
                break
            local = self.entry_centres.get(waiting.key.entry) == centre
            if local and slots.name not in waiting.exclude:
                return waiting
        return head

    def pick(self, candidates: list[EndpointSlots]) -> EndpointSlots:
        """Choose one of several endpoints with free slots."""
        if self.choice == "two_choices" and len(candidates) > 2:
            candidates = self.rng.sample(candidates, 2)
        most = max(slots.free for slots in candidates)
        return self.rng.choice(
            [slots for slots in candidates if slots.free == most]
        )

    def quantiles(self, queue: ClassQueue) -> Quantiles:
        """Return the run time quantiles of a queue's class."""
        return self.runtimes.quantiles(queue.name, queue.target_ms)
