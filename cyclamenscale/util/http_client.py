"""Non-blocking HTTP client for the event loop, on libcurl's multi API."""

import selectors
import socket
from collections.abc import Callable
from concurrent.futures import Future
from io import BytesIO
from typing import NamedTuple

import pycurl

from cyclamenscale.errors import CallNotSentError, CallUnansweredError
from cyclamenscale.util.loop import Loop, Timer

#: Connections to one server; an executor accepts 64 from all entries.
MAX_HOST_CONNECTIONS = 8

#: Connections to all servers that are kept open for reuse.
MAX_CACHED_CONNECTIONS = 400

#: After this time a connection counts as refused, with nothing sent.
CONNECT_TIMEOUT_MS = 400

#: Idle handles kept for reuse.
MAX_IDLE_HANDLES = 200

#: A call that may take long fails once its response has been slower than
#: ``STALL_BYTES_PER_S`` for ``STALL_S``.
STALL_S = 1
STALL_BYTES_PER_S = 100

#: A connection is closed if sent data is unacknowledged for this time.
USER_TIMEOUT_MS = 3000

TCP_USER_TIMEOUT = 18

#: Header lines of all requests; a name alone removes libcurl's own header.
COMMON_HEADERS = (
    "Content-Type: application/json",
    "Expect:",
    "Accept:",
    "User-Agent:",
)


class HttpResponse(NamedTuple):
    """An HTTP response.

    :ivar status: status code.
    :ivar body: complete body.
    :ivar resent: whether libcurl repeated the request, as a reused
        connection broke; the server may have read both copies.
    """

    status: int
    body: bytes
    resent: bool = False


class HttpLoad(NamedTuple):
    """Calls of a client since the last reading.

    :ivar calls: calls made.
    :ivar pending: calls in progress now.
    :ivar unanswered: calls that ended without a response.
    :ivar connections: connections opened.
    :ivar sent_bytes: bytes of the requests of the calls that ended.
    :ivar received_bytes: bytes of the responses to them.
    """

    calls: int = 0
    pending: int = 0
    unanswered: int = 0
    connections: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


class PendingCall:
    """A call in progress.

    :ivar outcome: future of the response.
    :ivar body: part of the response body received so far.
    :ivar attempts: how often libcurl has begun to send the request.
    """

    __slots__ = ("attempts", "body", "outcome")

    def __init__(self):
        """Initialise with nothing sent."""
        self.outcome: Future = Future()
        self.body = BytesIO()
        self.attempts = 0

    def count_attempt(self, *addresses) -> int:
        """Count an attempt (libcurl's callback before each one)."""
        self.attempts += 1
        return pycurl.PREREQFUNC_OK


def open_socket(purpose: int, address: tuple) -> socket.socket:
    """Open a socket that closes unresponsive connections.

    libcurl has no option for ``TCP_USER_TIMEOUT``.
    """
    family, kind, protocol, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return sock


