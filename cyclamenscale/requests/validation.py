"""Requests of callers: types, validation and digest."""

from collections.abc import Callable
from typing import NamedTuple

from xxhash import xxh3_128_hexdigest

from cyclamenscale.errors import BadRequestError, RequestError
from cyclamenscale.model import ConfigView, RequestClass
from cyclamenscale.requests.endpoints import (
    EndpointResponse,
    Headers,
    get_header,
)

IDEMPOTENCY_KEY_LIMIT = 255
DEADLINE_LIMIT_MS = 7 * 24 * 3600 * 1000

TOKEN_CHARACTERS = frozenset("!#$%&'*+-.^_`|~")

# The digest covers the headers that change the meaning of a request. Other
# headers may differ when a caller repeats a request.
DIGEST_HEADERS = ("Content-Type", "Content-Encoding")


class CallerRequest(NamedTuple):
    """A request of a caller, with its whole body.

    :ivar method: HTTP method.
    :ivar target: path and query as they were sent.
    :ivar headers: headers in order.
    :ivar body: the whole body.
    :ivar is_disconnected: returns whether the caller has disconnected.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""
    is_disconnected: Callable[[], bool] = lambda: False


class RequestResult(NamedTuple):
    """Result of a request; exactly one of ``response`` and ``error`` is set.

    :ivar request_id: id of the request.
    :ivar outcome: ``answered``, ``not_run`` or ``unknown``.
    :ivar wait_ms: time spent waiting for slots, in milliseconds.
    :ivar response: the endpoint's response.
    :ivar error: why there is no response.
    """

    request_id: str
    outcome: str
    wait_ms: int
    response: EndpointResponse | None = None
    error: RequestError | None = None


class RequestParams(NamedTuple):
    """Validated parameters of a request.

    :ivar request_class: class of the request.
    :ivar deadline_ms: time from arrival to the deadline, in milliseconds.
    :ivar key: idempotency key, empty if there is none.
    :ivar digest: digest that identifies a repeated request.
    """

    request_class: RequestClass
    deadline_ms: int
    key: str
    digest: str


def check_request(request: CallerRequest, view: ConfigView) -> RequestParams:
    """Validate a request against the configuration.

    :param request: the request.
    :param view: the applied configuration.
    :raises BadRequestError: naming the first invalid part of the request.
    """
    if not request.method or not all(
        char in TOKEN_CHARACTERS or (char.isascii() and char.isalnum())
        for char in request.method
    ):
        raise BadRequestError("method", request.method[:40], "an HTTP token")
    if not request.target.startswith("/") or not all(
        "!" <= char <= "~" for char in request.target
    ):
        raise BadRequestError(
            "target", request.target[:80], "a path of visible ASCII signs"
        )
    for name, value in request.headers:
        if any(char in "\r\n\0" for char in name + value):
            raise BadRequestError(name[:40], value[:80], "one line")
    for name in (
        "Cyclamen-Class",
        "Cyclamen-Deadline-Ms",
        "Idempotency-Key",
    ):
        found = [v for k, v in request.headers if k.lower() == name.lower()]
        if len(found) > 1:
            raise BadRequestError(name, found[:2], "at most one value")
    class_name = get_header(request.headers, "Cyclamen-Class")
    request_class = view.classes.get(class_name)
    if request_class is None:
        raise BadRequestError(
            "Cyclamen-Class", class_name[:80], "the name of a class"
        )
    key = get_header(request.headers, "Idempotency-Key")
    if len(key) > IDEMPOTENCY_KEY_LIMIT or not all(
        " " <= char <= "~" for char in key
    ):
        raise BadRequestError(
            "Idempotency-Key",
            key[:80],
            f"at most {IDEMPOTENCY_KEY_LIMIT} visible ASCII signs",
        )
    if not key and not request_class.repeatable:
        raise BadRequestError(
            "Idempotency-Key", key, f"a key, as {class_name} is not repeatable"
        )
    return RequestParams(
        request_class,
        check_deadline(request, request_class),
        key,
        digest(request),
    )


def check_deadline(request: CallerRequest, request_class: RequestClass) -> int:
    """Return the deadline in milliseconds from the request's arrival."""
    text = get_header(request.headers, "Cyclamen-Deadline-Ms")
    if not text:
        return request_class.finish_within_ms
    # isdecimal() also accepts the digits of other scripts.
    if not (text.isascii() and text.isdecimal() and len(text) < 12) or not (
        1 <= int(text) <= DEADLINE_LIMIT_MS
    ):
        raise BadRequestError(
            "Cyclamen-Deadline-Ms", text[:40], f"1 to {DEADLINE_LIMIT_MS}"
        )
    return int(text)


def digest(request: CallerRequest) -> str:
    """Return a digest of method, target, content headers and body."""
    parts = [request.method, request.target]
    parts += [get_header(request.headers, name) for name in DIGEST_HEADERS]
    head = "\n".join(parts).encode("latin-1", "replace")
    return xxh3_128_hexdigest(head + b"\n\n" + request.body)
