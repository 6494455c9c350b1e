"""Entry's side of the slot protocol of one pool; no threads, no I/O.

The entry is authoritative for its waiting and running requests; the pool's
scheduler has a copy. Each reset starts a new epoch and sends the complete
state. Grants of an older epoch are ignored, because the reset reported their
requests as still waiting, so no slot is used that no scheduler counts.
"""

from random import Random
from typing import NamedTuple

from cyclamenscale.members.messages import (
    GrantBatch,
    GrantItem,
    SlotBatch,
    SlotInUseItem,
    SlotReleaseItem,
    SlotRequestItem,
)
from cyclamenscale.model import Endpoint
from cyclamenscale.requests.queues import (
    ClassQueue,
    RequestKey,
    WaitingRequest,
)
from cyclamenscale.requests.runtimes import RunTimeEstimator
from cyclamenscale.requests.scheduling import PoolScheduler
from cyclamenscale.requests.slot_handover import (
    SlotHandover,
    SlotInUse,
    SlotRequest,
)
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock

#: An entry with waiting requests that has neither sent a request nor received
#: a batch for this share of ``fallback_s`` probes the scheduler.
PROBE_SHARE = 0.5


class PoolView(NamedTuple):
    """A pool's configuration and state as an entry sees it.

    :ivar endpoints: endpoints of the pool.
    :ivar allowed: usable slots by endpoint.
    :ivar targets: target in milliseconds by class.
    :ivar centres: data centre by entry.
    :ivar alive: entries that sent a heartbeat recently, and this one.
    """

    endpoints: list[Endpoint]
    allowed: dict[str, int]
    targets: dict[str, float]
    centres: dict[str, str]
    alive: frozenset[str]


