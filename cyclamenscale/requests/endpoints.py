"""HTTP client for endpoints: connection reuse and response checks.

A connection belongs to one :class:`Channel`, and a channel belongs to one
endpoint. Idle channels are kept in a stack per endpoint. Their number is
bounded by the number of concurrent requests at the endpoint, and thereby by
its slots.
"""

from threading import Lock
from typing import NamedTuple

import pycurl

from cyclamenscale.errors import EndpointError, EndpointRefusedError
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import Endpoint
from cyclamenscale.requests.channel import Channel, Exchange
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock, monotonic

Headers = tuple[tuple[str, str], ...]

# RFC 9110, section 7.6.1.
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# Headers that the client sets itself.
CLIENT_HEADERS = frozenset(
    ("host", "content-length", "expect", "cyclamen-request")
)

# Idle channels kept per endpoint. An endpoint has about 8 slots.
IDLE_CHANNELS_LIMIT = 64

CURL_REASONS = {
    pycurl.E_COULDNT_CONNECT: "connect_failed",
    pycurl.E_PARTIAL_FILE: "answer_truncated",
    pycurl.E_GOT_NOTHING: "connection_closed",
    pycurl.E_SEND_ERROR: "send_failed",
    pycurl.E_RECV_ERROR: "receive_failed",
    pycurl.E_OPERATION_TIMEDOUT: "timeout",
    pycurl.E_ABORTED_BY_CALLBACK: "reused_connection_closed",
    pycurl.E_WRITE_ERROR: "answer_too_large",
}


class EndpointRequest(NamedTuple):
    """A request as it is sent to an endpoint.

    :ivar request_id: unique id, sent as ``Cyclamen-Request``.
    :ivar method: HTTP method.
    :ivar target: path and query, starting with a slash.
    :ivar headers: headers of the caller, in order.
    :ivar body: the whole body.
    """

    request_id: str
    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""


class EndpointResponse(NamedTuple):
    """A complete response of an endpoint.

    :ivar status: HTTP status.
    :ivar headers: end-to-end headers, in order.
    :ivar body: the whole body.
    """

    status: int
    headers: Headers
    body: bytes


def strip_hop_by_hop(headers: Headers) -> Headers:
    """Drop hop-by-hop headers, those named by ``Connection`` included."""
    dropped = set(HOP_BY_HOP)
    for name, value in headers:
        if name.lower() == "connection":
            dropped.update(part.strip().lower() for part in value.split(","))
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )


def get_header(headers: Headers, name: str) -> str:
    """Return the first header of that name, or an empty string."""
    wanted = name.lower()
    for key, value in headers:
        if key.lower() == wanted:
            return value
    return ""


