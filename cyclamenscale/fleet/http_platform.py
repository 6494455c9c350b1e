"""Platform adapter for a JSON interface over HTTP.

``GET /v1/instances`` returns the lagging list of instances,
``GET /v1/instances/NAME/status`` the current state of one instance, and
``POST /v1/instances/NAME/reboot`` reboots one; its body holds the version,
the action id and the fencing token.
"""

from io import BytesIO
from threading import Lock
from urllib.parse import quote

import pycurl
from msgspec import DecodeError, ValidationError, convert, json

from cyclamenscale.errors import (
    NotFoundError,
    PlatformUnavailableError,
    StaleFenceError,
)
from cyclamenscale.fleet.ports import (
    InstanceStatus,
    Platform,
    PlatformInstance,
    platform_adapter,
)
from cyclamenscale.settings import Settings
from cyclamenscale.util.curl import new_curl


@platform_adapter("http")
class HttpPlatform(Platform):
    """Client of a platform that is an HTTP server.

    Thread-safe. Each call opens its own connection, because a middlebox may
    have dropped the state of an idle one.

    :param settings: settings of the entry.
    """

    def __init__(self, settings: Settings):
        """Initialise with no cached list."""
        self.settings = settings.platform
        # Guards cached_list.
        self.lock = Lock()
        # Entity tag and content of the last list; replaced as a whole.
        self.cached_list: tuple[str, list[PlatformInstance]] = ("", [])

    def list_instances(self) -> list[PlatformInstance]:
        """Read the lagging list of instances.

        The request is conditional (RFC 9110, If-None-Match), because the
        list is the largest message that an idle entry receives.
        """
        with self.lock:
            etag, cached = self.cached_list
        status, body, new_etag = self.fetch(
            "list_instances", "GET", "/v1/instances", etag=etag
        )
        if status == 304 and etag:
            return cached
        if status != 200:
            raise PlatformUnavailableError("list_instances", f"HTTP {status}")
        found = [
            decode(each, PlatformInstance, "list_instances")
            for each in parse(body, list, "list_instances")
        ]
        with self.lock:
            self.cached_list = (new_etag, found)
        return found

    def status(self, instance: str) -> InstanceStatus:
        """Read the current state of one instance."""
        path = f"/v1/instances/{quote(instance, safe='')}/status"
        status, body = self.call("status", "GET", path)
        if status == 404:
            raise NotFoundError("instance", instance)
        if status != 200:
            raise PlatformUnavailableError("status", f"HTTP {status}")
        return decode(parse(body, dict, "status"), InstanceStatus, "status")

    def reboot(
        self, instance: str, version: str, action_id: str, fence: int
    ) -> None:
        """Reboot an instance, with another version if one is given."""
        path = f"/v1/instances/{quote(instance, safe='')}/reboot"
        fields = {"version": version, "action_id": action_id, "fence": fence}
        status, _ = self.call("reboot", "POST", path, json.encode(fields))
        if status == 404:
            raise NotFoundError("instance", instance)
        if status == 409:
            raise StaleFenceError(action_id.partition("/")[0], fence)
        if status != 200:
            raise PlatformUnavailableError("reboot", f"HTTP {status}")

    def call(
        self, operation: str, method: str, path: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Send one request.

        :returns: HTTP status and body.
        :raises PlatformUnavailableError: if no complete response arrives.
        """
        return self.fetch(operation, method, path, body)[:2]

    def fetch(
        self,
        operation: str,
        method: str,
        path: str,
        body: bytes = b"",
        etag: str = "",
    ) -> tuple[int, bytes, str]:
        """Send one request, conditional if an entity tag is given.

        :param operation: name of the operation, for errors.
        :param etag: entity tag of the cached response, or empty.
        :returns: HTTP status, body and entity tag of the response.
        :raises PlatformUnavailableError: if no complete response arrives.
        """
        received = BytesIO()
        etags = [""]

        def on_header(line: bytes) -> None:
            name, _, value = line.decode("latin-1").partition(":")
            if name.strip().lower() == "etag":
                etags[0] = value.strip()

        timeout_ms = int(self.settings.call_timeout_s * 1000)
        url = f"http://{self.settings.address}{path}"
        curl = new_curl(url, timeout_ms)
        try:
            curl.setopt(pycurl.CUSTOMREQUEST, method)
            curl.setopt(pycurl.CONNECTTIMEOUT_MS, timeout_ms)
            curl.setopt(pycurl.WRITEFUNCTION, received.write)
            if body:
                curl.setopt(pycurl.POSTFIELDS, body)
            condition = [f"If-None-Match: {etag}"] if etag else []
            curl.setopt(pycurl.HTTPHEADER, ["Expect:", *condition])
            curl.setopt(pycurl.HEADERFUNCTION, on_header)
            curl.perform()
            status = curl.getinfo(pycurl.RESPONSE_CODE)
            return status, received.getvalue(), etags[0]
        except pycurl.error as error:
            reason = error.args[1] if len(error.args) > 1 else "no answer"
            raise PlatformUnavailableError(operation, reason) from error
        finally:
            curl.close()


def parse(body: bytes, kind: type, operation: str):
    """Decode the JSON body of a response.

    :raises PlatformUnavailableError: if it is not JSON of the given type.
    """
    try:
        return json.decode(body, type=kind)
    except (DecodeError, ValidationError) as error:
        raise PlatformUnavailableError(operation, "malformed") from error


def decode(fields: dict, kind: type, operation: str):
    """Convert a JSON object to a record; unknown fields are ignored.

    :raises PlatformUnavailableError: if a required field is missing or a
        field has the wrong type.
    """
    try:
        present = {key: fields[key] for key in kind._fields if key in fields}
        return convert(list(kind(**present)), kind)
    except (TypeError, ValidationError) as error:
        raise PlatformUnavailableError(operation, str(error)) from error
