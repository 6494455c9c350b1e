"""Runs the pool controllers of an entry.

Connects :mod:`cyclamenscale.fleet.control` and
:mod:`cyclamenscale.fleet.controller` with the entry's configuration,
barriers, peers and endpoints.
"""

from threading import Event, Lock

import pycurl

from cyclamenscale.configuration.audit import AuditTrail
from cyclamenscale.configuration.table import ConfigTable
from cyclamenscale.fleet.control import ControlHolder
from cyclamenscale.fleet.controller import PoolController
from cyclamenscale.fleet.ports import Platform, PlatformInstance
from cyclamenscale.members.barriers import Barriers
from cyclamenscale.members.freshness import Freshness
from cyclamenscale.members.messages import InProgressReply, InProgressRequest
from cyclamenscale.members.peers import PeerLink
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import ConfigView
from cyclamenscale.requests.dispatch import Dispatcher
from cyclamenscale.requests.outliers import PoolsHealth
from cyclamenscale.requests.slot_role import SlotRole
from cyclamenscale.requests.slots import SlotBroker
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock
from cyclamenscale.util.curl import new_curl
from cyclamenscale.util.rendezvous import choose

PROBE_TIMEOUT_MS = 1000

#: A question that not every entry has answered is asked again after this.
RESEND_INTERVAL_S = 2.0


class PendingQuery:
    """A question to the peers about requests in progress."""

    def __init__(self, token: int, sent_s: float):
        """Begin without answers."""
        self.token = token
        self.sent_s = sent_s
        self.replies: dict[str, int] = {}


