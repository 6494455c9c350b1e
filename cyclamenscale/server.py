"""HTTP server with resource limits, based on cheroot.

It serves callers, operators and the stand-ins. Threads, queued connections,
idle connections, header sizes and body sizes are limited, and a stop waits
for the requests in progress.
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

# The connection of a dead peer is closed after about 10 + 3 x 5 seconds.
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3

# Worker threads that are still busy after the drain time of stop() get this
# long before cheroot shuts down their sockets.
SHUTDOWN_TIMEOUT_S = 0.1

QUEUE_POLL_S = 0.02

# The overload response is sent before the request is parsed, so it guarantees
# that the request did not run.
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


#: WSGI environment key of a callable that returns whether the client has
#: disconnected.
IS_DISCONNECTED_KEY = "cyclamenscale.gone"


def is_closed(sock: socket.socket) -> bool:
    """Return whether the peer of a socket has closed its end.

    A client that only shuts down its sending side counts as disconnected
    too; HTTP clients keep both directions open until they have the response.
    """
    try:
        # On a socket with a timeout, recv() blocks even with MSG_DONTWAIT.
        poller = poll()
        poller.register(sock, POLLIN)
        return bool(poller.poll(0)) and not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        return True


class ConnectionGateway(wsgi.Gateway_10):
    """Gateway that lets an application detect a disconnected client."""

    def get_environ(self):
        """Add the connection check to the WSGI environment."""
        environ = super().get_environ()
        environ[IS_DISCONNECTED_KEY] = partial(is_closed, self.req.conn.socket)
        return environ


class BoundedServer(wsgi.Server):
    """cheroot's WSGI server with three changes.

    A new connection waits for its first byte in the selector, not in a
    worker thread; accepted sockets get keep-alive probes; with a full queue,
    a connection is rejected at once instead of blocking the selector thread.
    """

    #: Called with the name of a counter.
    count: Callable[[str], None] = staticmethod(lambda name: None)
    name = "http"

    def process_conn(self, conn):
        """Queue a connection with data; let one without wait for data."""
        if not getattr(conn, "accepted", False):
            conn.accepted = True
            set_keepalive(conn.socket)
            if not self.can_add_keepalive_connection:
                self.refuse(conn)
                return
            # Otherwise a client that connects and sends nothing would occupy
            # a worker thread for the whole idle timeout.
            self._connections.put(conn)
            return
        try:
            self.requests.put(conn)
        except Full:
            self.refuse(conn)

    def refuse(self, conn) -> None:
        """Respond "not run" without parsing the request.

        The data that has arrived is read and discarded, because closing a
        socket with unread data resets the connection, and the peer may lose
        the response before reading it.
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
        """Write cheroot's messages to the log instead of stderr."""
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
    """A WSGI application behind a :class:`BoundedServer`.

    :param address: ``host:port``; port 0 selects a free one.
    :param wsgi_app: the application.
    :param threads: maximum number of requests that run at once.
    :param queue_limit: maximum number of connections that wait for a thread,
        and of idle connections kept open; beyond it, 503 with the outcome
        ``not_run``.
    :param body_limit_bytes: larger bodies are rejected with 413.
    :param header_limit_bytes: larger headers are rejected with 413.
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
        """Bind the address and serve in a thread.

        :raises OSError: if the address cannot be bound.
        """
        self.server.prepare()
        self.thread = Thread(
            target=self.server.serve, name=self.server.name, daemon=True
        )
        self.thread.start()

    def run_app(self, environ, start_response):
        """Count the request until its response has been sent."""
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
        """Return whether no request runs or waits; the lock is held."""
        return not self.in_progress and not self.server.requests.qsize

    def begin_drain(self) -> None:
        """Close each connection after its next response from now on."""
        with self.changed:
            self.draining = True

    def stop(self, drain_s: float) -> bool:
        """Stop without aborting requests that end within the drain time.

        Open connections are closed after their next response, so that
        clients connect to another server meanwhile.

        :param drain_s: maximum wait for the requests in progress.
        :returns: whether all of them ended.
        """
        deadline_s = monotonic() + drain_s
        self.begin_drain()
        with self.changed:
            while not (idle := self.is_idle()) and monotonic() < deadline_s:
                # No notification is sent when a queued connection leaves
                # the queue because its peer closed it.
                self.changed.wait(QUEUE_POLL_S)
        self.server.stop()
        if self.thread:
            self.thread.join(5.0)
        return idle
