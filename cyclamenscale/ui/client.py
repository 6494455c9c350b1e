"""Client for the operators' HTTP interface of the entries."""

import os
import secrets
import time
from collections.abc import Callable
from io import BytesIO
from typing import Any, NamedTuple
from urllib.parse import urlencode

import pycurl

from cyclamenscale.errors import (
    FieldError,
    OutcomeUnknownError,
    ServerFaultError,
    UnreachableError,
)
from cyclamenscale.settings_schema import is_address
from cyclamenscale.util.codec import from_json, to_json
from cyclamenscale.util.curl import new_curl
from cyclamenscale.util.faults import deserialize_errors

ADDRESS_VARIABLE = "CYCLAMENSCALE_ENTRY"
OPERATOR_VARIABLE = "CYCLAMENSCALE_OPERATOR"

CONNECT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 15.0

# An entry reports the outcome of a change within 12 s by default, and 120 s
# is the highest value of freshness.accept_within_s.
CHANGE_TIMEOUT_S = 130.0

# Number of passes over the list of addresses for one change.
CHANGE_ROUNDS = 2

MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class Answer(NamedTuple):
    """The response of a server.

    :ivar status: HTTP status.
    :ivar body: decoded JSON, ``None`` if an error response has none.
    """

    status: int
    body: Any


class AttemptError(Exception):
    """A call ended without a complete response.

    :param reason: what went wrong.
    :param sent: whether a byte of the request may have reached the server.
    """

    def __init__(self, reason: str, sent: bool):
        """Store what decides whether the call may be repeated."""
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


def parse_addresses(text: str) -> list[str]:
    """Parse a list of ``HOST:PORT``, separated by commas.

    :raises FieldError: if an address is malformed or the list is empty.
    """
    parts = [part.strip() for part in text.split(",") if part.strip()]
    if not parts or not all(is_address(part, 1) for part in parts):
        raise FieldError(
            f"--entry or {ADDRESS_VARIABLE}",
            text,
            "HOST:PORT of an entry's operators' server, several separated "
            "by commas",
        )
    return parts


def check_text(field: str, text: str) -> str:
    """Check that a text is allowed in a header, and return it.

    :raises FieldError: if it contains unprintable characters.
    """
    if not text.isprintable():
        raise FieldError(field, text, "one line of printable characters")
    return text


def new_change_id() -> str:
    """Return a unique id; ids sort by time of creation."""
    return f"{int(time.time() * 1000):012x}-{secrets.token_hex(6)}"


def attempt(
    method: str,
    url: str,
    body: bytes | None,
    headers: list[str],
    timeout_s: float,
) -> Answer:
    """Call a server once, on a new connection.

    :raises AttemptError: if there is no complete response.
    """
    out = BytesIO()

    def receive(data: bytes) -> int | None:
        if out.tell() + len(data) > MAX_RESPONSE_BYTES:
            return 0
        out.write(data)
        return None

    curl = new_curl(url, int(timeout_s * 1000))
    try:
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, int(CONNECT_TIMEOUT_S * 1000))
        # libcurl retries a request on its own if a reused connection fails.
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.WRITEFUNCTION, receive)
        if body is not None:
            curl.setopt(pycurl.POSTFIELDS, body)
            headers = [*headers, "Content-Type: application/json"]
        lines = [*headers, "Expect:"]
        curl.setopt(pycurl.HTTPHEADER, [line.encode() for line in lines])
        try:
            curl.perform()
        except pycurl.error as error:
            sent = curl.getinfo(pycurl.REQUEST_SIZE) > 0
            raise AttemptError(error.args[1] or "no response", sent) from error
        status = curl.getinfo(pycurl.RESPONSE_CODE)
    finally:
        curl.close()
    try:
        return Answer(status, from_json(out.getvalue(), url))
    except FieldError as error:
        if status >= 300:
            return Answer(status, None)
        # libcurl accepts a response that ends within its headers as complete.
        raise AttemptError(
            "the response is truncated or not JSON", True
        ) from error


