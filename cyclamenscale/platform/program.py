"""The main program of a job entry on the users' platform."""

import os
import signal
import time
from random import Random
from threading import Event, Thread, Timer

from loguru import logger
from werkzeug.wrappers import Response

from cyclamenscale.errors import SettingsErrors
from cyclamenscale.jobs.calls import JobCalls
from cyclamenscale.jobs.coordinator import Ports
from cyclamenscale.jobs.entry import Decoders, JobEntry
from cyclamenscale.jobs.relay import Responder
from cyclamenscale.metrics import Metrics
from cyclamenscale.platform import decode, names
from cyclamenscale.platform.job_api import JobApi
from cyclamenscale.platform.kv import KvStore
from cyclamenscale.platform.machines import HttpMachines
from cyclamenscale.platform.workers import HttpWorkers
from cyclamenscale.server import HttpServer
from cyclamenscale.settings import Settings, load
from cyclamenscale.util.events import EventLog
from cyclamenscale.util.http_client import HttpClient
from cyclamenscale.util.log import set_up
from cyclamenscale.util.loop import Loop
from cyclamenscale.util.peer_calls import PeerCalls

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "CYCLAMENSCALE_SETTINGS"

#: Threads of the callers' server, each serving one request at a time.
CALLER_THREADS = 24
READY_THREADS = 2

#: Maximum number of connections that are idle or wait for a thread.
CONNECTIONS_LIMIT = 1500

#: A connection that sends nothing for this long is closed.
IDLE_S = 30.0

#: Time for requests in progress to finish when the entry stops.
LAST_CALLS_S = 1.4

#: Time from the end of the drain until the process exits regardless.
FORCED_EXIT_S = 1.6

DECODERS = Decoders(
    names.OPERATOR_PREFIX,
    names.MANIFEST_KEY,
    names.WAVE_PREFIX,
    names.WORKER_PREFIX,
    decode.manifest,
    decode.wave,
    decode.worker_record,
)


class Program:
    """A process with the event loop, the entry and its HTTP servers.

    :param settings: all settings.
    :param path: path of the settings file, empty for none.
    """

    def __init__(self, settings: Settings, path: str = ""):
        """Create the entry, its clients and its servers."""
        self.settings = settings
        self.path = path
        self.loop = Loop()
        client = HttpClient(self.loop)
        store = KvStore(settings, client)
        ports = Ports(
            HttpWorkers(settings, client),
            HttpMachines(settings, client, store),
            store,
        )
        self.metrics = Metrics(settings)
        self.events = EventLog(settings.entry.name)
        self.entry = JobEntry(
            settings,
            self.loop,
            ports,
            DECODERS,
            self.events,
            self.metrics,
            Random(os.urandom(8)),
            PeerCalls(self.loop, settings.entry.peers_address),
        )
        self.entry.take_http_load = client.take_load
        calls = JobCalls(self.entry)
        self.entry.responder = Responder(
            self.loop,
            self.entry.acceptance.create_locally,
            calls.state_for_peer,
            self.entry.take_notice,
            self.entry.probe_store,
            self.entry.end_lease,
        )
        self.terminated = Event()
        self.callers_server = self.server(
            settings.entry.callers_address,
            JobApi(calls, self.loop),
            "callers",
            CALLER_THREADS,
        )
        self.ready_server = self.server(
            settings.entry.ready_address, self.serve_ready, "ready"
        )
        self.metrics_server = self.server(
            settings.entry.metrics_address, self.serve_metrics, "metrics"
        )

    def server(self, address, app, name, threads=READY_THREADS) -> HttpServer:
        """Create an HTTP server."""
        return HttpServer(
            address,
            app,
            threads=threads,
            queue_limit=CONNECTIONS_LIMIT,
            body_limit_bytes=1 << 20,
            idle_s=IDLE_S,
            name=name,
            count=self.metrics.incr,
        )

    def serve_ready(self, environ, start_response):
        """Report to the load balancer whether the entry accepts callers."""
        ready = self.entry.is_ready()
        response = Response(b"", 200 if ready else 503)
        return response(environ, start_response)

    def serve_metrics(self, environ, start_response):
        """Serve the counters as text."""
        text = self.metrics.prometheus_text()
        response = Response(text, 200, mimetype="text/plain")
        return response(environ, start_response)

    def on_term(self, number: int, frame) -> None:
        """Stop gracefully."""
        self.terminated.set()

    def on_hup(self, number: int, frame) -> None:
        """Check the changed settings file.

        Settings describe the process's location and the platform's limits,
        so a change takes effect at the next start.
        """
        try:
            outcome = "in force from the next start"
            if load(self.path or None) == self.settings:
                outcome = "unchanged"
        except (OSError, SettingsErrors) as error:
            outcome = f"not usable: {error}"
        self.loop.submit(
            lambda: self.events.note("entry.reload", outcome=outcome)
        )

    def run(self) -> int:
        """Serve until SIGTERM; return the exit status."""
        signal.signal(signal.SIGTERM, self.on_term)
        signal.signal(signal.SIGHUP, self.on_hup)
        loop_thread = Thread(target=self.loop.run, name="loop", daemon=True)
        for server in (
            self.callers_server,
            self.ready_server,
            self.metrics_server,
        ):
            server.start()
        loop_thread.start()
        self.loop.submit(self.entry.start)
        self.terminated.wait()
        self.stop()
        return 0

    def stop(self) -> None:
        """Resign leadership, drain callers, and finish the last requests."""
        self.loop.submit(self.entry.drain)
        self.callers_server.begin_drain()
        # The platform kills a process that exceeds its own time limit for
        # stopping; exit before that.
        exit_timer = Timer(
            self.settings.jobs.drain_s + FORCED_EXIT_S, os._exit, (0,)
        )
        exit_timer.daemon = True
        exit_timer.start()
        time.sleep(self.settings.jobs.drain_s)
        self.callers_server.stop(LAST_CALLS_S)
        self.loop.submit(lambda: self.events.note("entry.stop")).result(1.0)
        logger.info("stopped")


def run(path: str = "") -> int:
    """Run a job entry.

    :param path: settings file, by default the platform's.
    :returns: the exit status.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    settings = load(path or None)
    set_up(settings)
    return Program(settings, path).run()
