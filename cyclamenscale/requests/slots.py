"""Slots of all pools at one entry: threads and messages.

The decisions are made by
:class:`cyclamenscale.requests.slot_client.SlotClient` and
:class:`cyclamenscale.requests.slot_role.SlotRole`; this module lets calling
threads wait for them and sends batches over the peer link. The scheduler of a
pool is the live entry that rendezvous hashing of the pool's name chooses.
"""

from collections.abc import Callable, Iterable
from concurrent.futures import Future
from random import Random
from threading import Event, RLock
from typing import NamedTuple, Protocol

from cyclamenscale.errors import FieldError, NotRunError
from cyclamenscale.members.messages import GrantBatch, GrantItem, SlotBatch
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import ConfigView, Endpoint, RequestClass
from cyclamenscale.requests.runtimes import Quantiles, RunTimeEstimator
from cyclamenscale.requests.slot_client import PoolView, SlotClient
from cyclamenscale.requests.slot_role import SlotRole
from cyclamenscale.requests.slot_wait import wait_for_grant
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock, monotonic
from cyclamenscale.util.rendezvous import choose_node

#: The only policy an entry runs; the others are benchmark baselines.
POLICY = "pool_scheduler"
#: Random first epochs are below this, so they take two bytes on the wire.
FIRST_EPOCH_LIMIT = 32768
#: How often the views of the pools are refreshed.
VIEW_REFRESH_S = 0.1
#: Longest sleep of the loop; limits the delay of a deadline or a fallback.
MAX_SLEEP_S = 0.05
#: Limit of delivery rounds between this entry's client and role in one step.
#: Each round responds to the one before, so more than three indicate a fault.
MAX_ROUNDS = 8


class Slot(NamedTuple):
    """A slot assigned to a request.

    :ivar number: number of the request.
    :ivar pool: name of the pool.
    :ivar endpoint: name of the instance.
    """

    number: int
    pool: str
    endpoint: str


class Link(Protocol):
    """Peer link; handlers may run in a different thread than ``send``."""

    def send(self, name: str, message: NamedTuple) -> bool:
        """Send a message to a peer."""

    def on(self, kind: type, handler: Callable[[NamedTuple], None]) -> None:
        """Call a handler for each message of a type."""

    def alive(self) -> Iterable[str]:
        """Return the names of the entries that sent a heartbeat recently."""


class ConfigSource(Protocol):
    """Provides the applied configuration."""

    view: ConfigView


