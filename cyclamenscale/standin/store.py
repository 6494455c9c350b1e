"""Stand-in of the platform's key-value service over HTTP.

It serves the subset of the published JSON gateway of etcd v3 that
:mod:`cyclamenscale.store.etcd` uses, and makes faults on command.
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

# Each open watch holds a thread: 64 watches and 16 calls at once.
THREADS = 80
PROGRESS_S = 0.5
# A muted watch holds its thread although its client may have left.
MUTE_LIMIT_S = 20.0

FAULT_TYPES = {
    "down": bool,
    "slow_s": (int, float),
    "lose_next": int,
    "lose_share": (int, float),
    "mute_watches": bool,
    "expire_leases": bool,
}


class StoreServer:
    """The stand-in store as a server.

    :param address: ``host:port``; port 0 takes one from the system.
    :param clock: measures the leases' time to live.
    :param threads: how many calls and watches are served at once.
    """

    def __init__(
        self,
        address: str = "127.0.0.1:0",
        clock: Clock = monotonic,
        threads: int = THREADS,
    ):
        """Bind the address; :meth:`start` begins to serve."""
        self.state = StoreState(clock)
        self.faults = StoreFaults(self.state)
        self.http = HttpServer(self.handle, address, threads)

    @property
    def address(self) -> str:
        """Return ``host:port``; it stays the same for good."""
        return self.http.address

    def start(self) -> None:
        """Serve in the background."""
        self.http.start()

    def stop(self) -> None:
        """Stop for good."""
        self.end_watches()
        self.http.stop()

    def down(self, refuse: bool = False) -> None:
        """Begin an outage; the state is kept.

        :param refuse: refuse connections; else answer calls with 503
            before they have an effect, and end open watches.
        """
        self.faults.set(down=True)
        if refuse:
            self.end_watches()
            self.http.suspend()

    def up(self) -> None:
        """End an outage, at the same address."""
        self.faults.set(down=False)
        self.http.start()

    def end_watches(self) -> None:
        """Wake the threads of open watches, so that they end."""
        self.http.closing.set()
        with self.state.changed:
            self.state.changed.notify_all()

    def handle(self, request: Request) -> Response:
        """Answer one request."""
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
            return json_response(gateway.refusal(error), error.status)

    def serve(self, path: str, body: dict) -> Response:
        """Make a call of the gateway under the faults."""
        if path != "/v3/watch" and path not in gateway.CALLS:
            raise RequestRefusedError("Not Found", code=5, status=404)
        if self.faults.slow_s and self.http.closing.wait(self.faults.slow_s):
            raise connection_dropped()
        if self.faults.down:
            raise RequestRefusedError(
                "etcdserver: no leader", code=14, status=503
            )
        if path == "/v3/watch":
            return Response(
                self.watch(*gateway.watch_start(self.state, body)),
                content_type="application/json",
            )
        answer = gateway.CALLS[path](self.state, body)
        if path in gateway.WRITES and self.faults.should_lose_response():
            raise connection_dropped()
        return json_response(answer)

    def watch(
        self, key: bytes, range_end: bytes, revision: int
    ) -> Iterator[bytes]:
        """Yield the messages of a watch, one JSON text a line."""
        yield line(
            gateway.watch_message(self.state.revision, [], created=True)
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
                    message = gateway.watch_message(
                        self.state.revision,
                        [],
                        canceled=True,
                        compact_revision=str(error.revision),
                    )
                    break
            revision = max(revision, current + 1)
            if events or time.monotonic() >= progress_at_s:
                yield line(gateway.watch_message(current, events))
                progress_at_s = time.monotonic() + PROGRESS_S
        yield line(message)

    def wait_for_change(self, revision: int, until_s: float) -> None:
        """Wait until there are events, a fault, or progress is due."""
        while not (
            self.state.revision >= revision
            or self.faults.down
            or self.faults.mute_watches
            or self.http.closing.is_set()
        ):
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                return
            self.state.changed.wait(left_s)

    def wait_while_muted(self) -> None:
        """Hold back messages while watches are muted."""
        if not self.faults.mute_watches:
            return
        self.state.changed.wait_for(
            lambda: (
                self.faults.down
                or self.http.closing.is_set()
                or not self.faults.mute_watches
            ),
            MUTE_LIMIT_S,
        )
        if self.faults.mute_watches:
            raise connection_dropped()

    def end_if_down(self) -> None:
        """Cut the stream when the store goes down."""
        if self.faults.down or self.http.closing.is_set():
            raise connection_dropped()

    def change_faults(self, body: dict) -> Response:
        """Change the faults that the body names.

        ``down`` answers calls with 503 here: refused connections would also
        refuse the request that ends the outage.
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


def line(message: dict) -> bytes:
    """Encode a message of a stream."""
    return to_json(message) + b"\n"
