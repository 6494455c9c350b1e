"""Which endpoint of a pool runs a request."""

from random import Random

from cyclamenscale.requests.occupancy import Occupancy
from cyclamenscale.requests.queues import ClassQueue, Spot, WaitingRequest
from cyclamenscale.requests.runtimes import Quantiles, RunTimeEstimator
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock

#: Trunk reservation: long work that is not starved starts only while more
#: than this share of the pool's slots is free, so that long work that came
#: with the first requests of a burst does not hold slots throughout it.
#: Measured in docs/decisions/002-slots-of-a-pool.md.
LONG_RESERVE = 0.4
#: The reservation no longer holds for a request that has waited for this
#: share of its slack.
RESERVE_SLACK_SHARE = 0.25
#: How much more slack than the head a request may have to run in its own
#: data centre instead, and how many are looked at.
NEAR_S = 0.02
NEAR_LOOK = 16
#: Latency between data centres: the deployments have 0.5 and 1.5 ms.
TRIP_MS = 1.0


class EndpointChoice(Occupancy):
    """Choice among the free slots of a pool.

    :param settings: the whole settings.
    :param clock: monotonic seconds.
    :param rng: breaks ties between endpoints.
    :param runtimes: learned run times.
    :param choice: ``spread`` or ``two_choices``.
    :param trip_ms: latency between data centres.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        rng: Random,
        runtimes: RunTimeEstimator,
        choice: str,
        trip_ms: float,
    ):
        """Start without endpoints and requests."""
        super().__init__(clock, runtimes)
        self.settings = settings.scheduling
        self.rng = rng
        self.choice = choice
        self.trip_ms = trip_ms
        self.centres: dict[str, str] = {}
        #: When a request held back for its data centre may go elsewhere.
        self.held_until_s: float | None = None

    def refuse(self, waiting: WaitingRequest, queue: ClassQueue) -> None:
        """Refuse a request, waiting or not."""
        raise NotImplementedError

    def choose(
        self,
        waiting: WaitingRequest,
        queue: ClassQueue,
        long: bool,
        starved: bool,
        now_s: float,
    ) -> tuple[Spot | None, bool]:
        """Choose an endpoint.

        :returns: the endpoint or None, and whether a request behind this
            one may find a slot.
        """
        share = self.settings.long_share
        if long and not starved and self.reserved(waiting, now_s):
            return None, False
        if long and self.long_used >= max(1, int(share * self.total_slots)):
            return None, False
        free = [
            spot
            for spot in self.spots.values()
            if spot.used < spot.allowed
            and not (
                long and spot.long_used >= max(1, int(share * spot.allowed))
            )
        ]
        if not free:
            return None, False
        fit = [spot for spot in free if spot.name not in waiting.exclude]
        if not fit:
            if all(
                spot.name in waiting.exclude
                for spot in self.spots.values()
                if spot.allowed
            ):
                self.refuse(waiting, queue)
            return None, True
        centre = self.centres.get(waiting.key.entry, "")
        near = [spot for spot in fit if spot.data_centre == centre]
        if not near and centre and self.hold(waiting, queue, centre, now_s):
            return None, True
        return self.pick(near or fit), True

    def reserved(self, waiting: WaitingRequest, now_s: float) -> bool:
        """Return whether the free slots are kept from a long request."""
        if self.free_slots > LONG_RESERVE * self.total_slots:
            return False
        slack_s = waiting.deadline_s - waiting.since_s
        return now_s - waiting.since_s < RESERVE_SLACK_SHARE * slack_s

    def hold(
        self,
        waiting: WaitingRequest,
        queue: ClassQueue,
        centre: str,
        now_s: float,
    ) -> bool:
        """Return whether to wait for a slot in the entry's data centre.

        It is worth it only while the expected wait is below the trip to
        another data centre.
        """
        busy = sum(
            spot.used
            for spot in self.spots.values()
            if spot.data_centre == centre and spot.allowed
        )
        until_s = waiting.since_s + self.trip_ms / 1000
        if until_s <= now_s:
            return False
        if not busy or self.quantiles(queue).mean_ms / busy >= self.trip_ms:
            return False
        if self.held_until_s is None or until_s < self.held_until_s:
            self.held_until_s = until_s
        return True

    def nearer(
        self, head: WaitingRequest, queue: ClassQueue, spot: Spot
    ) -> WaitingRequest:
        """Return the request to run at an endpoint.

        It is the head of the queue, or one with about the same slack from
        an entry in the endpoint's data centre: while requests queue, slots
        become free one by one and leave no choice of the endpoint.
        """
        centre = spot.data_centre
        if self.centres.get(head.key.entry) == centre:
            return head
        limit_s = head.deadline_s + NEAR_S
        for waiting in queue.most_urgent(NEAR_LOOK):
            if waiting.deadline_s > limit_s:
                break
            near = self.centres.get(waiting.key.entry) == centre
            if near and spot.name not in waiting.exclude:
                return waiting
        return head

    def pick(self, spots: list[Spot]) -> Spot:
        """Choose among endpoints with a free slot."""
        if self.choice == "two_choices" and len(spots) > 2:
            spots = self.rng.sample(spots, 2)
        most = max(spot.free for spot in spots)
        return self.rng.choice([spot for spot in spots if spot.free == most])

    def quantiles(self, queue: ClassQueue) -> Quantiles:
        """Return the run time estimates of a queue's class."""
        return self.runtimes.quantiles(queue.name, queue.target_ms)
