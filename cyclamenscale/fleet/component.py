"""Entry component that runs the pool controllers.

Connects :mod:`cyclamenscale.fleet.control` and
:mod:`cyclamenscale.fleet.controller` to the entry's configuration, barriers,
peers and endpoints.
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
from cyclamenscale.util.rendezvous import choose_node

PROBE_TIMEOUT_MS = 1000

#: Seconds after which a request is sent again if an entry has not responded.
RESEND_INTERVAL_S = 2.0


class PendingQuery:
    """A request to the peers for their requests in progress.

    :param token: matches replies to the latest request for an instance.
    :param sent_s: time at which it was sent, by the monotonic clock.
    :ivar replies: count of requests in progress, by peer.
    """

    def __init__(self, token: int, sent_s: float):
        """Initialise without replies."""
        self.token = token
        self.sent_s = sent_s
        self.replies: dict[str, int] = {}


class EntryContext:
    """Context of the controllers in a running entry.

    Implements :class:`cyclamenscale.fleet.outages.ControllerContext`.

    :param settings: settings of the entry.
    :param table: applied configuration.
    :param freshness: reports whether the applied configuration is fresh.
    :param barriers: report which revisions are in force.
    :param link: connections to the peers.
    :param dispatcher: counts this entry's requests in progress.
    :param health: health of the endpoints.
    :param audit: audit trail that records the decisions.
    :param slots: has the demand of the pools that this entry schedules.
    :param clock: monotonic clock.
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
        """Register the handlers of peer requests and replies."""
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
        """Request an acknowledgement of a revision from the other entries."""
        self.barriers.poll(revision)

    def in_force(self, revision: int) -> bool:
        """Return whether a revision is in force at every entry."""
        return self.barriers.poll(revision) == "accepted"

    def in_progress(self, instance: str) -> int | None:
        """Return an instance's requests in progress, summed over the entries.

        An entry from which no heartbeats arrive is left out: it no longer
        admits requests, and its requests in progress are included in the
        platform's own count.

        :returns: None until all entries have responded.
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
        """Respond to a peer's request, in the thread of the peer link."""
        count = self.dispatcher.in_progress_at(request.endpoint)
        reply = InProgressReply(
            self.name, request.endpoint, request.token, count
        )
        self.link.send(request.sender, reply)

    def handle_reply(self, reply: InProgressReply) -> None:
        """Record a peer's reply, in the thread of the peer link."""
        with self.lock:
            query = self.pending_queries.get(reply.endpoint)
            if query and query.token == reply.token:
                query.replies[reply.sender] = reply.count

    def slot_role(self, pool: str) -> SlotRole | None:
        """Return the pool's scheduler if it runs in this entry.

        The caller holds the lock of the slot broker.
        """
        alive = set(self.link.alive()) | {self.name}
        if choose_node(pool, alive) != self.name:
            return None
        return self.slots.roles.get(pool)

    def demand(self, pool: str) -> float | None:
        """Return a sample of the demand of a pool, in slots.

        :returns: None if this entry does not schedule the pool.
        """
        with self.slots.lock:
            role = self.slot_role(pool)
            return None if role is None else role.demand()

    def long_work(self, pool: str) -> dict[str, int]:
        """Return the number of long requests in progress, by instance.

        :returns: an empty dictionary if this entry does not schedule the
            pool.
        """
        with self.slots.lock:
            role = self.slot_role(pool)
            return {} if role is None else role.long_work()

    def unavailable(self, pool: str) -> set[str]:
        """Return the instances excluded after failed calls."""
        health = self.health.pool(pool)
        now_s = self.clock()
        return {
            name
            for name, state in list(health.states.items())
            if state.excluded(now_s)
        }

    def probe(self, instance: PlatformInstance) -> bool:
        """Return whether an instance's health page answers with status 200."""
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
        self.audit.record_decision(what, subject, why, inputs, who=self.name)


class FleetComponent:
    """Component that takes control of pools and runs their controller.

    :param settings: settings of the entry.
    :param holder: holds the control of this entry's pools.
    :param controller: starts and advances planned outages.
    :param context: interface to the rest of the entry.
    """

    def __init__(
        self,
        settings: Settings,
        holder: ControlHolder,
        controller: PoolController,
        context: EntryContext,
    ):
        """Initialise with the tick interval of the settings."""
        self.tick_s = settings.fleet.tick_s
        self.holder = holder
        self.controller = controller
        self.context = context

    def run(self, stop: Event) -> None:
        """Run the controller once per tick until the stop event is set."""
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
    """Create the fleet component of an entry."""
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
