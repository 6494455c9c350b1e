"""A small HTTP/1.1 server for the stand-ins, on the standard library."""

import json
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, NamedTuple


class Reply(NamedTuple):
    """A response; a status of 0 closes the connection without one."""

    status: int
    body: Any = None


class Handler(BaseHTTPRequestHandler):
    """Passes requests with JSON bodies to a function."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def serve(self) -> None:
        """Serve one request."""
        length = int(self.headers.get("Content-Length") or 0)
        data = self.rfile.read(length) if length else b""
        body = json.loads(data) if data else {}
        source = self.client_address[0]
        reply = self.server.handle(
            self.command, self.path, self.headers, body, source
        )
        if not reply.status:
            self.close_connection = True
            return
        text = json.dumps(reply.body).encode()
        self.send_response_only(reply.status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)
        self.wfile.flush()

    do_GET = do_POST = do_DELETE = serve  # noqa: N815

    def log_message(self, *args) -> None:
        """Write no access log."""

    def handle(self) -> None:
        """Serve a connection until it breaks."""
        try:
            super().handle()
        except OSError:
            self.close_connection = True


class HttpServer(ThreadingHTTPServer):
    """A server with one thread for each connection."""

    daemon_threads = True
    request_queue_size = 256
    handle: Callable[..., Reply]

    def handle_error(self, request, client_address) -> None:
        """Ignore a connection that broke."""


class Server:
    """Serves a function at a free loopback port.

    :param handle: called with method, path, headers, body and the source
        address of each request.
    """

    def __init__(self, handle: Callable[..., Reply], host="127.0.0.1"):
        """Start to serve."""
        self.server = HttpServer((host, 0), Handler)
        self.server.handle = handle
        thread = threading.Thread(
            target=self.server.serve_forever, args=(0.05,), daemon=True
        )
        thread.start()

    @property
    def address(self) -> str:
        """Return its ``host:port``."""
        host, port = self.server.server_address
        return f"{host}:{port}"
