"""Stand-in for the platform's key-value service over HTTP.

It serves the subset of etcd's v3 JSON gateway that
:mod:`cyclamenscale.store.etcd` uses, and injects faults on request.
"""

import time
from collections.abc import Iterator

from werkzeug.wrappers import Request, Response

from cyclamenscale.errors import CompactedError, FieldError
from cyclamenscale.standin import gateway
from cyclamenscale.standin.http import (
    HttpServer,
    connection_dropped,
    json_response,
)
from cyclamenscale.standin.state import (
    RequestRefusedError,
    StoreFaults,
    StoreState,
)
from cyclamenscale.util.clock import Clock, monotonic
from cyclamenscale.util.codec import from_json, to_json

# Each open watch occupies a thread: 64 watches and 16 concurrent calls.
THREADS = 80
PROGRESS_INTERVAL_S = 0.5
# A muted watch occupies its thread even if its client has disconnected.
MAX_MUTE_S = 20.0

FAULT_TYPES = {
    "down": bool,
    "slow_s": (int, float),
    "lose_next": int,
    "lose_share": (int, float),
    "mute_watches": bool,
    "expire_leases": bool,
}


class StoreServer:
    """Serves a :class:`StoreState` over HTTP.

    :param address: ``host:port``; port 0 selects a free port.
    :param clock: time in seconds, for the expiry of leases.
    :param threads: number of calls and watches served concurrently.
    """

    def __init__(
        self,
        address: str = "127.0.0.1:0",
        clock: Clock = monotonic,
        threads: int = THREADS,
    ):
        """Bind the address without listening."""
        self.state = StoreState(clock)
        self.faults = StoreFaults(self.state)
        self.http = HttpServer(self.handle, address, threads)

    @property
    def address(self) -> str:
        """Return ``host:port``, which stays the same across outages."""
        return self.http.address

    def start(self) -> None:
        """Serve requests in the background."""
        self.http.start()

    def stop(self) -> None:
        """Stop the server and release the port."""
        self.end_watches()
        self.http.stop()

    def down(self, refuse: bool = False) -> None:
        """Start an outage; the state is kept.

        :param refuse: refuse connections; otherwise respond to calls with
            503 before they take effect, and end open watches.
        """
        self.faults.set(down=True)
        if refuse:
            self.end_watches()
            self.http.suspend()

    def up(self) -> None:
        """End an outage; the address stays the same."""
        self.faults.set(down=False)
        self.http.start()

    def end_watches(self) -> None:
        """Wake up the threads of open watches so that they end."""
        self.http.closing.set()
        with self.state.changed:
            self.state.changed.notify_all()

    def handle(self, request: Request) -> Response:
        """Handle one request."""
        try:
            body = from_json(request.get_data(), request.path)
            if not isinstance(body, dict):
                raise RequestRefusedError("the body is not an object")
            if request.path == "/faults":
                return self.change_faults(body)
            return self.serve(request.path, body)
        except FieldError as error:
            return json_response({"error": str(error), "code": 3}, 400)
        except RequestRefusedError as error:
            return json_response(gateway.encode_error(error), error.status)

    def serve(self, path: str, body: dict) -> Response:
        """Execute a call of the gateway, subject to the active faults."""
        if path != "/v3/watch" and path not in gateway.HANDLERS:
            raise RequestRefusedError("Not Found", code=5, status=404)
        if self.faults.slow_s and self.http.closing.wait(self.faults.slow_s):
            raise connection_dropped()
        if self.faults.down:
            raise RequestRefusedError(
                "etcdserver: no leader", code=14, status=503
            )
        if path == "/v3/watch":
            return Response(
                self.watch(*gateway.decode_watch_request(self.state, body)),
                content_type="application/json",
            )
        response = gateway.HANDLERS[path](self.state, body)
        if path in gateway.WRITE_PATHS and self.faults.should_lose_response():
            raise connection_dropped()
        return json_response(response)

    def watch(
        self, key: bytes, range_end: bytes, revision: int
    ) -> Iterator[bytes]:
        """Yield the messages of a watch, one JSON document per line."""
        yield encode_line(
            gateway.encode_watch_message(self.state.revision, [], created=True)
        )
        progress_at_s = time.monotonic()
        while True:
            with self.state.changed:
                self.wait_for_change(revision, progress_at_s)
                self.wait_while_muted()
                self.end_if_down()
                try:
                    current, events = self.state.events_from(
                        key, range_end, revision
                    )
                except CompactedError as error:
                    message = gateway.encode_watch_message(
                        self.state.revision,
                        [],
                        canceled=True,
                        compact_revision=str(error.revision),
                    )
                    break
            revision = max(revision, current + 1)
            if events or time.monotonic() >= progress_at_s:
                yield encode_line(
                    gateway.encode_watch_message(current, events)
                )
                progress_at_s = time.monotonic() + PROGRESS_INTERVAL_S
        yield encode_line(message)

    def wait_for_change(self, revision: int, until_s: float) -> None:
        """Wait for events, a fault, or the next progress message."""
        while not (
            self.state.revision >= revision
            or self.faults.down
            or self.faults.mute_watches
            or self.http.closing.is_set()
        ):
            remaining_s = until_s - time.monotonic()
            if remaining_s <= 0:
                return
            self.state.changed.wait(remaining_s)

    def wait_while_muted(self) -> None:
        """Delay messages while watches are muted."""
        if not self.faults.mute_watches:
            return
        self.state.changed.wait_for(
            lambda: (
                self.faults.down
                or self.http.closing.is_set()
                or not self.faults.mute_watches
            ),
            MAX_MUTE_S,
        )
        if self.faults.mute_watches:
            raise connection_dropped()

    def end_if_down(self) -> None:
        """Close the stream if the store is down."""
        if self.faults.down or self.http.closing.is_set():
            raise connection_dropped()

    def change_faults(self, body: dict) -> Response:
        """Set the faults given in the body.

        ``down`` makes calls fail with 503 here: if connections were refused,
        so would be the request that ends the outage.
        """
        for name, value in body.items():
            if name not in FAULT_TYPES:
                allowed = ", ".join(FAULT_TYPES)
                raise FieldError("/faults", name, f"one of {allowed}")
            wrong_bool = isinstance(value, bool) != (FAULT_TYPES[name] is bool)
            if wrong_bool or not isinstance(value, FAULT_TYPES[name]):
                raise FieldError(
                    f"/faults {name}", value, "a value of the right type"
                )
        expire = body.pop("expire_leases", False)
        self.faults.set(**body)
        if expire:
            self.faults.expire_leases()
        return json_response(
            {
                name: getattr(self.faults, name)
                for name in FAULT_TYPES
                if name != "expire_leases"
            }
        )


def encode_line(message: dict) -> bytes:
    """Encode a message of a stream as a line of JSON."""
    return to_json(message) + b"\n"