class EndpointClient:
    """Sends requests to endpoints.

    :param settings: settings of the entry.
    :param metrics: counters.
    :param clock: monotonic seconds.
    """

    def __init__(
        self, settings: Settings, metrics: Metrics, clock: Clock = monotonic
    ):
        """Initialise with no connections."""
        self.settings = settings.endpoints
        self.metrics = metrics
        self.clock = clock
        # Guards idle, last_sweep_s.
        self.lock = Lock()
        self.last_sweep_s = clock()
        self.idle: dict[str, list[Channel]] = {}

    def call(
        self,
        endpoint: Endpoint,
        request: EndpointRequest,
        new_connection: bool,
        first_byte_timeout_s: float | None,
        timeout_s: float,
    ) -> EndpointResponse:
        """Send a request and read the whole response.

        :param endpoint: where to send it.
        :param request: what to send.
        :param new_connection: use a new connection, and close it afterwards.
        :param first_byte_timeout_s: how long to wait for the first byte of
            the response on a reused connection, which may be half-open; None
            for no timeout. It doesn't apply to a new connection, so that a
            slow request that timed out once doesn't time out again.
        :param timeout_s: timeout of the whole exchange.
        :returns: the complete response.
        :raises EndpointRefusedError: if the endpoint refused the request
            without running it.
        :raises EndpointError: if there is no complete response.
        """
        channel = None if new_connection else self.check_out(endpoint.address)
        if channel is None:
            channel = Channel(self.settings, self.clock)
        exchange = Exchange(self.settings.answer_limit_bytes)
        keep = False
        try:
            self.set_options(
                channel, exchange, endpoint, request, new_connection, timeout_s
            )
            read_timeout_s = first_byte_timeout_s if channel.was_used else None
            code = channel.run(exchange, read_timeout_s)
            if code:
                reason = self.failure_reason(channel, exchange, code)
                if channel.was_used:
                    # The other idle connections share the middlebox and
                    # the endpoint process, and are likely dead as well.
                    self.close_idle(endpoint.address)
                raise EndpointError(endpoint.name, reason, exchange.sent)
            response = self.check_response(
                endpoint, request, channel, exchange
            )
            keep = not new_connection
        except EndpointError as error:
            self.metrics.incr(f"endpoints.{error.reason}")
            raise
        finally:
            if keep:
                self.check_in(endpoint.address, channel)
            else:
                channel.close()
        if response.status == 503 and get_header(
            response.headers, "Cyclamen-Refused"
        ):
            leaving = get_header(response.headers, "Cyclamen-Leaving") == "1"
            self.metrics.incr("endpoints.refused")
            raise EndpointRefusedError(endpoint.name, leaving)
        return response

    def set_options(
        self,
        channel: Channel,
        exchange: Exchange,
        endpoint: Endpoint,
        request: EndpointRequest,
        new_connection: bool,
        timeout_s: float,
    ) -> None:
        """Set all curl options; ``reset`` keeps the connection open."""
        sent_headers = [
            f"{name}: {value}" if value else f"{name};"
            for name, value in strip_hop_by_hop(request.headers)
            if name.lower() not in CLIENT_HEADERS
        ]
        sent_headers += [f"Cyclamen-Request: {request.request_id}", "Expect:"]
        curl = channel.curl
        curl.reset()
        for option, value in (
            (pycurl.URL, f"http://{endpoint.address}{request.target}"),
            (pycurl.PATH_AS_IS, 1),
            (pycurl.PROTOCOLS, pycurl.PROTO_HTTP),
            (pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1),
            (pycurl.FOLLOWLOCATION, 0),
            (pycurl.PROXY, ""),
            (pycurl.NOPROXY, "*"),
            (pycurl.NETRC, 0),
            (pycurl.NOSIGNAL, 1),
            (pycurl.HTTP_CONTENT_DECODING, 0),
            (pycurl.MAXCONNECTS, 1),
            (pycurl.FRESH_CONNECT, int(new_connection)),
            (pycurl.FORBID_REUSE, int(new_connection)),
            (pycurl.MAXAGE_CONN, max(1, int(self.settings.reuse_idle_s))),
            (
                pycurl.CONNECTTIMEOUT_MS,
                int(self.settings.connect_timeout_s * 1000),
            ),
            (pycurl.TIMEOUT_MS, max(1, int(timeout_s * 1000))),
            (pycurl.OPENSOCKETFUNCTION, channel.open_socket),
            (pycurl.PREREQFUNCTION, exchange.before_send),
            (pycurl.HEADERFUNCTION, exchange.on_header),
            (pycurl.WRITEFUNCTION, exchange.on_body),
        ):
            curl.setopt(option, value)
        if request.method == "HEAD":
            curl.setopt(pycurl.NOBODY, 1)
        elif request.body or request.method in ("POST", "PUT", "PATCH"):
            curl.setopt(pycurl.POSTFIELDS, request.body)
            curl.setopt(pycurl.CUSTOMREQUEST, request.method)
            if not get_header(request.headers, "Content-Type"):
                # libcurl would send the content type of a form.
                sent_headers.append("Content-Type:")
        else:
            curl.setopt(pycurl.CUSTOMREQUEST, request.method)
        for name in ("Accept", "User-Agent"):
            if not get_header(request.headers, name):
                sent_headers.append(f"{name}:")
        curl.setopt(pycurl.HTTPHEADER, sent_headers)

    @staticmethod
    def failure_reason(channel: Channel, exchange: Exchange, code: int) -> str:
        """Return the reason why a transfer failed."""
        if exchange.first_byte_timed_out:
            return "first_byte_timeout"
        if exchange.blocked_resends or (
            # libcurl tried to resend, and could not reconnect.
            channel.was_used
            and exchange.sent
            and code == pycurl.E_COULDNT_CONNECT
        ):
            return "reused_connection_closed"
        if exchange.body_too_large:
            return "answer_too_large"
        if not exchange.sent and code == pycurl.E_OPERATION_TIMEDOUT:
            return "connect_timeout"
        return CURL_REASONS.get(code, f"curl_{code}")

    def check_response(
        self,
        endpoint: Endpoint,
        request: EndpointRequest,
        channel: Channel,
        exchange: Exchange,
    ) -> EndpointResponse:
        """Check that the response is complete and is for this request.

        :raises EndpointError: if it is incomplete or for another request.
        """
        status = channel.curl.getinfo(pycurl.RESPONSE_CODE)
        headers = tuple(exchange.headers)
        body = b"".join(exchange.body_parts)
        length = get_header(headers, "Content-Length")
        transfer_coding = get_header(headers, "Transfer-Encoding").lower()
        without_body = request.method == "HEAD" or status in (204, 304)
        if status < 200:
            raise EndpointError(endpoint.name, "answer_invalid", True)
        if not without_body and not transfer_coding:
            # Without a length, the end of the connection ends the body,
            # which cannot be distinguished from a crash.
            if not length.isdigit() or int(length) != len(body):
                raise EndpointError(endpoint.name, "answer_truncated", True)
        elif not without_body and transfer_coding != "chunked":
            raise EndpointError(endpoint.name, "answer_truncated", True)
        echoed = get_header(headers, "Cyclamen-Request")
        if echoed and echoed != request.request_id:
            raise EndpointError(endpoint.name, "answer_mismatch", True)
        return EndpointResponse(status, strip_hop_by_hop(headers), body)

    def check_out(self, address: str) -> Channel | None:
        """Take the most recently used idle channel of an endpoint."""
        now_s = self.clock()
        stale: list[Channel] = []
        candidate = None
        with self.lock:
            stack = self.idle.get(address, [])
            if stack:
                candidate = stack.pop()
                if now_s - candidate.idle_since_s > self.settings.reuse_idle_s:
                    # The channels below it have been idle for longer.
                    stale = [candidate, *stack]
                    stack.clear()
                    candidate = None
            if not stack:
                self.idle.pop(address, None)
        for channel in stale:
            channel.close()
        return candidate

    def check_in(self, address: str, channel: Channel) -> None:
        """Keep a channel for the next request."""
        channel.was_used = True
        now_s = channel.idle_since_s = self.clock()
        with self.lock:
            stack = self.idle.setdefault(address, [])
            full = len(stack) >= IDLE_CHANNELS_LIMIT
            if not full:
                stack.append(channel)
            due = now_s - self.last_sweep_s > self.settings.reuse_idle_s
            if due:
                self.last_sweep_s = now_s
        if full:
            channel.close()
        if due:
            # Channels to replaced instances are never checked out again.
            self.close_expired()

    def close_idle(self, address: str) -> None:
        """Close the idle channels of an endpoint."""
        with self.lock:
            stack = self.idle.pop(address, [])
        for channel in stack:
            channel.close()

    def close_expired(self) -> None:
        """Close channels that were idle for longer than ``reuse_idle_s``."""
        oldest_s = self.clock() - self.settings.reuse_idle_s
        stale: list[Channel] = []
        with self.lock:
            for address, stack in list(self.idle.items()):
                kept = [c for c in stack if c.idle_since_s >= oldest_s]
                stale += [c for c in stack if c.idle_since_s < oldest_s]
                if kept:
                    self.idle[address] = kept
                else:
                    del self.idle[address]
        for channel in stale:
            channel.close()

    def close(self) -> None:
        """Close all idle channels."""
        with self.lock:
            stacks = list(self.idle.values())
            self.idle = {}
        for stack in stacks:
            for channel in stack:
                channel.close()