class SlotClient(SlotHandover):
    """Requests of one entry in one pool.

    :param settings: settings of the entry.
    :param pool: name of the pool.
    :param clock: monotonic clock in seconds.
    :param rng: chooses endpoints in fallback.
    :param runtimes: the entry's run time estimates.
    :param first_epoch: first epoch; must differ from the epochs that this
        entry used before a restart. Epochs are compared for equality only:
        a late message of an older epoch leads to another reset.
    """

    def __init__(
        self,
        settings: Settings,
        pool: str,
        clock: Clock,
        rng: Random,
        runtimes: RunTimeEstimator,
        first_epoch: int = 1,
    ):
        """Initialise with no scheduler and no requests."""
        super().__init__(settings.entry.name, clock)
        self.settings = settings
        self.pool = pool
        self.rng = rng
        self.runtimes = runtimes
        self.view = PoolView([], {}, {}, {}, frozenset((self.name,)))
        self.epoch = first_epoch
        self.sequence = 0
        self.received_sequence = 0
        self.reset_pending = False
        #: When a response was last requested or received.
        self.last_contact_s = clock()
        #: Since when a response is outstanding, None if none is.
        self.awaiting_since_s: float | None = None
        self.local_scheduler: PoolScheduler | None = None
        #: Decisions not yet returned by ``take_decisions``.
        self.decisions: list[GrantItem] = []
        self.final_batches: list[tuple[str, SlotBatch]] = []

    # Requests.

    def request_slot(
        self,
        number: int,
        class_name: str,
        slack_ms: int,
        exclude: frozenset[str] = frozenset(),
    ) -> None:
        """Queue a request."""
        deadline_s = self.clock() + slack_ms / 1000
        request = SlotRequest(class_name, deadline_s, tuple(sorted(exclude)))
        self.waiting[number] = request
        item = self.make_request_item(number, request)
        if class_name not in self.queues:
            self.queues = {k: q for k, q in self.queues.items() if q.requests}
            self.queues[class_name] = ClassQueue(class_name, slack_ms)
        self.queues[class_name].push(
            WaitingRequest(RequestKey(self.name, number), item, self.clock())
        )
        if self.local_scheduler:
            self.local_scheduler.add(self.name, 0, item)
        elif not self.reset_pending and not self.reuse_freed_slot(
            number, request
        ):
            self.unsent_requests[number] = None
            # A request ahead of all that wait must be sent without delay.
            urgent = deadline_s <= self.head_deadline_s
            self.schedule_send(urgent or not self.urgent_work_queued())

    def cancel(self, number: int) -> None:
        """Cancel a waiting request."""
        if self.remove_waiting(number) is None:
            return
        if self.local_scheduler:
            self.local_scheduler.cancel(self.name, number)
        elif number in self.unsent_requests:
            del self.unsent_requests[number]
        elif not self.reset_pending:
            self.unsent_cancellations.append(number)
            self.schedule_send(False)

    def release(self, number: int, run_ms: int, complete: bool) -> None:
        """Release the slot of a request, or hand it over to another one."""
        slot = self.running.pop(number, None)
        if slot is None:
            return
        if complete:
            self.runtimes.record(slot.class_name, run_ms)
        item = SlotReleaseItem(number, run_ms, complete)
        if self.local_scheduler:
            self.local_scheduler.finish(self.name, item, learn=False)
        elif not self.reset_pending:
            successor = self.find_successor(slot.class_name, slot.endpoint)
            if successor:
                self.hand_over(successor, slot.endpoint)
            self.unsent_releases.append(item._replace(successor=successor))
            self.schedule_send(not successor and not self.has_spare_slots())
            if not successor and slot.class_name == self.most_urgent_class:
                self.reusable_endpoints[number] = slot.endpoint

    # Scheduler.

    def update(self, view: PoolView, scheduler: str) -> None:
        """Apply a view of the pool and the scheduler that follows from it."""
        self.view = view
        self.most_urgent_class = min(
            view.targets, key=view.targets.get, default=""
        )
        # Handovers would keep slots in use at an endpoint whose usable slots
        # were reduced.
        self.fully_allowed = {
            one.name
            for one in view.endpoints
            if view.allowed.get(one.name, 0) >= one.slots
        }
        if self.local_scheduler:
            self.update_local_scheduler()
        if scheduler == self.scheduler:
            return
        if self.scheduler in view.alive:
            # The old scheduler then frees this entry's slots at once.
            final_batch = SlotBatch(
                self.name, self.pool, self.epoch, True, [], [], [], [], 1
            )
            self.final_batches.append((self.scheduler, final_batch))
        first = not self.scheduler
        self.scheduler = scheduler
        if not first or self.waiting or self.running:
            self.count("scheduler_changes")
        self.start_epoch()

    def start_epoch(self) -> None:
        """Start a new epoch, whose first batch has the complete state."""
        self.epoch += 1
        self.sequence = 0
        self.received_sequence = 0
        self.reset_pending = True
        self.awaiting_since_s = None
        self.local_scheduler = None
        self.unsent_requests.clear()
        self.unsent_releases.clear()
        self.unsent_cancellations.clear()
        self.head_reported_s = self.spare_reported_s = float("-inf")
        self.handed_over.clear()
        self.reusable_endpoints.clear()
        self.count("resets")

    def handle_grants(self, batch: GrantBatch) -> None:
        """Process a scheduler's batch.

        :param batch: the batch; grants of another scheduler or of an older
            epoch are ignored.
        """
        if batch.sender != self.scheduler:
            self.count("stale_grants", len(batch.grants))
            return
        if batch.epoch == 0:
            # The sequence field has the epoch for which a reset is requested.
            if batch.sequence == self.epoch and not self.reset_pending:
                self.start_epoch()
            return
        if batch.epoch != self.epoch or self.reset_pending:
            self.count("stale_grants", len(batch.grants))
            return
        self.awaiting_since_s = None
        self.last_contact_s = self.clock()
        if (
            self.local_scheduler
            or batch.sequence != self.received_sequence + 1
        ):
            self.start_epoch()
            return
        self.received_sequence = batch.sequence
        self.head_reported_s = self.spare_reported_s = float("-inf")
        if batch.head_slack_ms == -2:
            self.spare_reported_s = self.clock()
        if batch.head_slack_ms >= 0:
            self.head_reported_s = self.clock()
            self.head_deadline_s = (
                self.head_reported_s + batch.head_slack_ms / 1000
            )
        for grant in batch.grants:
            self.apply_grant(grant)

    def apply_grant(self, grant: GrantItem) -> None:
        """Apply a grant or a refusal."""
        request = self.remove_waiting(grant.number)
        if request is None:
            if grant.endpoint:
                self.reassign_grant(grant)
            return
        if grant.endpoint:
            self.running[grant.number] = SlotInUse(
                request.class_name, grant.endpoint, self.clock()
            )
        self.decisions.append(grant)

    def tick(self) -> None:
        """Fall back if the scheduler is silent, and grant locally if so."""
        if self.local_scheduler is None and self.awaiting_since_s is not None:
            silent_s = self.clock() - self.awaiting_since_s
            if silent_s > self.settings.scheduling.fallback_s:
                self.fall_back()
        if self.local_scheduler:
            for _, grant in self.local_scheduler.assign_slots():
                self.apply_grant(grant)

    def take_decisions(self) -> list[GrantItem]:
        """Return the decisions since the last call, and clear them."""
        decisions, self.decisions = self.decisions, []
        return decisions

    def due(self) -> bool:
        """Return whether a batch is to be sent now."""
        if not self.scheduler:
            return False
        if self.local_scheduler is None and (
            self.reset_pending
            or self.unsent_requests
            or self.unsent_releases
            or self.unsent_cancellations
        ):
            return self.reset_pending or self.send_due_in_s() <= 0
        fallback_s = self.settings.scheduling.fallback_s
        silent_s = self.clock() - self.last_contact_s
        if self.local_scheduler:
            return silent_s >= fallback_s
        return bool(self.waiting) and silent_s >= PROBE_SHARE * fallback_s

    def next_batch(self) -> SlotBatch | None:
        """Return the next batch for the scheduler, or None if none is due."""
        if not self.due():
            return None
        now_s = self.clock()
        full = self.reset_pending or self.local_scheduler is not None
        numbers = list(self.unsent_requests)
        in_use = []
        if full:
            # In fallback no waiting requests are sent: the batch only probes
            # for a response.
            numbers = [] if self.local_scheduler else list(self.waiting)
            in_use = [
                SlotInUseItem(
                    number,
                    slot.class_name,
                    slot.endpoint,
                    max(0, round((now_s - slot.started_s) * 1000)),
                )
                for number, slot in self.running.items()
            ]
        requests = [
            self.make_request_item(one, self.waiting[one]) for one in numbers
        ]
        self.sequence += 1
        batch = SlotBatch(
            self.name,
            self.pool,
            self.epoch,
            full,
            requests,
            self.unsent_releases,
            self.unsent_cancellations,
            in_use,
            self.sequence,
        )
        if (
            batch.reset
            or requests
            or not (self.unsent_releases or self.unsent_cancellations)
        ):
            self.last_contact_s = now_s
            if self.awaiting_since_s is None:
                self.awaiting_since_s = now_s
        self.reset_pending = False
        self.delayed_since_s = None
        self.reusable_endpoints.clear()
        self.unsent_requests = {}
        self.unsent_releases = []
        self.unsent_cancellations = []
        return batch

    # Fallback.

    def fall_back(self) -> None:
        """Schedule locally, by two choices, on this entry's share of slots."""
        self.count("fallbacks")
        self.unsent_requests.clear()
        self.unsent_releases.clear()
        self.unsent_cancellations.clear()
        self.reset_pending = False
        self.local_scheduler = PoolScheduler(
            self.settings,
            self.clock,
            self.rng,
            self.runtimes,
            choice="two_choices",
        )
        self.update_local_scheduler()
        now_s = self.clock()
        requests = [
            self.make_request_item(one, request)
            for one, request in self.waiting.items()
        ]
        in_use = [
            SlotInUseItem(
                number,
                slot.class_name,
                slot.endpoint,
                round((now_s - slot.started_s) * 1000),
            )
            for number, slot in self.running.items()
        ]
        self.local_scheduler.reset(self.name, 0, requests, in_use)

    def update_local_scheduler(self) -> None:
        """Give the local scheduler this entry's share of each endpoint.

        The entries' shares of an endpoint add up to its slots; if it has
        fewer slots than there are entries, each entry uses one.
        """
        entries = sorted(self.view.alive | {self.name})
        position = entries.index(self.name)
        allowed = {}
        for index, (name, slots) in enumerate(
            sorted(self.view.allowed.items())
        ):
            share, rest = divmod(slots, len(entries))
            extra = (position + index) % len(entries) < rest
            allowed[name] = max(1, share + extra) if slots else 0
        self.local_scheduler.update_classes(self.view.targets)
        self.local_scheduler.update_endpoints(self.view.endpoints, allowed)

    # Internal methods.

    def make_request_item(
        self, number: int, request: SlotRequest
    ) -> SlotRequestItem:
        """Return the message item of a waiting request."""
        slack_ms = round((request.deadline_s - self.clock()) * 1000)
        return SlotRequestItem(
            number, request.class_name, max(0, slack_ms), request.exclude
        )
