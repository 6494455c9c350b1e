"""Callers of the demonstration: send requests and check the responses."""

from io import BytesIO
from time import monotonic
from typing import NamedTuple

import pycurl
from msgspec import DecodeError, json

from cyclamenscale.util.curl import new_curl

#: Longer than any deadline of the requests; a request without a response by
#: then counts as lost.
CALL_TIMEOUT_MS = 30000


class CallResult(NamedTuple):
    """Outcome of one request, from the view of the caller.

    :ivar class_name: class of the request.
    :ivar key: name that the caller gives the request; its idempotency key.
    :ivar status: HTTP status, 0 without a response.
    :ivar outcome: ``answered``, ``not_run``, ``unknown`` or ``lost``.
    :ivar matches_request: whether the response is complete and belongs to
        this request.
    :ivar wait_ms: time that the request waited for a slot.
    :ivar total_ms: time until the response.
    :ivar request_id: id that the entry assigned to the request.
    """

    class_name: str
    key: str
    status: int
    outcome: str
    matches_request: bool
    wait_ms: float
    total_ms: float
    request_id: str


def call(address: str, number: int, demo_class, run_ms: int) -> CallResult:
    """Send one request and check its response.

    :param address: ``host:port`` of an entry's caller server.
    :param number: number of the request, part of its key and path.
    :param demo_class: its class, with ``name`` and ``repeatable``.
    :param run_ms: run time at the stand-in endpoint.
    """
    key = f"request-{number}"
    headers: dict[str, str] = {}
    body = BytesIO()

    def on_header(line: bytes) -> None:
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()

    curl = new_curl(f"http://{address}/{key}", CALL_TIMEOUT_MS)
    started_s = monotonic()
    try:
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.POSTFIELDS, key)
        curl.setopt(pycurl.HEADERFUNCTION, on_header)
        curl.setopt(pycurl.WRITEFUNCTION, body.write)
        lines = [f"Cyclamen-Class: {demo_class.name}", f"X-Run-Ms: {run_ms}"]
        if not demo_class.repeatable:
            lines.append(f"Idempotency-Key: {key}")
        curl.setopt(pycurl.HTTPHEADER, [*lines, "Expect:"])
        curl.perform()
        status = curl.getinfo(pycurl.RESPONSE_CODE)
    except pycurl.error:
        status = 0
    finally:
        curl.close()
    return CallResult(
        demo_class.name,
        key,
        status,
        headers.get("cyclamen-outcome", "lost") if status else "lost",
        is_expected_body(body.getvalue(), key),
        float(headers.get("cyclamen-wait-ms", "0")),
        (monotonic() - started_s) * 1000,
        headers.get("cyclamen-request", ""),
    )


def is_expected_body(body: bytes, key: str) -> bool:
    """Return whether a body is the complete response to a request."""
    try:
        content = json.decode(body)
    except DecodeError:
        return False
    return (
        isinstance(content, dict)
        and content.get("target") == f"/{key}"
        and content.get("body") == key
    )
