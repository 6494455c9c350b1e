"""An entry: its components, built from the settings.

Every entry runs the same components; there is no dedicated control node.
"""

import signal
import time
from collections.abc import Callable
from random import Random
from threading import Event

from loguru import logger

import cyclamenscale.fleet.http_platform  # noqa: F401  registers the adapter
import cyclamenscale.store.etcd  # noqa: F401  registers the store adapter
from cyclamenscale.configuration.audit import AuditTrail
from cyclamenscale.configuration.operations import Operations
from cyclamenscale.configuration.operators import OperatorsApp
from cyclamenscale.configuration.reader import ConfigReader
from cyclamenscale.configuration.table import ConfigTable
from cyclamenscale.errors import CyclamenError
from cyclamenscale.fleet.component import EntryContext, build_fleet
from cyclamenscale.fleet.ports import open_platform
from cyclamenscale.members.freshness import Freshness
from cyclamenscale.members.member_list import (
    MemberListEditor,
    choose_incarnation,
)
from cyclamenscale.members.peers import PeerLink
from cyclamenscale.metrics import Metrics
from cyclamenscale.requests.callers import CallerApp
from cyclamenscale.requests.claims import Claims
from cyclamenscale.requests.discovery import Discovery, LiveDirectory
from cyclamenscale.requests.dispatch import Dispatcher
from cyclamenscale.requests.endpoints import EndpointClient
from cyclamenscale.requests.outliers import PoolsHealth
from cyclamenscale.requests.slots import SlotBroker
from cyclamenscale.server import HttpServer
from cyclamenscale.settings import Settings
from cyclamenscale.store.port import open_store
from cyclamenscale.store.rate_limiting import RateLimitedStore
from cyclamenscale.supervisor import Supervisor
from cyclamenscale.util.clock import monotonic

#: Maximum wait for the peer link to bind its address.
BIND_TIMEOUT_S = 10.0

#: Interval at which the store's rate limit follows the number of entries.
RATE_LIMITING_INTERVAL_S = 1.0

#: A response is overdue after this multiple of the class's p99 run time.
FIRST_BYTE_FACTOR = 4.0
FIRST_BYTE_MIN_S = 1.0


