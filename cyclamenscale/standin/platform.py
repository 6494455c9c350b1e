"""Stand-in for the platform's HTTP API."""

from collections.abc import Callable
from threading import Lock

from werkzeug.wrappers import Request, Response

from cyclamenscale.errors import (
    FieldError,
    NotFoundError,
    PlatformUnavailableError,
    StaleFenceError,
)
from cyclamenscale.fleet.ports import PlatformInstance
from cyclamenscale.standin.fleet import MemoryPlatform
from cyclamenscale.standin.http import (
    HttpServer,
    connection_dropped,
    json_response,
)
from cyclamenscale.util.clock import Clock, monotonic
from cyclamenscale.util.codec import from_json

THREADS = 8


class PlatformServer:
    """Serves a :class:`MemoryPlatform` over HTTP.

    :param address: ``host:port``; port 0 selects a free port.
    :param clock: time in seconds, for the delay of the list and the reboots.
    :param lag_s: delay until a change appears in the list.
    :param reboot_s: duration of a reboot.

    :ivar slow_s: delay of each response, in seconds.
    :ivar count_running: functions that return the number of requests that an
        instance runs, by its name.
    """

    def __init__(
        self,
        address: str = "127.0.0.1:0",
        clock: Clock = monotonic,
        lag_s: float = 0.5,
        reboot_s: float = 1.0,
    ):
        """Bind the address without listening."""
        # Guards memory, which has no lock of its own.
        self.lock = Lock()
        self.memory = MemoryPlatform(clock, reboot_s, lag_s)
        self.slow_s = 0.0
        self.count_running: dict[str, Callable[[], int]] = {}
        self.http = HttpServer(self.handle, address, THREADS)

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return self.http.address

    def start(self) -> None:
        """Serve requests in the background."""
        self.http.start()

    def stop(self) -> None:
        """Stop the server and release the port."""
        self.http.stop()

    def down(self, refuse: bool = False) -> None:
        """Start an outage; the state is kept.

        :param refuse: refuse connections; otherwise respond with 503.
        """
        self.memory.down = True
        if refuse:
            self.http.suspend()

    def up(self) -> None:
        """End an outage; the address stays the same."""
        self.memory.down = False
        self.http.start()

    def add(
        self,
        listed: PlatformInstance,
        running: Callable[[], int] | None = None,
    ) -> None:
        """Add a running instance.

        :param listed: instance as it appears in the list.
        :param running: returns the number of requests that it runs, which a
            reboot records as cut.
        """
        with self.lock:
            self.memory.add(listed)
            if running is not None:
                self.count_running[listed.name] = running

    def remove(self, name: str) -> None:
        """Remove an instance."""
        with self.lock:
            del self.memory.instances[name]
            self.count_running.pop(name, None)

    def set_leaving(self, name: str, leaving: bool) -> None:
        """Set whether the list shows an instance as leaving."""
        with self.lock:
            found = self.memory.instances[name]
            found.listed = found.listed._replace(leaving=leaving)

    def handle(self, request: Request) -> Response:
        """Handle one request."""
        if self.slow_s and self.http.closing.wait(self.slow_s):
            raise connection_dropped()
        # The server does not decode encoded slashes within a name.
        path = request.path.strip("/")
        parts = [part.replace("%2F", "/") for part in path.split("/")]
        try:
            with self.lock:
                return self.serve(parts, request)
        except (FieldError, TypeError) as error:
            return json_response({"error": str(error)}, 400)
        except PlatformUnavailableError as error:
            return json_response({"error": str(error)}, 503)
        except StaleFenceError as error:
            return json_response({"error": str(error)}, 409)
        except NotFoundError as error:
            return json_response({"error": str(error)}, 404)

    def serve(self, parts: list[str], request: Request) -> Response:
        """Execute the call that a path names.

        :raises TypeError: if the body lacks a field or has an unknown one.
        """
        if parts == ["v1", "instances"]:
            response = json_response(self.memory.list_instances())
            response.add_etag()
            return response.make_conditional(request)
        if len(parts) == 4 and parts[2] in self.count_running:
            found = self.memory.instances[parts[2]]
            found.in_progress = self.count_running[parts[2]]()
        if len(parts) == 4 and parts[3] == "status":
            return json_response(self.memory.status(parts[2]))
        if len(parts) == 4 and parts[3] == "reboot":
            fields = from_json(request.get_data(), "body")
            self.memory.status(parts[2])
            self.memory.reboot(parts[2], **fields)
            return json_response({})
        return json_response({"error": "no such path"}, 404)
