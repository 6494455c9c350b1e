"""HTTP interface for callers: a WSGI application on werkzeug."""

from collections.abc import Callable, Iterable
from math import ceil
from urllib.parse import urlsplit

from werkzeug.exceptions import HTTPException, RequestEntityTooLarge
from werkzeug.http import HTTP_STATUS_CODES
from werkzeug.wrappers import Request

from cyclamenscale.errors import (
    BadRequestError,
    KeyPendingError,
    KeyReusedError,
    NotRunError,
    RequestError,
)
from cyclamenscale.metrics import Metrics
from cyclamenscale.requests.dispatch import Dispatcher, FreshnessPort
from cyclamenscale.requests.endpoints import EndpointResponse, Headers
from cyclamenscale.requests.validation import CallerRequest, RequestResult
from cyclamenscale.server import IS_DISCONNECTED_KEY
from cyclamenscale.settings import Settings
from cyclamenscale.util.codec import to_json

HEALTH_PATH = "/health"

# Headers that the entry sets itself; an endpoint's values are dropped.
ENTRY_HEADERS = frozenset(
    ("content-length", "cyclamen-outcome", "cyclamen-request")
    + ("cyclamen-wait-ms", "cyclamen-refused", "cyclamen-leaving")
)


def http_status(error: RequestError) -> int:
    """Return the HTTP status for an error."""
    if isinstance(error, BadRequestError):
        return 400
    if isinstance(error, KeyReusedError):
        return 422
    if isinstance(error, KeyPendingError):
        return 409
    if isinstance(error, NotRunError):
        return 503
    return 504


def error_body(request_id: str, error: RequestError) -> bytes:
    """Return the JSON body for an error."""
    return to_json(
        {
            "outcome": error.outcome,
            "reason": error.reason,
            "message": error.message,
            "request": request_id,
            "retry_after_s": error.retry_after_s,
        }
    )


class CallerApp:
    """WSGI application for callers.

    :param settings: settings of the entry.
    :param dispatcher: handles the requests.
    :param freshness: reports whether this entry may admit work.
    :param metrics: counters.

    :ivar ready: set to false when a shutdown begins: ``/health`` then
        returns 503, so that the load balancer stops using this entry, while
        requests are still admitted.
    """

    def __init__(
        self,
        settings: Settings,
        dispatcher: Dispatcher,
        freshness: FreshnessPort,
        metrics: Metrics,
    ):
        """Initialise as ready."""
        self.settings = settings
        self.dispatcher = dispatcher
        self.freshness = freshness
        self.metrics = metrics
        self.ready = True

    def __call__(
        self, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        """Handle one HTTP request."""
        request = Request(environ)
        if request.path == HEALTH_PATH:
            status, headers, body = self.health()
        else:
            try:
                caller_request = self.read_request(request)
            except RequestError as error:
                result = RequestResult("", error.outcome, 0, None, error)
            else:
                result = self.dispatcher.handle(caller_request)
            status, headers, body = render(result, request.method)
        self.metrics.incr(f"callers.status.{status}")
        names = {name.lower() for name, _ in headers}
        if "content-length" not in names and status not in (204, 304):
            headers += (("Content-Length", str(len(body))),)
        phrase = HTTP_STATUS_CODES.get(status, "Unknown")
        start_response(f"{status} {phrase}", list(headers))
        return [] if request.method == "HEAD" else [body]

    def health(self) -> tuple[int, Headers, bytes]:
        """Respond to the health check of the load balancer."""
        reason = ""
        if not self.ready or self.dispatcher.shutting_down:
            reason = "shutting_down"
        elif not self.freshness.may_admit():
            reason = "not_fresh"
        body = to_json({"admitting": not reason, "reason": reason})
        headers = (
            ("Content-Type", "application/json"),
            ("Cache-Control", "no-store"),
        )
        return 503 if reason else 200, headers, body

    def read_request(self, request: Request) -> CallerRequest:
        """Read a request with its whole body.

        :raises BadRequestError: if the body is too large or incomplete, or
            the target is not a path.
        """
        limit_bytes = self.settings.callers.body_limit_bytes
        request.max_content_length = limit_bytes
        length = request.content_length
        try:
            body = request.get_data(cache=False)
        except RequestEntityTooLarge as error:
            raise BadRequestError(
                "body", f"{length} bytes", f"at most {limit_bytes} bytes"
            ) from error
        except (HTTPException, OSError, ValueError) as error:
            raise BadRequestError("body", "incomplete", "all of it") from error
        if length is not None and len(body) != length:
            raise BadRequestError("body", len(body), f"{length} bytes")
        environ = request.environ
        target = environ.get("REQUEST_URI") or request.full_path
        if not target.startswith("/"):
            parts = urlsplit(target)
            target = (parts.path or "/") + (
                "?" + parts.query if parts.query else ""
            )
        return CallerRequest(
            request.method,
            target,
            tuple(request.headers.items()),
            body,
            environ.get(IS_DISCONNECTED_KEY, lambda: False),
        )


def render(result: RequestResult, method: str) -> tuple[int, Headers, bytes]:
    """Return the status, headers and body of a result."""
    headers = [
        ("Cyclamen-Request", result.request_id),
        ("Cyclamen-Outcome", result.outcome),
        ("Cyclamen-Wait-Ms", str(result.wait_ms)),
    ]
    if result.response is not None:
        return render_response(result.response, headers, method)
    error = result.error
    if error.retry_after_s is not None:
        # Retry-After takes whole seconds; the body has the exact value.
        seconds = max(1, ceil(error.retry_after_s))
        headers.append(("Retry-After", str(seconds)))
    headers.append(("Content-Type", "application/json"))
    body = error_body(result.request_id, error)
    return http_status(error), tuple(headers), body


def render_response(
    response: EndpointResponse, headers: list[tuple[str, str]], method: str
) -> tuple[int, Headers, bytes]:
    """Return an endpoint's response with the entry's headers added."""
    for name, value in response.headers:
        own = name.lower() in ENTRY_HEADERS
        # A response to HEAD has the length of the body that is not sent.
        if not own or (method == "HEAD" and name.lower() == "content-length"):
            headers.append((name, value))
    return response.status, tuple(headers), response.body
