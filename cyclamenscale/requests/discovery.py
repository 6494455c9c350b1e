"""Keeps the endpoints of the pools up to date.

Merges the applied configuration with the platform's lagging list, feeds the
endpoints' health, and exchanges signs of leaving endpoints with the peers.
"""

from threading import Event

from loguru import logger

from cyclamenscale.configuration.audit import AuditTrail
from cyclamenscale.configuration.table import ConfigTable
from cyclamenscale.errors import PlatformUnavailableError
from cyclamenscale.fleet.ports import Platform
from cyclamenscale.members.messages import EndpointSign
from cyclamenscale.members.peers import PeerLink
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import Endpoint
from cyclamenscale.requests.directory import Directory
from cyclamenscale.requests.outliers import HealthSignal, PoolsHealth
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock

#: Longest time for which a change of the health waits for the merge.
STEP_S = 0.1


class LiveDirectory(Directory):
    """A directory whose look-ups see each applied revision at once.

    An entry acknowledges an exclusion as soon as the configuration has it,
    before the next merge.

    :param clock: monotonic seconds.
    :param config: the applied configuration.
    """

    def __init__(self, clock: Clock, config: ConfigTable):
        """Start empty."""
        super().__init__(clock)
        self.applied = config

    def find(self, name: str) -> Endpoint | None:
        """Return an endpoint that may get new work, by its name."""
        endpoint = super().find(name)
        record = self.applied.view.instances.get(name)
        if endpoint is None or record is None or record.state != "live":
            return None
        return endpoint if record.pool == endpoint.pool else None


class Discovery:
    """Component that merges configuration, list and signs.

    :param settings: the whole settings.
    :param platform: the platform.
    :param config: the applied configuration.
    :param directory: gets the merge.
    :param health: gets the endpoints and the signs.
    :param link: the peer link.
    :param audit: gets the exclusions that this entry decided.
    :param metrics: counters.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        settings: Settings,
        platform: Platform,
        config: ConfigTable,
        directory: Directory,
        health: PoolsHealth,
        link: PeerLink,
        audit: AuditTrail,
        metrics: Metrics,
        clock: Clock,
    ):
        """Register for the signs of peers."""
        self.name = settings.entry.name
        self.poll_s = settings.platform.poll_s
        self.platform = platform
        self.config = config
        self.directory = directory
        self.health = health
        self.link = link
        self.audit = audit
        self.metrics = metrics
        self.clock = clock
        self.polled_s = float("-inf")
        self.listing = True
        self.merged = directory.config
        link.on(EndpointSign, self.take_sign)

    def run(self, stop: Event) -> None:
        """Follow configuration and list until told to stop."""
        while not stop.is_set():
            self.step()
            self.config.wait(self.config.covered + 1, STEP_S)

    def step(self) -> None:
        """Merge once, and tell the peers what was seen."""
        now_s = self.clock()
        if now_s - self.polled_s >= self.poll_s:
            self.polled_s = now_s
            self.poll()
        # A merge takes time that grows with the fleet.
        if self.config.view is not self.merged:
            self.merged = self.config.view
            self.directory.update_config(self.merged)
        self.health.update(self.directory.view.by_pool, now_s)
        for sign in self.health.take_signals():
            self.metrics.incr("discovery.signs_sent")
            self.link.broadcast(
                EndpointSign(self.name, sign.endpoint, sign.kind)
            )
            self.record(sign)

    def record(self, sign: HealthSignal) -> None:
        """Add an exclusion, or its end, to the audit trail."""
        health = self.health.find_by_endpoint(sign.endpoint)
        state = health.states.get(sign.endpoint) if health else None
        inputs = {"sign": sign.kind}
        if state is not None:
            inputs |= {
                "sources": sorted(state.leaving),
                "failures_in_row": state.consecutive_failures,
                "exclusions": state.exclusions,
            }
        back = sign.kind == "back"
        self.audit.decided(
            "endpoint_back" if back else "endpoint_excluded",
            sign.endpoint,
            f"seen here as {sign.kind}",
            inputs,
            who=self.name,
        )

    def poll(self) -> None:
        """Read the platform's list; without an answer the last one stays."""
        try:
            self.directory.update_list(self.platform.list_instances())
        except PlatformUnavailableError as error:
            self.metrics.incr("discovery.list_errors")
            if self.listing:
                logger.warning("instance list is not available: {}", error)
            self.listing = False
            return
        if not self.listing:
            logger.info("instance list is available again")
        self.listing = True

    def take_sign(self, sign: EndpointSign) -> None:
        """Take a sign of a peer (thread of the peer link)."""
        health = self.health.find_by_endpoint(sign.endpoint)
        if health is None:
            return
        self.metrics.incr("discovery.signs_received")
        now_s = self.clock()
        if sign.sign == "leaving":
            health.record_leaving(sign.endpoint, "peer", now_s)
        elif sign.sign == "failed":
            health.record_failure(sign.endpoint, "peer", now_s)
        elif sign.sign == "back":
            health.record_return(sign.endpoint, "peer", now_s)