class Entry:
    """The components of one entry.

    :param settings: the whole settings.
    """

    def __init__(self, settings: Settings):
        """Build the components; nothing runs before :meth:`start`."""
        self.settings = settings
        self.metrics = Metrics(settings)
        self.store = RateLimitedStore(
            settings, open_store(settings), self.metrics
        )
        self.platform = open_platform(settings)
        self.build_configuration()
        self.build_request_path()
        self.build_servers()
        self.build_supervisor()

    def build_configuration(self) -> None:
        """Create the components that apply and change the configuration."""
        settings, metrics = self.settings, self.metrics
        self.incarnation = choose_incarnation(self.store, settings.entry.name)
        self.table = ConfigTable(settings, metrics)
        self.freshness = Freshness(
            settings, monotonic, self.table, self.incarnation
        )
        self.link = PeerLink(
            settings, metrics, monotonic, self.table, self.freshness
        )
        self.reader = ConfigReader(
            settings,
            self.store,
            self.table,
            self.freshness,
            metrics,
            monotonic,
        )
        self.operations = Operations(
            settings,
            self.store,
            self.table,
            self.link,
            self.freshness,
            metrics,
            monotonic,
        )
        self.member_list_editor = MemberListEditor(
            settings, self.operations, self.freshness, metrics
        )

    def build_request_path(self) -> None:
        """Create the components that handle the requests of callers."""
        settings, metrics = self.settings, self.metrics
        self.audit = AuditTrail(
            settings,
            self.store,
            metrics,
            self.table,
            lambda request: self.dispatcher.explain(request),
        )
        self.directory = LiveDirectory(monotonic, self.table)
        self.health = PoolsHealth(settings.outliers)
        self.discovery = Discovery(
            settings,
            self.platform,
            self.table,
            self.directory,
            self.health,
            self.link,
            self.audit,
            metrics,
            monotonic,
        )
        self.slots = SlotBroker(
            settings,
            self.table,
            lambda pool: self.health.pool(pool).usable(monotonic()),
            lambda pool: list(self.directory.endpoints(pool)),
            self.link,
            metrics,
        )
        self.claims = Claims(settings, self.store, metrics)
        self.endpoint_client = EndpointClient(settings, metrics)
        self.dispatcher = Dispatcher(
            settings,
            self.table,
            self.freshness,
            self.directory,
            self.health,
            self.slots,
            self.claims,
            self.endpoint_client,
            metrics,
            monotonic,
            Random(),
            self.first_byte_timeout,
        )

    def first_byte_timeout(self, class_name: str) -> float | None:
        """Return the first-byte timeout on a reused connection.

        :returns: seconds, based on the observed run times of the class; None
            if the class does not exist.
        """
        request_class = self.table.view.classes.get(class_name)
        if request_class is None:
            return None
        p99_s = self.slots.run_times(request_class).p99_ms / 1000
        return max(FIRST_BYTE_MIN_S, p99_s * FIRST_BYTE_FACTOR)

    def build_servers(self) -> None:
        """Create the HTTP servers for callers and operators."""
        settings, metrics = self.settings, self.metrics
        self.caller_app = CallerApp(
            settings, self.dispatcher, self.freshness, metrics
        )
        self.callers = HttpServer(
            settings.entry.callers_address,
            self.caller_app,
            settings.callers.threads,
            settings.callers.queue_limit,
            settings.callers.body_limit_bytes,
            settings.callers.header_limit_bytes,
            settings.callers.idle_s,
            "callers",
            metrics.incr,
        )
        operators_app = OperatorsApp(
            settings,
            metrics,
            self.operations,
            self.member_list_editor,
            self.table,
            self.audit,
            self.status,
            self.freshness.not_admitting_reason,
        )
        self.operators = HttpServer(
            settings.entry.operators_address,
            operators_app,
            settings.operators.threads,
            body_limit_bytes=settings.operators.body_limit_bytes,
            name="operators",
            count=metrics.incr,
        )

    def build_supervisor(self) -> None:
        """Add the components to the supervision tree.

        They stop in reverse order, so dependencies are added first.
        """
        settings, metrics = self.settings, self.metrics
        context = EntryContext(
            settings,
            self.table,
            self.freshness,
            self.operations.barriers,
            self.link,
            self.dispatcher,
            self.health,
            self.audit,
            self.slots,
            monotonic,
        )
        self.fleet = build_fleet(
            settings,
            self.store,
            self.platform,
            context,
            self.incarnation,
            metrics,
            monotonic,
            time.time,
        )
        self.supervisor = Supervisor(settings, metrics, settings.entry.name)
        configuration = Supervisor(settings, metrics, "configuration")
        configuration.add("peers", self.link.run)
        configuration.add("reader", self.reader.run)
        configuration.add("members", self.run_members)
        configuration.add("pacing", self.run_rate_limiting)
        path = Supervisor(settings, metrics, "path")
        path.add("discovery", self.discovery.run)
        path.add("slots", self.slots.run)
        path.add("claims", self.claims.run)
        self.supervisor.add_child(configuration)
        self.supervisor.add_child(path)
        self.supervisor.add("fleet", self.fleet.run)
        self.children = [configuration, path]

    def run_members(self, stop: Event) -> None:
        """Join the member list once the peer link has bound its address."""
        self.link.ready.wait(BIND_TIMEOUT_S)
        self.member_list_editor.run(stop, self.link.address)

    def run_rate_limiting(self, stop: Event) -> None:
        """Divide the rate limit of store calls among the members."""
        while not stop.wait(RATE_LIMITING_INTERVAL_S):
            members = self.table.view.members.members
            self.store.set_entry_count(len(members))

    def start(self) -> None:
        """Start all components and the servers."""
        self.supervisor.start()
        self.operators.start()
        self.callers.start()
        logger.info(
            "entry {} started: callers {}, operators {}",
            self.settings.entry.name,
            self.callers.address,
            self.operators.address,
        )

    def stop(self) -> None:
        """Shut down gracefully, without aborting requests in progress.

        ``/health`` reports unready first, so that the load balancer stops
        sending requests before this entry refuses them; then the requests
        in progress complete.
        """
        shutdown = self.settings.shutdown
        logger.info("entry {} is stopping", self.settings.entry.name)
        self.caller_app.ready = False
        Event().wait(shutdown.unready_s)
        self.dispatcher.begin_shutdown()
        idle = self.dispatcher.wait_idle(shutdown.drain_s)
        if not idle:
            logger.warning(
                "requests still in progress after {} s", shutdown.drain_s
            )
        self.callers.stop(shutdown.unready_s)
        try:
            self.member_list_editor.leave()
        except CyclamenError as error:
            # The name stays in the list; a replacement entry reuses it.
            logger.warning("cannot leave the member list: {}", error)
        self.operators.stop(shutdown.unready_s)
        self.supervisor.stop()
        self.endpoint_client.close()
        logger.info("entry {} has stopped", self.settings.entry.name)

    def status(self) -> dict:
        """Return the state of this entry for the ``status`` command."""
        view = self.table.view
        return {
            "entry": self.settings.entry.name,
            "admitting": self.freshness.may_admit(),
            "not_admitting_because": self.freshness.not_admitting_reason(),
            "revision": view.revision,
            "fresh_age_s": round(self.freshness.store_read_age_s(), 3),
            "members": [each.name for each in view.members.members],
            "peers_alive": sorted(self.link.alive()),
            "components": {
                name: state
                for each in (self.supervisor, *self.children)
                for name, state in each.states().items()
            },
            "pools": {pool: self.pool_status(pool) for pool in view.pools},
            "store_calls": self.store.call_counts(),
            "peer_bytes_sent": self.link.bytes_sent,
            "peer_bytes_received": self.link.bytes_received,
            "metrics": self.metrics.snapshot(),
        }

    def pool_status(self, pool: str) -> dict:
        """Return the state of a pool from this entry's view."""
        usable = self.health.pool(pool).usable(monotonic())
        return {
            "instances": sum(
                each.pool == pool
                for each in self.table.view.instances.values()
            ),
            "usable_slots": sum(usable.values()),
            "controlled_here": self.fleet.holder.fence(pool) is not None,
        }


def run(settings: Settings) -> int:
    """Run an entry until SIGTERM or SIGINT.

    :param settings: the whole settings.
    :returns: exit status.
    :raises ComponentFailedError: if a component failed too often.
    """
    entry = Entry(settings)
    stopping = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    entry.start()
    wait_until_stopped(stopping, entry.supervisor.wait)
    entry.stop()
    return 0


def wait_until_stopped(
    stopping: Event, ended: Callable[[float], bool]
) -> None:
    """Wait until a signal arrives or the supervisor ends.

    :param stopping: set by a signal.
    :param ended: waits for the given seconds and returns whether the
        supervisor has ended; raises if a component failed.
    """
    while not stopping.wait(0.2):
        if ended(0.0):
            return
