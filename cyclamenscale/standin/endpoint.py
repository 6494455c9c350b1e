"""Stand-in for an endpoint: an HTTP/1.1 server on plain sockets.

It uses plain sockets because some faults close a connection at a given byte.
Each connection has its own thread. Faults are injected by setting attributes
or by requests to ``/fault/NAME/VALUE``.
"""

import socket
import time
from collections import Counter, deque
from contextlib import suppress
from threading import Condition, Event, Lock, Thread
from typing import NamedTuple

from cyclamenscale.util.codec import to_json

MAX_LOGGED_RUNS = 100_000
MAX_CONNECTIONS = 1024

#: Ways to end a response early.
EARLY_ENDS = ("", "length", "chunked", "unanswered")


class RunRecord(NamedTuple):
    """A request that the endpoint has started to run.

    :ivar request_id: header ``Cyclamen-Request``.
    :ivar key: header ``Idempotency-Key``.
    :ivar target: path and query.
    :ivar connection: number of the connection it arrived on.
    :ivar started_s: time when it got a slot.
    """

    request_id: str
    key: str
    target: str
    connection: int
    started_s: float


class StandinEndpoint:
    """An endpoint with slots, injectable faults and a log of its runs.

    :param name: name of the instance.
    :param slots: requests that run concurrently; others queue in arrival
        order.
    :param address: ``host:port``; port 0 selects a free port.

    :ivar log: requests that have started to run, oldest first.
    :ivar leaving: refuse new requests as leaving.
    :ivar drop: close each new connection before reading from it.
    :ivar fail: respond to each request with status 500.
    :ivar slow_ms: added to each run time.
    :ivar die: end responses early, one of ``EARLY_ENDS``.
    :ivar die_on_reuse: run the second request of a connection, then close
        the connection without a response.
    """

    def __init__(
        self, name: str = "endpoint", slots: int = 8, address="127.0.0.1:0"
    ):
        """Bind the address, with no faults active."""
        self.name = name
        self.slots = slots
        host, _, port = address.rpartition(":")
        self.listener = socket.create_server((host, int(port)), backlog=256)
        self.address = "{}:{}".format(*self.listener.getsockname()[:2])
        self.log: deque[RunRecord] = deque(maxlen=MAX_LOGGED_RUNS)
        self.leaving = False
        self.drop = False
        self.fail = False
        self.slow_ms = 0
        self.die = ""
        self.die_on_reuse = False
        # Guards log, running, waiting, connections, silent, refused.
        self.changed = Condition(Lock())
        self.running = 0
        self.waiting: deque[object] = deque()
        self.connections: dict[int, socket.socket] = {}
        self.silent: set[int] = set()
        self.accepted = 0
        self.refused = 0
        self.stopped = Event()

    def start(self) -> None:
        """Serve connections in background threads."""
        Thread(target=self.accept, name=self.name, daemon=True).start()

    def stop(self) -> None:
        """Close the listener and all connections, like a killed process."""
        self.stopped.set()
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        with self.changed:
            for connection in self.connections.values():
                with suppress(OSError):
                    connection.shutdown(socket.SHUT_RDWR)
            self.changed.notify_all()

    def go_silent(self) -> None:
        """Stop responding on the connections that are open now.

        The kernel still acknowledges data, which is the worst case of a
        half-open connection: only a timeout of the first byte detects it.
        """
        with self.changed:
            self.silent |= set(self.connections)

    def close_connections(self) -> None:
        """Close all open connections."""
        with self.changed:
            for connection in self.connections.values():
                with suppress(OSError):
                    connection.shutdown(socket.SHUT_RDWR)

    def run_counts(self, key: str = "") -> Counter:
        """Count runs by request id, or the runs of one idempotency key."""
        with self.changed:
            if key:
                return Counter(run.key for run in self.log if run.key == key)
            return Counter(run.request_id for run in self.log)

    def wait_for(self, condition, timeout_s: float = 10.0) -> bool:
        """Wait for a condition on the state; return whether it holds."""
        with self.changed:
            return self.changed.wait_for(condition, timeout_s)

    def accept(self) -> None:
        """Accept connections until the endpoint is stopped."""
        while not self.stopped.is_set():
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with self.changed:
                full = len(self.connections) >= MAX_CONNECTIONS
                self.accepted += 1
                number = self.accepted
                if not (self.drop or full):
                    self.connections[number] = connection
                self.changed.notify_all()
            if self.drop or full:
                connection.close()
                continue
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            Thread(
                target=self.serve, args=(number, connection), daemon=True
            ).start()

    def serve(self, number: int, connection: socket.socket) -> None:
        """Serve one connection."""
        reader = connection.makefile("rb")
        count = 0
        try:
            while not self.stopped.is_set():
                request = read_request(reader)
                if request is None:
                    return
                count += 1
                if not self.handle(number, connection, request, count):
                    return
        except (OSError, ValueError):
            return
        finally:
            with self.changed:
                self.connections.pop(number, None)
                self.silent.discard(number)
                self.changed.notify_all()
            reader.close()
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
            connection.close()

    def handle(self, number, connection, request, count: int) -> bool:
        """Handle one request.

        :returns: whether the connection stays open.
        """
        method, target, headers, body = request
        if target.startswith("/fault/"):
            self.inject_fault(target)
            connection.sendall(encode_response(200, b"", {}))
            return True
        if target in ("/probe", "/health"):
            status = 503 if self.leaving else 200
            connection.sendall(
                encode_response(status, b"", refusal_headers(self.leaving))
            )
            return True
        with self.changed:
            if number in self.silent:
                self.changed.wait_for(
                    lambda: self.stopped.is_set() or number not in self.silent
                )
                return False
        if self.leaving:
            with self.changed:
                self.refused += 1
            connection.sendall(
                encode_response(503, b"", refusal_headers(True))
            )
            return True
        self.run(number, target, headers)
        if self.die_on_reuse and count > 1:
            return False
        status = 500 if self.fail else 200
        content = to_json(
            {
                "endpoint": self.name,
                "request": headers.get("cyclamen-request", ""),
                "method": method,
                "target": target,
                "body": body.decode("latin-1"),
                "headers": headers,
            }
        )
        if self.die == "unanswered":
            return False
        echoed = {"Cyclamen-Request": headers.get("cyclamen-request", "")}
        if self.die:
            complete = encode_response(
                status, content, echoed, self.die == "chunked"
            )
            # Truncate the response within the body.
            connection.sendall(complete[: -len(content) // 2])
            return False
        chunked = headers.get("x-chunked") == "1"
        encoded = encode_response(status, content, echoed, chunked)
        if method == "HEAD":
            encoded = encoded[: encoded.index(b"\r\n\r\n") + 4]
        connection.sendall(encoded)
        return True

    def run(self, number: int, target: str, headers: dict[str, str]) -> None:
        """Wait for a slot in arrival order and occupy it for the run time."""
        ticket = object()
        with self.changed:
            self.waiting.append(ticket)
            self.changed.wait_for(
                lambda: (
                    self.stopped.is_set()
                    or (
                        self.waiting[0] is ticket and self.running < self.slots
                    )
                )
            )
            self.waiting.remove(ticket)
            if self.stopped.is_set():
                raise OSError("stopped")
            self.running += 1
            self.log.append(
                RunRecord(
                    headers.get("cyclamen-request", ""),
                    headers.get("idempotency-key", ""),
                    target,
                    number,
                    time.monotonic(),
                )
            )
            self.changed.notify_all()
        try:
            run_ms = float(headers.get("x-run-ms", "0")) + self.slow_ms
            self.stopped.wait(run_ms / 1000)
        finally:
            with self.changed:
                self.running -= 1
                self.changed.notify_all()

    def inject_fault(self, target: str) -> None:
        """Set a fault by its path, ``/fault/NAME/VALUE``."""
        _, _, name, value = (target + "/").split("/")[:4]
        if name == "silent":
            self.go_silent()
        elif name == "close":
            self.close_connections()
        elif name in ("leaving", "drop", "fail", "die_on_reuse"):
            setattr(self, name, value == "1")
        elif name == "slow_ms":
            self.slow_ms = int(value)
        elif name == "die" and value in EARLY_ENDS:
            self.die = value
        else:
            raise ValueError(f"no fault {name!r} with value {value!r}")


def refusal_headers(leaving: bool) -> dict[str, str]:
    """Return the headers of a refused request."""
    if not leaving:
        return {}
    return {"Cyclamen-Refused": "1", "Cyclamen-Leaving": "1"}


def read_request(reader):
    """Read one request with its body.

    :returns: method, target, headers by lower-case name, and body; None if
        the connection was closed.
    """
    line = reader.readline(65536)
    if not line.endswith(b"\r\n"):
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers: dict[str, str] = {}
    while (line := reader.readline(65536)) != b"\r\n":
        if not line:
            return None
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = reader.read(length)
    if len(body) < length:
        return None
    return method, target, headers, body


def encode_response(
    status: int, body: bytes, headers: dict[str, str], chunked: bool = False
) -> bytes:
    """Encode a response with a content length or chunked."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items() if value]
    if chunked:
        lines.append("Transfer-Encoding: chunked")
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    else:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
