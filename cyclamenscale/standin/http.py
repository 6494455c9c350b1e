"""Serving of the stand-ins over HTTP, with outages on command."""

import errno
import socket
from collections.abc import Callable, Iterable
from threading import Event, Lock, Thread

from cheroot.wsgi import Server
from werkzeug.wrappers import Request, Response

from cyclamenscale.util.codec import to_json

Handler = Callable[[Request], Response]

BODY_LIMIT_BYTES = 16777216


class HttpServer:
    """A WSGI server that can go down and come back at the same address.

    :param handler: answers one request; it raises :func:`dropped` to close
        the connection without an answer.
    :param address: ``host:port``; port 0 takes one from the system.
    :param threads: how many requests are served at once.
    """

    def __init__(self, handler: Handler, address: str, threads: int):
        """Bind the address; nothing listens yet."""
        self.handler = handler
        self.threads = threads
        host, _, port = address.rpartition(":")
        # A bound socket that never listens keeps the port while the server
        # is down: connections are refused and nobody else gets the port.
        self.reservation = socket.socket()
        self.reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reservation.bind((host, int(port)))
        self.host, self.port = self.reservation.getsockname()
        # Set while the server goes down, so that open streams end.
        self.closing = Event()
        # Guards server, thread.
        self.lock = Lock()
        self.server: Server | None = None
        self.thread: Thread | None = None

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"

    def start(self) -> None:
        """Listen and serve in the background."""
        with self.lock:
            if self.server:
                return
            self.closing.clear()
            self.server = Server(
                (self.host, self.port),
                self.application,
                numthreads=self.threads,
                max=self.threads,
                request_queue_size=128,
            )
            self.server.expiration_interval = 0.05
            self.server.keep_alive_conn_limit = 256
            self.server.max_request_body_size = BODY_LIMIT_BYTES
            self.server.error_log = lambda *args, **options: None
            self.server.prepare()
            self.thread = Thread(
                target=self.server.serve, name="standin", daemon=True
            )
            self.thread.start()

    def suspend(self) -> None:
        """Refuse connections and close the open ones; keep the port."""
        with self.lock:
            if not self.server:
                return
            self.closing.set()
            self.server.stop()
            self.thread.join()
            self.server = None

    def stop(self) -> None:
        """Stop for good and release the port."""
        self.suspend()
        self.reservation.close()

    def application(self, environ: dict, start_response) -> Iterable[bytes]:
        """Serve one request (WSGI)."""
        return self.handler(Request(environ))(environ, start_response)


def connection_dropped() -> OSError:
    """Return the error that closes a connection without an answer.

    The server ends a connection silently on a broken pipe.
    """
    return BrokenPipeError(errno.EPIPE, "connection dropped on command")


def json_response(content: object, status: int = 200) -> Response:
    """Make a response out of plain values or records."""
    return Response(to_json(content), status, content_type="application/json")