class SlotBroker:
    """Gets slots for the requests of this entry.

    :param settings: settings of the entry.
    :param config: provides the applied configuration.
    :param usable: returns the usable slots of each endpoint of a pool.
    :param endpoints_of: returns the endpoints of a pool.
    :param link: the peer link.
    :param metrics: counters and gauges.
    :param clock: monotonic clock in seconds.
    :param rng: breaks ties between endpoints.
    :param first_epoch: first epoch; must differ from the epochs that this
        entry used before a restart; random by default.
    :raises FieldError: if the settings name another policy.
    """

    def __init__(
        self,
        settings: Settings,
        config: ConfigSource,
        usable: Callable[[str], dict[str, int]],
        endpoints_of: Callable[[str], list[Endpoint]],
        link: Link,
        metrics: Metrics,
        clock: Clock = monotonic,
        rng: Random | None = None,
        first_epoch: int | None = None,
    ):
        """Register the message handlers."""
        if settings.scheduling.policy != POLICY:
            raise FieldError(
                "scheduling.policy", settings.scheduling.policy, POLICY
            )
        self.settings = settings
        self.name = settings.entry.name
        self.config = config
        self.usable = usable
        self.endpoints_of = endpoints_of
        self.link = link
        self.metrics = metrics
        self.clock = clock
        self.rng = rng or Random()
        if first_epoch is None:
            first_epoch = self.rng.randrange(1, FIRST_EPOCH_LIMIT)
        self.first_epoch = first_epoch
        self.runtimes = RunTimeEstimator(settings, clock)
        # Guards last_number, clients, roles, views, futures, refreshed_s and
        # the objects that they contain.
        self.lock = RLock()
        self.last_number = 0
        self.clients: dict[str, SlotClient] = {}
        self.roles: dict[str, SlotRole] = {}
        self.views: dict[str, PoolView] = {}
        self.futures: dict[int, Future] = {}
        self.refreshed_s = float("-inf")
        self.flushed_s = float("-inf")
        self.wake = Event()
        link.on(SlotBatch, self.handle_slot_batch)
        link.on(GrantBatch, self.handle_grant_batch)

    # Calling threads.

    def acquire(
        self,
        request_class: RequestClass,
        slack_ms: int,
        exclude: frozenset[str] = frozenset(),
        is_disconnected: Callable[[], bool] = lambda: False,
    ) -> Slot:
        """Wait for a slot.

        :param request_class: class of the request.
        :param slack_ms: time remaining until its deadline, in milliseconds.
        :param exclude: endpoints that must not run it.
        :param is_disconnected: returns whether the caller has disconnected.
        :returns: the slot, to be passed to :meth:`release`.
        :raises NotRunError: if the request is refused, its deadline has
            passed, or the caller has disconnected.
        """
        pool = request_class.pool
        number, future = self.submit(request_class, slack_ms, exclude)
        grant, disconnected = wait_for_grant(
            future, slack_ms / 1000, is_disconnected
        )
        if grant is None:
            grant = self.withdraw(number, pool, future)
        else:
            with self.lock:
                self.futures.pop(number, None)
        if grant is None and disconnected:
            self.metrics.incr("slots.callers_gone")
            raise NotRunError("caller_gone", "the caller has hung up")
        if grant is None:
            self.metrics.incr("slots.deadline_passed")
            raise NotRunError(
                "deadline",
                f"no slot of pool {pool} became free within {slack_ms} ms",
                self.retry_after_s(pool, request_class.name),
            )
        if not grant.endpoint:
            self.metrics.incr("slots.refused")
            raise NotRunError(
                "overloaded",
                f"pool {pool} cannot finish a request of class "
                f"{request_class.name} within {slack_ms} ms",
                grant.retry_after_ms / 1000,
            )
        self.metrics.incr("slots.granted")
        return Slot(number, pool, grant.endpoint)

    def submit(
        self,
        request_class: RequestClass,
        slack_ms: int,
        exclude: frozenset[str] = frozenset(),
    ) -> tuple[int, Future]:
        """Queue a request without waiting for the decision.

        :returns: the number of the request, and the future of its
            :class:`cyclamenscale.members.messages.GrantItem`.
        """
        future: Future = Future()
        with self.lock:
            self.last_number += 1
            number = self.last_number
            self.futures[number] = future
            self.client(request_class.pool).request_slot(
                number, request_class.name, slack_ms, exclude
            )
        self.wake.set()
        return number, future

    def withdraw(
        self, number: int, pool: str, future: Future
    ) -> GrantItem | None:
        """Cancel a queued request.

        :returns: the decision if it was made before, else None.
        """
        with self.lock:
            self.futures.pop(number, None)
            if future.done():
                return future.result()
            self.client(pool).cancel(number)
        self.wake.set()
        return None

    def release(self, slot: Slot, run_ms: int, complete: bool) -> None:
        """Release a slot.

        :param slot: slot that :meth:`acquire` returned.
        :param run_ms: run time of the request, 0 if it was not sent.
        :param complete: whether a complete response was received.
        """
        with self.lock:
            client = self.client(slot.pool)
            client.release(slot.number, run_ms, complete)
            self.deliver_decisions(client)
        self.wake.set()

    def retry_after_s(self, pool: str, class_name: str) -> float:
        """Return the estimated time to drain the requests waiting here.

        The estimate assumes that the live entries share the slots evenly.
        """
        with self.lock:
            view = self.views.get(pool)
            waiting = len(self.client(pool).waiting) + 1
            slots = sum(view.allowed.values()) if view else 0
            if not slots:
                return 1.0
            target_ms = view.targets.get(class_name, 1000)
            mean_ms = self.runtimes.quantiles(class_name, target_ms).mean_ms
        drain_ms = waiting * mean_ms * len(view.alive) / slots
        return min(max(drain_ms / 1000, 0.1), 60.0)

    def run_times(self, request_class: RequestClass) -> Quantiles:
        """Return the run time estimates of a class."""
        with self.lock:
            return self.runtimes.quantiles(
                request_class.name, request_class.finish_within_ms
            )

    # Message handlers.

    def handle_slot_batch(self, batch: SlotBatch) -> None:
        """Process a batch that an entry sent to the scheduler role."""
        with self.lock:
            if batch.pool not in self.config.view.pools:
                self.metrics.incr("slots.unknown_pool")
                return
            self.role(batch.pool).handle_batch(batch)
        self.wake.set()

    def handle_grant_batch(self, batch: GrantBatch) -> None:
        """Process a batch that a scheduler sent."""
        with self.lock:
            client = self.clients.get(batch.pool)
            if client is None:
                self.metrics.incr("slots.stale_grants", len(batch.grants))
                return
            client.handle_grants(batch)
            self.deliver_decisions(client)
        self.wake.set()

    # Component loop.

    def run(self, stop: Event) -> None:
        """Send batches until stopped.

        A batch is sent at once if none was sent within ``peers.batch_ms``,
        and otherwise that long after the last one, so batches are delayed
        only under load.

        :param stop: set to end the loop; requests that still wait are
            refused.
        """
        batch_s = self.settings.peers.batch_ms / 1000
        while not stop.is_set():
            wait_s = self.step()
            if self.wake.wait(timeout=wait_s):
                since_flush_s = self.clock() - self.flushed_s
                if since_flush_s < batch_s:
                    stop.wait(batch_s - since_flush_s)
            self.wake.clear()
        self.refuse_all()

    def step(self) -> float:
        """Run one iteration of the loop.

        :returns: seconds after which it must be called again.
        """
        wait_s = MAX_SLEEP_S
        with self.lock:
            self.refresh_views()
            outgoing = []
            for client in self.clients.values():
                client.tick()
                self.deliver_decisions(client)
                outgoing += client.final_batches
                client.final_batches = []
            for pool in self.clients.keys() | self.roles.keys():
                outgoing += self.exchange(pool)
            for client in self.clients.values():
                wait_s = min(wait_s, max(0.0, client.send_due_in_s()))
            for role in self.roles.values():
                until_s = role.scheduler.local_wait_until_s
                if until_s is not None:
                    wait_s = min(wait_s, max(0.0, until_s - self.clock()))
            self.flushed_s = self.clock()
        for name, content in outgoing:
            if not self.link.send(name, content):
                self.metrics.incr("slots.unsent")
        return wait_s

    def exchange(self, pool: str) -> list[tuple[str, NamedTuple]]:
        """Run one pool's client and role until neither has a batch (locked).

        :returns: messages for other entries.
        """
        outgoing = []
        client = self.clients.get(pool)
        for _ in range(MAX_ROUNDS):
            messages = []
            batch = client.next_batch() if client else None
            if batch is not None:
                messages.append((client.scheduler, batch))
            if pool in self.roles:
                messages += self.roles[pool].next_batches()
            if not messages:
                break
            for name, content in messages:
                if name != self.name:
                    outgoing.append((name, content))
                elif isinstance(content, SlotBatch):
                    self.role(pool).handle_batch(content)
                elif client:
                    client.handle_grants(content)
                    self.deliver_decisions(client)
        else:
            self.metrics.incr("slots.rounds_limit")
        return outgoing

    def refuse_all(self) -> None:
        """Refuse the requests that still wait when the process ends."""
        with self.lock:
            for client in self.clients.values():
                for number in list(client.waiting):
                    client.cancel(number)
                    future = self.futures.get(number)
                    if future is not None and not future.done():
                        future.set_result(GrantItem(number, "", 1000))

    # Views (locked).

    def refresh_views(self) -> None:
        """Refresh the views of all pools if they are too old."""
        now_s = self.clock()
        if now_s - self.refreshed_s < VIEW_REFRESH_S:
            return
        self.refreshed_s = now_s
        alive = frozenset(self.link.alive()) | {self.name}
        for pool in self.clients.keys() | self.roles.keys():
            self.refresh_pool(pool, alive)

    def refresh_pool(self, pool: str, alive: frozenset[str]) -> None:
        """Refresh a pool's view and pass it to its client and role."""
        config = self.config.view
        centres = {
            member.name: member.data_centre
            for member in config.members.members
        }
        centres[self.name] = self.settings.entry.data_centre
        targets = {
            one.name: float(one.finish_within_ms)
            for one in config.classes.values()
            if one.pool == pool
        }
        view = PoolView(
            self.endpoints_of(pool),
            self.usable(pool),
            targets,
            centres,
            alive,
        )
        self.views[pool] = view
        if pool in self.clients:
            client = self.clients[pool]
            client.update(view, choose_node(pool, alive))
            for name, count in client.counts.items():
                self.metrics.incr(f"slots.{name}", count)
            client.counts.clear()
        if pool in self.roles:
            role = self.roles[pool]
            role.update(view)
            role.request_missing_resets()
            waiting = len(role.scheduler.waiting_classes)
            self.metrics.gauge(f"slots.waiting.{pool}", waiting)

    def client(self, pool: str) -> SlotClient:
        """Return the slot client of a pool, created on first use."""
        if pool not in self.clients:
            self.clients[pool] = SlotClient(
                self.settings,
                pool,
                self.clock,
                self.rng,
                self.runtimes,
                self.first_epoch,
            )
            self.refresh_pool(pool, frozenset(self.link.alive()) | {self.name})
        return self.clients[pool]

    def role(self, pool: str) -> SlotRole:
        """Return the scheduler role of a pool, created on first use."""
        if pool not in self.roles:
            self.roles[pool] = SlotRole(
                self.settings, pool, self.clock, self.rng, self.runtimes
            )
            self.refresh_pool(pool, frozenset(self.link.alive()) | {self.name})
        return self.roles[pool]

    def deliver_decisions(self, client: SlotClient) -> None:
        """Resolve the futures of decided requests."""
        for grant in client.take_decisions():
            future = self.futures.get(grant.number)
            if future is not None:
                future.set_result(grant)
