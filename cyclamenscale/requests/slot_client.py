"""The entry's side of one pool's slots, without threads and I/O.

Waiting and running requests are known here first; the pool's scheduler has
a copy. Each reset starts a new epoch and sends the whole truth. Grants of
an older epoch are ignored, because the reset has told the scheduler that
their requests still wait, so no slot is used that no scheduler counts.
"""

from random import Random
from typing import NamedTuple

from cyclamenscale.members.messages import (
    DoneItem,
    GrantBatch,
    GrantItem,
    HoldingItem,
    SlotBatch,
    WantItem,
)
from cyclamenscale.model import Endpoint
from cyclamenscale.requests.queues import (
    ClassQueue,
    RequestKey,
    WaitingRequest,
)
from cyclamenscale.requests.runtimes import RunTimeEstimator
from cyclamenscale.requests.scheduling import PoolScheduler
from cyclamenscale.requests.slot_handover import Ask, HandOver, Hold
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock

#: Share of ``fallback_s`` after which an entry whose requests wait, and that
#: neither asked nor heard anything, asks whether the scheduler is there.
ASK_SHARE = 0.5


class PoolView(NamedTuple):
    """What an entry sees of a pool.

    :ivar endpoints: its endpoints.
    :ivar allowed: usable slots by endpoint.
    :ivar targets: target in milliseconds by class.
    :ivar centres: data centre by entry.
    :ivar alive: entries heard from, this one included.
    """

    endpoints: list[Endpoint]
    allowed: dict[str, int]
    targets: dict[str, float]
    centres: dict[str, str]
    alive: frozenset[str]


