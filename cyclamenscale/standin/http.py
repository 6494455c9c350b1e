"""HTTP server of the stand-ins, with simulated outages."""

import errno
import socket
from collections.abc import Callable, Iterable
from threading import Event, Lock, Thread

from cheroot.wsgi import Server
from werkzeug.wrappers import Request, Response

from cyclamenscale.util.codec import to_json

Handler = Callable[[Request], Response]

MAX_BODY_BYTES = 16777216


class HttpServer:
    """A WSGI server that can be suspended and resumed at the same address.

    :param handler: handles one request; raises :func:`connection_dropped` to
        close the connection without a response.
    :param address: ``host:port``; port 0 selects a free port.
    :param threads: number of requests served concurrently.
    """

    def __init__(self, handler: Handler, address: str, threads: int):
        """Bind the address without listening."""
        self.handler = handler
        self.threads = threads
        host, _, port = address.rpartition(":")
        # A bound socket that never listens reserves the port while the server
        # is down: connections are refused and no other process can bind it.
        self.reserved_socket = socket.socket()
        self.reserved_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
        )
        self.reserved_socket.bind((host, int(port)))
        self.host, self.port = self.reserved_socket.getsockname()
        # Set during shutdown to end open streams.
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
        """Listen and serve requests in the background."""
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
            self.server.max_request_body_size = MAX_BODY_BYTES
            self.server.error_log = lambda *args, **options: None
            self.server.prepare()
            self.thread = Thread(
                target=self.server.serve, name="standin", daemon=True
            )
            self.thread.start()

    def suspend(self) -> None:
        """Refuse connections and close open ones; the port stays reserved."""
        with self.lock:
            if not self.server:
                return
            self.closing.set()
            self.server.stop()
            self.thread.join()
            self.server = None

    def stop(self) -> None:
        """Stop the server and release the port."""
        self.suspend()
        self.reserved_socket.close()

    def application(self, environ: dict, start_response) -> Iterable[bytes]:
        """Serve one request (WSGI application)."""
        return self.handler(Request(environ))(environ, start_response)


def connection_dropped() -> OSError:
    """Return the error that closes a connection without a response.

    The server closes a connection silently on a broken pipe.
    """
    return BrokenPipeError(errno.EPIPE, "connection dropped on command")


def json_response(content: object, status: int = 200) -> Response:
    """Create a JSON response from plain values or records."""
    return Response(to_json(content), status, content_type="application/json")