class Client:
    """Calls the first of several entries that responds.

    :param addresses: ``HOST:PORT`` of operators' servers.
    :param call: function that makes one call, by default :func:`attempt`.
    """

    def __init__(
        self, addresses: list[str], call: Callable[..., Answer] = attempt
    ):
        """Store the addresses and the function for calls."""
        self.addresses = addresses
        self.call = call

    def read(self, path: str) -> Any:
        """Read from the first entry that responds.

        :param path: path and query.
        :raises UserError: the error that the server returned.
        :raises UnreachableError: if no entry responds.
        """
        reason = ""
        for address in self.addresses:
            url = f"http://{address}{path}"
            try:
                response = self.call("GET", url, None, [], READ_TIMEOUT_S)
            except AttemptError as error:
                reason = error.reason
                continue
            last = address == self.addresses[-1]
            if response.status == 503 and not last:
                # The entry is busy, or its configuration is not fresh.
                reason = f"{address} returned 503"
                continue
            return self.checked(response, url)
        raise UnreachableError(", ".join(self.addresses), reason)

    def change(
        self,
        method: str,
        path: str,
        fields: dict[str, Any] | None = None,
        who: str = "",
        why: str = "",
        change_id: str = "",
        expected_revision: int | None = None,
        options: dict[str, str] | None = None,
    ) -> Any:
        """Make a change; retries have the same change id.

        :param method: ``PUT`` or ``DELETE``.
        :param path: path of the record.
        :param fields: the record's fields.
        :param who: the operator.
        :param why: the operator's reason.
        :param change_id: id of the change, by default a new one.
        :param expected_revision: revision that the record must have, 0 for a
            new record, ``None`` for any.
        :param options: further query parameters.
        :raises UserError: the error that the server returned.
        :raises UnreachableError: if the change was sent to no entry.
        :raises OutcomeUnknownError: if it was sent but got no response.
        """
        change_id = check_text("--change-id", change_id or new_change_id())
        headers = [
            f"Cyclamen-Operator: {check_text('--who', who)}",
            f"Cyclamen-Change: {change_id}",
        ]
        if expected_revision == 0:
            headers.append("If-None-Match: *")
        elif expected_revision is not None:
            headers.append(f'If-Match: "{expected_revision}"')
        path += "?" + urlencode({"why": why, **(options or {})})
        body = None if fields is None else to_json(fields)
        reason, sent = "", False
        for address in self.addresses * CHANGE_ROUNDS:
            url = f"http://{address}{path}"
            try:
                response = self.call(
                    method, url, body, headers, CHANGE_TIMEOUT_S
                )
            except AttemptError as error:
                reason, sent = error.reason, sent or error.sent
                continue
            if is_busy(response):
                reason = "the entry is busy"
                continue
            if sent and response.status >= 300:
                # Only the retry was refused; the first attempt may still take
                # effect at its entry.
                reason += f", and a retry returned status {response.status}"
                break
            return self.checked(response, url)
        if sent:
            raise OutcomeUnknownError(change_id, reason)
        raise UnreachableError(", ".join(self.addresses), reason)

    def checked(self, answer: Answer, url: str) -> Any:
        """Return the body of a successful response, or raise its error."""
        if answer.status < 300:
            return answer.body
        errors = listed_errors(answer)
        if not errors:
            raise ServerFaultError(url, answer.status, "no reason was given")
        raise deserialize_errors(errors, url, answer.status)


def is_busy(response: Answer) -> bool:
    """Return whether an overloaded server rejected a call unread."""
    return (
        response.status == 503
        and isinstance(response.body, dict)
        and response.body.get("outcome") == "not_run"
    )


def listed_errors(response: Answer) -> list[dict[str, Any]]:
    """Return the errors that a response lists, if any."""
    body = response.body if isinstance(response.body, dict) else {}
    return body.get("errors") or []


def open_client(entry: str) -> Client:
    """Create a client.

    :param entry: addresses from the command line, by default those of the
        environment variable.
    """
    return Client(
        parse_addresses(entry or os.environ.get(ADDRESS_VARIABLE, ""))
    )