class HttpClient:
    """Makes calls without blocking; for use in the loop's thread only.

    :param loop: event loop that its sockets are registered with.
    """

    def __init__(self, loop: Loop):
        """Create the multi handle."""
        self.loop = loop
        self.timer: Timer | None = None
        self.pending: dict[pycurl.Curl, PendingCall] = {}
        self.idle: list[pycurl.Curl] = []
        self.calls = 0
        self.load = HttpLoad()
        multi = pycurl.CurlMulti()
        multi.setopt(pycurl.M_SOCKETFUNCTION, self.update_socket)
        multi.setopt(pycurl.M_TIMERFUNCTION, self.set_timer)
        multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, MAX_HOST_CONNECTIONS)
        multi.setopt(pycurl.M_MAXCONNECTS, MAX_CACHED_CONNECTIONS)
        self.multi = multi

    def request(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: tuple[str, ...] = (),
        timeout_ms: int = 1000,
        fresh: bool = False,
        detect_stall: bool = False,
    ) -> Future:
        """Make a call.

        :param method: HTTP method.
        :param url: URL with path and query.
        :param body: JSON body, not for a GET.
        :param headers: additional header lines.
        :param timeout_ms: timeout of the whole call.
        :param fresh: open a new connection.
        :param detect_stall: fail before the timeout if no data arrives.
        :returns: a future of an :class:`HttpResponse`; fails with
            :class:`CallNotSentError` if the server can't have read the
            request, and with :class:`CallUnansweredError` if it may have.
        """
        curl = self.idle.pop() if self.idle else new_handle()
        pending = PendingCall()
        try:
            curl.setopt(pycurl.URL, url)
            curl.setopt(pycurl.HTTPHEADER, [*COMMON_HEADERS, *headers])
        except (pycurl.error, ValueError) as error:
            pending.outcome.set_exception(CallNotSentError(str(error)))
            return pending.outcome
        curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
        curl.setopt(pycurl.WRITEDATA, pending.body)
        curl.setopt(pycurl.PREREQFUNCTION, pending.count_attempt)
        curl.setopt(pycurl.FRESH_CONNECT, 1 if fresh else 0)
        curl.setopt(pycurl.LOW_SPEED_TIME, STALL_S if detect_stall else 0)
        if method == "GET":
            curl.setopt(pycurl.HTTPGET, 1)
        else:
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.POSTFIELDS, body or b"")
        if method not in ("GET", "POST"):
            curl.setopt(pycurl.CUSTOMREQUEST, method)
        self.pending[curl] = pending
        self.calls += 1
        self.load = self.load._replace(calls=self.load.calls + 1)
        self.multi.add_handle(curl)
        return pending.outcome

    def update_socket(self, action: int, fd: int, multi, data) -> None:
        """Watch or unwatch a socket (libcurl's socket callback)."""
        selector = self.loop.selector
        if action == pycurl.POLL_REMOVE:
            if fd in selector.get_map():
                selector.unregister(fd)
            return
        events = 0
        if action & pycurl.POLL_IN:
            events |= selectors.EVENT_READ
        if action & pycurl.POLL_OUT:
            events |= selectors.EVENT_WRITE
        handle_ready = self.socket_handler(fd)
        if fd in selector.get_map():
            selector.modify(fd, events, handle_ready)
        else:
            selector.register(fd, events, handle_ready)

    def socket_handler(self, fd: int) -> Callable[[int], None]:
        """Return a callback that reports a ready socket to libcurl."""

        def handle(mask: int) -> None:
            flags = 0
            if mask & selectors.EVENT_READ:
                flags |= pycurl.CSELECT_IN
            if mask & selectors.EVENT_WRITE:
                flags |= pycurl.CSELECT_OUT
            self.multi.socket_action(fd, flags)
            self.finish_calls()

        return handle

    def set_timer(self, timeout_ms: int) -> None:
        """Replace libcurl's only timer; a negative timeout removes it."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if timeout_ms >= 0:
            self.timer = self.loop.call_later(
                timeout_ms / 1000, self.on_timeout
            )

    def on_timeout(self) -> None:
        """Notify libcurl that its timer has expired."""
        self.timer = None
        self.multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self.finish_calls()

    def finish_calls(self) -> None:
        """Set the outcomes of the calls that have ended."""
        remaining = 1
        while remaining:
            remaining, ended, failed = self.multi.info_read()
            for curl in ended:
                status = curl.getinfo(pycurl.RESPONSE_CODE)
                pending = self.release(curl)
                response = HttpResponse(
                    status, pending.body.getvalue(), pending.attempts > 1
                )
                pending.outcome.set_result(response)
            for curl, code, text in failed:
                self.load = self.load._replace(
                    unanswered=self.load.unanswered + 1
                )
                # Counts all attempts of libcurl, which repeats a request if
                # a reused connection breaks before the response.
                sent = curl.getinfo(pycurl.REQUEST_SIZE) > 0
                pending = self.release(curl)
                error_type = CallUnansweredError if sent else CallNotSentError
                pending.outcome.set_exception(error_type(text or str(code)))

    def release(self, curl: pycurl.Curl) -> PendingCall:
        """Remove a handle from the multi handle and keep it for reuse."""
        self.record_traffic(curl)
        self.multi.remove_handle(curl)
        pending = self.pending.pop(curl)
        if len(self.idle) < MAX_IDLE_HANDLES:
            curl.unsetopt(pycurl.CUSTOMREQUEST)
            self.idle.append(curl)
        return pending

    def record_traffic(self, curl: pycurl.Curl) -> None:
        """Add the traffic of a call that has ended to the load."""
        load = self.load
        # Headers and bodies of all attempts.
        sent_bytes = curl.getinfo(pycurl.REQUEST_SIZE)
        headers_bytes = curl.getinfo(pycurl.HEADER_SIZE)
        received_bytes = headers_bytes + curl.getinfo(pycurl.SIZE_DOWNLOAD_T)
        self.load = load._replace(
            connections=load.connections + curl.getinfo(pycurl.NUM_CONNECTS),
            sent_bytes=load.sent_bytes + sent_bytes,
            received_bytes=load.received_bytes + received_bytes,
        )

    def take_load(self) -> HttpLoad:
        """Return the load since the last call."""
        load = self.load._replace(pending=len(self.pending))
        self.load = HttpLoad()
        return load


def new_handle() -> pycurl.Curl:
    """Create a handle with the options common to all calls."""
    curl = pycurl.Curl()
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
    curl.setopt(pycurl.LOW_SPEED_LIMIT, STALL_BYTES_PER_S)
    curl.setopt(pycurl.OPENSOCKETFUNCTION, open_socket)
    curl.setopt(pycurl.TCP_NODELAY, 1)
    return curl
