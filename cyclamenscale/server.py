"""HTTP server with bounds, on cheroot.

It serves the callers, the operators and the test doubles. Threads, queued
connections, idle connections, header sizes and body sizes are bounded, and a
stop waits for the requests in progress.
"""

import socket
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from queue import Full
from select import POLLIN, poll
from threading import Condition, Thread

from cheroot import wsgi
from loguru import logger

from cyclamenscale.util.clock import monotonic

# A dead peer frees its connection after about 10 + 3 x 5 seconds.
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3

# Workers that are still busy after the drain time of stop() get this long
# before cheroot shuts their sockets down.
SHUTDOWN_TIMEOUT_S = 0.1

QUEUE_POLL_S = 0.02

# The overload answer is sent before the request is parsed, so the sender may
# rely on it that the request did not run.
OVERLOAD_BODY = (
    b'{"outcome":"not_run","reason":"entry_busy",'
    b'"message":"the server has no free thread","request":"",'
    b'"retry_after_s":1.0}'
)
OVERLOAD_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Content-Type: application/json\r\n"
    b"Cyclamen-Outcome: not_run\r\n"
    b"Retry-After: 1\r\n"
    b"Connection: close\r\n"
    b"Content-Length: " + str(len(OVERLOAD_BODY)).encode() + b"\r\n\r\n"
) + OVERLOAD_BODY


#: WSGI environment key of a callable that tells whether the client is gone.
IS_DISCONNECTED_KEY = "cyclamenscale.gone"


def is_closed(sock: socket.socket) -> bool:
    """Return whether the peer of a socket has closed its end.

    A client that only ends its own sending counts as gone too; HTTP clients
    keep both directions open until they have the answer.
    """
    try:
        # A socket with a timeout waits in recv() even with MSG_DONTWAIT.
        poller = poll()
        poller.register(sock, POLLIN)
        return bool(poller.poll(0)) and not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        return True


class ConnectionGateway(wsgi.Gateway_10):
    """Gateway that lets an application notice a client that hung up."""

    def get_environ(self):
        """Add the check of the connection to the environment."""
        environ = super().get_environ()
        environ[IS_DISCONNECTED_KEY] = partial(is_closed, self.req.conn.socket)
        return environ


class BoundedServer(wsgi.Server):
    """cheroot's server with three changes.

    A new connection waits for its first byte in the selector, not in a
    worker thread; accepted sockets get keep-alive probes; a full queue is
    answered at once instead of blocking the selector's thread.
    """

    #: Called with the name of a counter.
    count: Callable[[str], None] = staticmethod(lambda name: None)
    name = "http"

    def process_conn(self, conn):
        """Queue a connection with data, or park one without."""
        if not getattr(conn, "accepted", False):
            conn.accepted = True
            set_keepalive(conn.socket)
            if not self.can_add_keepalive_connection:
                self.refuse(conn)
                return
            # Without this a client that connects and sends nothing holds
            # a worker thread for the whole idle timeout.
            self._connections.put(conn)
            return
        try:
            self.requests.put(conn)
        except Full:
            self.refuse(conn)

    def refuse(self, conn) -> None:
        """Answer "not run" without reading the request.

        The unread request is drained as far as it has arrived, because
        closing with unread data resets the connection and may destroy the
        answer before the peer reads it.
        """
        self.count(f"{self.name}.refused_busy")
        with suppress(OSError):
            conn.socket.setblocking(False)
            conn.socket.send(OVERLOAD_RESPONSE)
            conn.socket.shutdown(socket.SHUT_WR)
            conn.socket.recv(65536)
        with suppress(OSError):
            conn.close()

    def error_log(self, msg="", level=20, traceback=False):
        """Send cheroot's messages to the log instead of stderr."""
        self.count(f"{self.name}.errors")
        logger.opt(exception=traceback).debug("{}: {}", self.name, msg)


def set_keepalive(sock: socket.socket) -> None:
    """Turn on TCP keep-alive probes on a socket."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, value)


class HttpServer:
    """A WSGI application behind a bounded HTTP server.

    :param address: ``host:port``; port 0 takes a free one.
    :param wsgi_app: the application.
    :param threads: requests that run at once.
    :param queue_limit: connections that wait for a thread, and idle
        connections that are kept open; beyond it, 503 with the outcome
        ``not_run``.
    :param body_limit_bytes: larger bodies are refused with 413.
    :param header_limit_bytes: larger headers are refused with 413.
    :param idle_s: an idle connection, or one that sends nothing within a
        request, is closed after this time.
    :param name: prefix of the counters.
    :param count: called with the name of a counter.
    """

    def __init__(
        self,
        address: str,
        wsgi_app: Callable,
        threads: int = 8,
        queue_limit: int = 512,
        body_limit_bytes: int = 65536,
        header_limit_bytes: int = 16384,
        idle_s: float = 30.0,
        name: str = "http",
        count: Callable[[str], None] = lambda name: None,
    ):
        """Set up the server; :meth:`start` binds it."""
        self.wsgi_app = wsgi_app
        # Guards in_progress, draining.
        self.changed = Condition()
        self.in_progress = 0
        self.draining = False
        self.thread: Thread | None = None
        host, _, port = address.rpartition(":")
        server = BoundedServer(
            (host, int(port)),
            self.run_app,
            numthreads=threads,
            max=threads,
            request_queue_size=min(queue_limit, 1024),
            timeout=idle_s,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            accepted_queue_size=queue_limit,
            accepted_queue_timeout=0,
            server_name="cyclamenscale",
        )
        server.gateway = ConnectionGateway
        server.max_request_body_size = body_limit_bytes
        server.max_request_header_size = header_limit_bytes
        server.keep_alive_conn_limit = queue_limit
        server.name = name
        server.count = count
        self.server = server

    @property
    def address(self) -> str:
        """Return the bound ``host:port``."""
        host, port = self.server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind, and serve in a thread.

        :raises OSError: if the address cannot be bound.
        """
        self.server.prepare()
        self.thread = Thread(
            target=self.server.serve, name=self.server.name, daemon=True
        )
        self.thread.start()

    def run_app(self, environ, start_response):
        """Count the request while the application runs and is sent."""
        with self.changed:
            self.in_progress += 1

        def start(status, headers, exc_info=None):
            if self.draining:
                headers = [*headers, ("Connection", "close")]
            return start_response(status, headers, exc_info)

        try:
            yield from self.wsgi_app(environ, start)
        finally:
            with self.changed:
                self.in_progress -= 1
                self.changed.notify_all()

    def is_idle(self) -> bool:
        """Return whether no request runs or waits (locked)."""
        return not self.in_progress and not self.server.requests.qsize

    def begin_drain(self) -> None:
        """Close each connection after its next answer from now on."""
        with self.changed:
            self.draining = True

    def stop(self, drain_s: float) -> bool:
        """Stop without cutting a request, if all end within the time.

        Connections that are open are closed after their next answer, so
        that clients move elsewhere while the last requests end.

        :param drain_s: how long to wait for the requests in progress.
        :returns: whether all of them ended.
        """
        end_s = monotonic() + drain_s
        self.begin_drain()
        with self.changed:
            while not (idle := self.is_idle()) and monotonic() < end_s:
                # A queued connection that was closed by its peer leaves the
                # queue without a notification.
                self.changed.wait(QUEUE_POLL_S)
        self.server.stop()
        if self.thread:
            self.thread.join(5.0)
        return idle
