"""The callers of the main job: requests by pycurl, answers checked whole."""

from io import BytesIO
from time import monotonic
from typing import NamedTuple

import pycurl
from msgspec import DecodeError, json

from cyclamenscale.util.curl import new_curl

#: Longer than any deadline of the run; a request without an answer by then
#: counts as lost.
CALL_TIMEOUT_MS = 30000


class CallResult(NamedTuple):
    """What a caller got for one request.

    :ivar class_name: class of the request.
    :ivar key: the caller's name for the request, its idempotency key.
    :ivar status: HTTP status, 0 without an answer.
    :ivar outcome: ``answered``, ``not_run``, ``unknown`` or ``lost``.
    :ivar own: whether an answer belongs to the request and is complete.
    :ivar wait_ms: time that the request waited for a slot.
    :ivar total_ms: time until the answer.
    :ivar request_id: id that the entry gave the request.
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
    """Send one request and check its answer.

    :param address: ``host:port`` of an entry's caller server.
    :param number: number of the request; makes its key and its path.
    :param demo_class: its class, with ``name`` and ``repeatable``.
    :param run_ms: how long the stand-in endpoint runs it.
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
    """Return whether a body is the stand-in's whole answer to a request."""
    try:
        content = json.decode(body)
    except DecodeError:
        return False
    return (
        isinstance(content, dict)
        and content.get("target") == f"/{key}"
        and content.get("body") == key
    )
