"""Stand-in of the platform over HTTP."""

import time

from werkzeug.wrappers import Request, Response

from cyclamenscale.errors import (
    NotFoundError,
    PlatformUnavailableError,
    StaleFenceError,
)
from cyclamenscale.platform import PlatformInstance
from cyclamenscale.standin.fleet import MemoryPlatform
from cyclamenscale.standin.http import HttpServer, json_response
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
    """

    def __init__(
        self,
        address: str = "127.0.0.1:0",
        clock: Clock = monotonic,
        lag_s: float = 0.5,
        reboot_s: float = 1.0,
    ):
        """Bind the address; :meth:`start` begins to serve."""
        self.memory = MemoryPlatform(clock, reboot_s, lag_s)
        self.slow_s = 0.0
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

    def add(self, listed: PlatformInstance) -> None:
        """Add an instance that is up."""
        self.memory.add(listed)

    def remove(self, name: str) -> None:
        """Remove an instance."""
        del self.memory.instances[name]

    def set_leaving(self, name: str, leaving: bool) -> None:
        """List an instance as leaving, or no longer."""
        found = self.memory.instances[name]
        found.listed = found.listed._replace(leaving=leaving)

    def handle(self, request: Request) -> Response:
        """Answer one call."""
        if self.slow_s:
            time.sleep(self.slow_s)
        parts = request.path.strip("/").split("/")
        try:
            if parts == ["v1", "instances"]:
                return json_response(self.memory.list_instances())
            if len(parts) == 4 and parts[3] == "status":
                return json_response(self.memory.status(parts[2]))
            if len(parts) == 4 and parts[3] == "reboot":
                fields = from_json(request.get_data(), "body")
                self.memory.status(parts[2])
                self.memory.reboot(parts[2], **fields)
                return json_response({})
        except PlatformUnavailableError as error:
            return json_response({"error": str(error)}, 503)
        except StaleFenceError as error:
            return json_response({"error": str(error)}, 409)
        except NotFoundError as error:
            return json_response({"error": str(error)}, 404)
        return json_response({"error": "no such path"}, 404)
