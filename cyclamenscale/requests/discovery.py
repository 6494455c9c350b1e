"""Keeps the directory of endpoints up to date.

Merges the applied configuration with the platform's lagging list, updates
the endpoints' health, and exchanges signals about it with the peers.
"""

from threading import Event

from loguru import logger

from cyclamenscale.configuration.audit import AuditTrail
from cyclamenscale.configuration.table import ConfigTable
from cyclamenscale.errors import PlatformUnavailableError
from cyclamenscale.fleet.ports import Platform
from cyclamenscale.members.messages import EndpointSignal
from cyclamenscale.members.peers import PeerLink
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import Endpoint
from cyclamenscale.requests.directory import Directory
from cyclamenscale.requests.outliers import HealthSignal, PoolsHealth
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock

#: Longest delay until a change of the endpoints' health is merged.
MERGE_INTERVAL_S = 0.1


class LiveDirectory(Directory):
    """A directory whose lookups reflect each applied revision at once.

    An entry acknowledges an exclusion as soon as its configuration contains
    it, which is before the next merge.

    :param clock: monotonic seconds.
    :param config: the applied configuration.
    """

    def __init__(self, clock: Clock, config: ConfigTable):
        """Initialise with no endpoints."""
        super().__init__(clock)
        self.config_table = config

    def find(self, name: str) -> Endpoint | None:
        """Return an endpoint that may get new work, by its name."""
        endpoint = super().find(name)
        record = self.config_table.view.instances.get(name)
        if endpoint is None or record is None or record.state != "live":
            return None
        return endpoint if record.pool == endpoint.pool else None


class Discovery:
    """Component that merges configuration, platform list and signals.

    :param settings: settings of the entry.
    :param platform: the platform.
    :param config: the applied configuration.
    :param directory: receives configuration and list.
    :param health: receives the endpoints and the peers' signals.
    :param link: the peer link.
    :param audit: receives the exclusions that this entry decided.
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
        """Register the handler for signals of peers."""
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
        self.last_poll_s = float("-inf")
        self.list_available = True
        self.merged_config = directory.config
        link.on(EndpointSignal, self.handle_signal)

    def run(self, stop: Event) -> None:
        """Follow configuration and list until stopped."""
        while not stop.is_set():
            self.step()
            self.config.wait(self.config.covered + 1, MERGE_INTERVAL_S)

    def step(self) -> None:
        """Merge once, and broadcast changes of the health to the peers."""
        now_s = self.clock()
        if now_s - self.last_poll_s >= self.poll_s:
            self.last_poll_s = now_s
            self.poll()
        # The time of a merge grows with the fleet, so it is skipped if the
        # configuration is the same.
        if self.config.view is not self.merged_config:
            self.merged_config = self.config.view
            self.directory.update_config(self.merged_config)
        self.health.update(self.directory.view.by_pool, now_s)
        for signal in self.health.take_signals():
            self.metrics.incr("discovery.signs_sent")
            self.link.broadcast(
                EndpointSignal(self.name, signal.endpoint, signal.kind)
            )
            self.audit_signal(signal)

    def audit_signal(self, signal: HealthSignal) -> None:
        """Add an exclusion or its end to the audit trail."""
        health = self.health.find_by_endpoint(signal.endpoint)
        state = health.states.get(signal.endpoint) if health else None
        inputs = {"sign": signal.kind}
        if state is not None:
            inputs |= {
                "sources": sorted(state.leaving),
                "failures_in_row": state.consecutive_failures,
                "exclusions": state.exclusions,
            }
        back = signal.kind == "back"
        self.audit.record_decision(
            "endpoint_back" if back else "endpoint_excluded",
            signal.endpoint,
            f"seen here as {signal.kind}",
            inputs,
            who=self.name,
        )

    def poll(self) -> None:
        """Read the platform's list; if unavailable, keep the last one."""
        try:
            self.directory.update_list(self.platform.list_instances())
        except PlatformUnavailableError as error:
            self.metrics.incr("discovery.list_errors")
            if self.list_available:
                logger.warning("instance list is not available: {}", error)
            self.list_available = False
            return
        if not self.list_available:
            logger.info("instance list is available again")
        self.list_available = True

    def handle_signal(self, signal: EndpointSignal) -> None:
        """Process a signal of a peer; runs in the thread of the peer link."""
        health = self.health.find_by_endpoint(signal.endpoint)
        if health is None:
            return
        self.metrics.incr("discovery.signs_received")
        now_s = self.clock()
        if signal.kind == "leaving":
            health.record_leaving(signal.endpoint, "peer", now_s)
        elif signal.kind == "failed":
            health.record_failure(signal.endpoint, "peer", now_s)
        elif signal.kind == "back":
            health.record_return(signal.endpoint, "peer", now_s)
