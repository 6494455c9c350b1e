"""Stand-in of the platform over HTTP."""

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
    """Serves a :class:`MemoryPlatform`.

    :param address: ``host:port``; port 0 takes one from the system.
    :param clock: moves the list's lag and the reboots.
    :param lag_s: how long a change takes to show in the list.
    :param reboot_s: how long a reboot takes.

    :ivar slow_s: delay of each answer, in seconds.
    :ivar running: counts the requests that an instance runs, by its name.
    """

    def __init__(
        self,
        address: str = "127.0.0.1:0",
        clock: Clock = monotonic,
        lag_s: float = 0.5,
        reboot_s: float = 1.0,
    ):
        """Bind the address; :meth:`start` begins to serve."""
        # Guards memory, which has no lock of its own.
        self.lock = Lock()
        self.memory = MemoryPlatform(clock, reboot_s, lag_s)
        self.slow_s = 0.0
        self.running: dict[str, Callable[[], int]] = {}
        self.http = HttpServer(self.handle, address, THREADS)

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return self.http.address

    def start(self) -> None:
        """Serve in the background."""
        self.http.start()

    def stop(self) -> None:
        """Stop for good."""
        self.http.stop()

    def down(self, refuse: bool = False) -> None:
        """Begin an outage; the state is kept.

        :param refuse: refuse connections; else answer with 503.
        """
        self.memory.down = True
        if refuse:
            self.http.suspend()

    def up(self) -> None:
        """End an outage, at the same address."""
        self.memory.down = False
        self.http.start()

    def add(
        self,
        listed: PlatformInstance,
        running: Callable[[], int] | None = None,
    ) -> None:
        """Add an instance that is up.

        :param listed: as the list shows it.
        :param running: counts the requests it runs; a reboot counts them
            as cut.
        """
        with self.lock:
            self.memory.add(listed)
            if running is not None:
                self.running[listed.name] = running

    def remove(self, name: str) -> None:
        """Remove an instance."""
        with self.lock:
            del self.memory.instances[name]
            self.running.pop(name, None)

    def set_leaving(self, name: str, leaving: bool) -> None:
        """List an instance as leaving, or no longer."""
        with self.lock:
            found = self.memory.instances[name]
            found.listed = found.listed._replace(leaving=leaving)

    def handle(self, request: Request) -> Response:
        """Answer one call."""
        if self.slow_s and self.http.closing.wait(self.slow_s):
            raise connection_dropped()
        # The server leaves encoded slashes within a name as they are.
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
        """Make the call of a path.

        :raises TypeError: if the body lacks a field or has another one.
        """
        if parts == ["v1", "instances"]:
            answer = json_response(self.memory.list_instances())
            answer.add_etag()
            return answer.make_conditional(request)
        if len(parts) == 4 and parts[2] in self.running:
            found = self.memory.instances[parts[2]]
            found.in_progress = self.running[parts[2]]()
        if len(parts) == 4 and parts[3] == "status":
            return json_response(self.memory.status(parts[2]))
        if len(parts) == 4 and parts[3] == "reboot":
            fields = from_json(request.get_data(), "body")
            self.memory.status(parts[2])
            self.memory.reboot(parts[2], **fields)
            return json_response({})
        return json_response({"error": "no such path"}, 404)