class EntryContext:
    """What the controllers see of this entry.

    :param settings: the whole settings.
    :param table: the applied configuration.
    :param freshness: may this entry decide on it.
    :param barriers: tells what is in force.
    :param link: the peer link.
    :param dispatcher: counts this entry's requests in progress.
    :param health: health of the endpoints.
    :param audit: gets the decisions.
    :param slots: knows the demand of the pools it schedules.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        settings: Settings,
        table: ConfigTable,
        freshness: Freshness,
        barriers: Barriers,
        link: PeerLink,
        dispatcher: Dispatcher,
        health: PoolsHealth,
        audit: AuditTrail,
        slots: SlotBroker,
        clock: Clock,
    ):
        """Register for questions and answers of peers."""
        self.name = settings.entry.name
        self.table = table
        self.freshness = freshness
        self.barriers = barriers
        self.link = link
        self.dispatcher = dispatcher
        self.health = health
        self.audit = audit
        self.slots = slots
        self.clock = clock
        # Guards token, pending_queries.
        self.lock = Lock()
        self.token = 0
        self.pending_queries: dict[str, PendingQuery] = {}
        link.on(InProgressRequest, self.handle_request)
        link.on(InProgressReply, self.handle_reply)

    def view(self) -> ConfigView:
        """Return the applied configuration."""
        return self.table.view

    def revision_of(self, key: str) -> int:
        """Return the applied revision of a configuration key."""
        return self.table.revision_of(key)

    def may_admit(self) -> bool:
        """Return whether the applied configuration is fresh."""
        return self.freshness.may_admit()

    def announce(self, revision: int) -> None:
        """Ask the other entries to acknowledge a revision."""
        self.barriers.poll(revision)

    def in_force(self, revision: int) -> bool:
        """Return whether a revision is in force at every entry."""
        return self.barriers.poll(revision) == "accepted"

    def in_progress(self, instance: str) -> int | None:
        """Return the requests in progress at an instance, at all entries.

        An entry that is not heard is left out: it admits nothing any more,
        and what it has in progress is in the platform's own count.
        """
        peers = set(self.link.alive()) - {self.name}
        now_s = self.clock()
        with self.lock:
            query = self.pending_queries.get(instance)
            if query and peers <= query.replies.keys():
                del self.pending_queries[instance]
                own = self.dispatcher.in_progress_at(instance)
                return own + sum(query.replies.values())
            if query and now_s - query.sent_s < RESEND_INTERVAL_S:
                return None
            self.token += 1
            self.pending_queries[instance] = PendingQuery(self.token, now_s)
            token = self.token
        self.link.broadcast(InProgressRequest(self.name, instance, token))
        return None

    def handle_request(self, request: InProgressRequest) -> None:
        """Answer a peer (thread of the peer link)."""
        count = self.dispatcher.in_progress_at(request.endpoint)
        reply = InProgressReply(
            self.name, request.endpoint, request.token, count
        )
        self.link.send(request.sender, reply)

    def handle_reply(self, reply: InProgressReply) -> None:
        """Note a peer's answer (thread of the peer link)."""
        with self.lock:
            query = self.pending_queries.get(reply.endpoint)
            if query and query.token == reply.token:
                query.replies[reply.sender] = reply.count

    def slot_role(self, pool: str) -> SlotRole | None:
        """Return the pool's scheduler if it is this entry; needs a lock."""
        alive = set(self.link.alive()) | {self.name}
        if choose(pool, alive) != self.name:
            return None
        return self.slots.roles.get(pool)

    def demand(self, pool: str) -> float | None:
        """Return the demand of a pool that this entry schedules, in slots.

        It is a sample at the controller's tick.
        """
        with self.slots.lock:
            role = self.slot_role(pool)
            return None if role is None else role.demand()

    def long_work(self, pool: str) -> dict[str, int]:
        """Return long requests by instance, if this entry schedules them."""
        with self.slots.lock:
            role = self.slot_role(pool)
            return {} if role is None else role.long_work()

    def unavailable(self, pool: str) -> set[str]:
        """Return instances that fail or cannot be reached."""
        health = self.health.pool(pool)
        now_s = self.clock()
        return {
            name
            for name, state in list(health.states.items())
            if state.excluded(now_s)
        }

    def probe(self, instance: PlatformInstance) -> bool:
        """Return whether an instance answers its health page."""
        url = f"http://{instance.address}/health"
        handle = new_curl(url, PROBE_TIMEOUT_MS)
        try:
            handle.setopt(pycurl.WRITEFUNCTION, len)
            handle.perform()
            return handle.getinfo(pycurl.RESPONSE_CODE) == 200
        except pycurl.error:
            return False
        finally:
            handle.close()

    def decided(self, what: str, subject: str, why: str, inputs: dict) -> None:
        """Add a decision to the audit trail."""
        self.audit.decided(what, subject, why, inputs, who=self.name)


class FleetComponent:
    """Component that takes control of pools and runs their controllers.

    :param settings: the whole settings.
    :param holder: the pools that this entry controls.
    :param controller: advances and starts outages.
    :param surroundings: the rest of the entry.
    """

    def __init__(
        self,
        settings: Settings,
        holder: ControlHolder,
        controller: PoolController,
        context: EntryContext,
    ):
        """Keep the parts."""
        self.tick_s = settings.fleet.tick_s
        self.holder = holder
        self.controller = controller
        self.context = context

    def run(self, stop: Event) -> None:
        """Decide at an interval until told to stop."""
        while not stop.wait(self.tick_s):
            pools = list(self.context.view().pools)
            self.holder.tick(pools)
            for pool in pools:
                fence = self.holder.fence(pool)
                if fence is not None:
                    self.controller.tick(pool, fence)
        self.holder.stop()


def build_fleet(
    settings: Settings,
    store,
    platform: Platform,
    context: EntryContext,
    incarnation: int,
    metrics: Metrics,
    clock: Clock,
    wall_clock: Clock,
) -> FleetComponent:
    """Make the fleet component of an entry."""
    holder = ControlHolder(
        settings,
        store,
        incarnation,
        context.link.alive,
        metrics,
        clock,
    )
    controller = PoolController(
        settings, store, platform, context, metrics, wall_clock
    )
    return FleetComponent(settings, holder, controller, context)