class SlotClient(HandOver):
    """Requests of one entry in one pool.

    :param settings: the whole settings.
    :param pool: the pool.
    :param clock: monotonic seconds.
    :param rng: chooses endpoints in fallback.
    :param runtimes: the entry's learned run times.
    :param first_epoch: differs from those this entry used before a
        restart. Epochs are compared for equality only: a late message of
        an older epoch leads to another reset.
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
        """Start without a scheduler."""
        super().__init__(settings.entry.name, clock)
        self.settings = settings
        self.pool = pool
        self.rng = rng
        self.runtimes = runtimes
        self.view = PoolView([], {}, {}, {}, frozenset((self.name,)))
        self.epoch = first_epoch
        self.sequence = 0
        self.heard = 0
        self.resend = False
        #: When an answer was last asked for or heard.
        self.quiet_s = clock()
        #: Since when an answer is missing, None if there is none missing.
        self.asked_s: float | None = None
        self.local: PoolScheduler | None = None
        #: Decisions the caller has not taken yet.
        self.decided: list[GrantItem] = []
        self.farewells: list[tuple[str, SlotBatch]] = []

    # Requests.

    def want(
        self,
        number: int,
        class_name: str,
        slack_ms: int,
        exclude: frozenset[str] = frozenset(),
    ) -> None:
        """Queue a request."""
        deadline_s = self.clock() + slack_ms / 1000
        ask = Ask(class_name, deadline_s, tuple(sorted(exclude)))
        self.waiting[number] = ask
        item = self.want_item(number, ask)
        if class_name not in self.queues:
            self.queues = {k: q for k, q in self.queues.items() if q.requests}
            self.queues[class_name] = ClassQueue(class_name, slack_ms)
        self.queues[class_name].push(
            WaitingRequest(RequestKey(self.name, number), item, self.clock())
        )
        if self.local:
            self.local.add(self.name, 0, item)
        elif not self.resend and not self.reuse(number, ask):
            self.wants[number] = None
            # A request that is ahead of all that wait must not be held.
            ahead = deadline_s <= self.head_deadline_s
            self.hold(ahead or not self.pressed())

    def cancel(self, number: int) -> None:
        """Give up a waiting request."""
        if self.drop(number) is None:
            return
        if self.local:
            self.local.cancel(self.name, number)
        elif number in self.wants:
            del self.wants[number]
        elif not self.resend:
            self.cancelled.append(number)
            self.hold(False)

    def release(self, number: int, run_ms: int, whole: bool) -> None:
        """Give a slot back."""
        hold = self.running.pop(number, None)
        if hold is None:
            return
        if whole:
            self.runtimes.record(hold.class_name, run_ms)
        item = DoneItem(number, run_ms, whole)
        if self.local:
            self.local.finish(self.name, item, learn=False)
        elif not self.resend:
            heir = self.heir(hold.class_name, hold.endpoint)
            if heir:
                self.hand_over(heir, hold.endpoint)
            self.done.append(item._replace(next=heir))
            self.hold(not heir and not self.ample())
            if not heir and hold.class_name == self.urgent:
                self.freed[number] = hold.endpoint

    # Scheduler.

    def update(self, view: PoolView, scheduler: str) -> None:
        """Take over a view of the pool and the scheduler it implies."""
        self.view = view
        self.urgent = min(view.targets, key=view.targets.get, default="")
        # An endpoint whose slots are reduced must not keep all of them.
        self.whole = {
            one.name
            for one in view.endpoints
            if view.allowed.get(one.name, 0) >= one.slots
        }
        if self.local:
            self.update_local()
        if scheduler == self.scheduler:
            return
        if self.scheduler in view.alive:
            # It frees its copy at once instead of keeping slots in use.
            leave = SlotBatch(
                self.name, self.pool, self.epoch, True, [], [], [], [], 1
            )
            self.farewells.append((self.scheduler, leave))
        first = not self.scheduler
        self.scheduler = scheduler
        if not first or self.waiting or self.running:
            self.count("scheduler_changes")
        self.renew()

    def renew(self) -> None:
        """Start a new epoch: the next batch tells everything."""
        self.epoch += 1
        self.sequence = 0
        self.heard = 0
        self.resend = True
        self.asked_s = None
        self.local = None
        self.wants.clear()
        self.done.clear()
        self.cancelled.clear()
        self.head_s = self.ample_s = float("-inf")
        self.handed.clear()
        self.freed.clear()
        self.count("resets")

    def take(self, batch: GrantBatch) -> None:
        """Take over what a scheduler sent.

        :param batch: its grants; those of another scheduler or of an older
            epoch are ignored.
        """
        if batch.sender != self.scheduler:
            self.count("stale_grants", len(batch.grants))
            return
        if batch.epoch == 0:
            # The sequence names the epoch that the scheduler misses.
            if batch.sequence == self.epoch and not self.resend:
                self.renew()
            return
        if batch.epoch != self.epoch or self.resend:
            self.count("stale_grants", len(batch.grants))
            return
        self.asked_s = None
        self.quiet_s = self.clock()
        if self.local or batch.sequence != self.heard + 1:
            self.renew()
            return
        self.heard = batch.sequence
        self.head_s = self.ample_s = float("-inf")
        if batch.head_ms == -2:
            self.ample_s = self.clock()
        if batch.head_ms >= 0:
            self.head_s = self.clock()
            self.head_deadline_s = self.head_s + batch.head_ms / 1000
        for grant in batch.grants:
            self.decide(grant)

    def decide(self, grant: GrantItem) -> None:
        """Take over one decision."""
        ask = self.drop(grant.number)
        if ask is None:
            if grant.endpoint:
                self.pass_on(grant)
            return
        if grant.endpoint:
            self.running[grant.number] = Hold(
                ask.class_name, grant.endpoint, self.clock()
            )
        self.decided.append(grant)

    def tick(self) -> None:
        """Fall back when no answer comes; grant from the own view then."""
        if self.local is None and self.asked_s is not None:
            silent_s = self.clock() - self.asked_s
            if silent_s > self.settings.scheduling.fallback_s:
                self.fall_back()
        if self.local:
            for _, grant in self.local.assign_slots():
                self.decide(grant)

    def take_decided(self) -> list[GrantItem]:
        """Return the decisions since the last call."""
        decided, self.decided = self.decided, []
        return decided

    def due(self) -> bool:
        """Return whether there is anything to send now."""
        if not self.scheduler:
            return False
        if self.local is None and (
            self.resend or self.wants or self.done or self.cancelled
        ):
            return self.resend or self.due_in_s() <= 0
        fallback_s = self.settings.scheduling.fallback_s
        silent_s = self.clock() - self.quiet_s
        if self.local:
            return silent_s >= fallback_s
        return bool(self.waiting) and silent_s >= ASK_SHARE * fallback_s

    def batch(self) -> SlotBatch | None:
        """Return the next batch for the scheduler, or None."""
        if not self.due():
            return None
        now_s = self.clock()
        whole = self.resend or self.local is not None
        numbers = list(self.wants)
        holding = []
        if whole:
            # In fallback waiting requests are not sent: the probe asks for
            # an answer only.
            numbers = [] if self.local else list(self.waiting)
            holding = [
                HoldingItem(
                    number,
                    hold.class_name,
                    hold.endpoint,
                    max(0, round((now_s - hold.since_s) * 1000)),
                )
                for number, hold in self.running.items()
            ]
        wants = [self.want_item(one, self.waiting[one]) for one in numbers]
        self.sequence += 1
        batch = SlotBatch(
            self.name,
            self.pool,
            self.epoch,
            whole,
            wants,
            self.done,
            self.cancelled,
            holding,
            self.sequence,
        )
        if batch.reset or wants or not (self.done or self.cancelled):
            self.quiet_s = now_s
            if self.asked_s is None:
                self.asked_s = now_s
        self.resend = False
        self.held_s = None
        self.freed.clear()
        self.wants = {}
        self.done = []
        self.cancelled = []
        return batch

    # Fallback.

    def fall_back(self) -> None:
        """Use the own view: two choices, own share of the slots."""
        self.count("fallbacks")
        self.wants.clear()
        self.done.clear()
        self.cancelled.clear()
        self.resend = False
        self.local = PoolScheduler(
            self.settings,
            self.clock,
            self.rng,
            self.runtimes,
            choice="two_choices",
        )
        self.update_local()
        now_s = self.clock()
        wants = [self.want_item(one, ask) for one, ask in self.waiting.items()]
        holding = [
            HoldingItem(
                number,
                hold.class_name,
                hold.endpoint,
                round((now_s - hold.since_s) * 1000),
            )
            for number, hold in self.running.items()
        ]
        self.local.reset(self.name, 0, wants, holding)

    def update_local(self) -> None:
        """Give the local scheduler this entry's share of each endpoint.

        The entries' shares of an endpoint sum up to its slots; where there
        are fewer slots than entries, each entry has one at the endpoint.
        """
        entries = sorted(self.view.alive | {self.name})
        place = entries.index(self.name)
        allowed = {}
        for index, (name, slots) in enumerate(
            sorted(self.view.allowed.items())
        ):
            share, rest = divmod(slots, len(entries))
            more = (place + index) % len(entries) < rest
            allowed[name] = max(1, share + more) if slots else 0
        self.local.update_classes(self.view.targets)
        self.local.update_endpoints(self.view.endpoints, allowed)

    # Parts.

    def want_item(self, number: int, ask: Ask) -> WantItem:
        """Return a request as it is sent."""
        slack_ms = round((ask.deadline_s - self.clock()) * 1000)
        return WantItem(number, ask.class_name, max(0, slack_ms), ask.exclude)
