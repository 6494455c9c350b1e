"""HTTP calls of the event loop's thread, by libcurl's multi interface."""

import selectors
import socket
from collections.abc import Callable
from concurrent.futures import Future
from io import BytesIO
from typing import NamedTuple

import pycurl

from cyclamenscale.errors import CallNotSentError, CallUnansweredError
from cyclamenscale.util.loop import Loop, Timer

#: Connections to one server; an executor takes 64 from all entries.
HOST_CONNECTIONS = 8

#: Connections kept open in all.
CONNECTIONS = 400

#: A connection that takes longer counts as refused; nothing was sent.
CONNECT_TIMEOUT_MS = 400

#: Idle handles that are kept for the next calls.
HANDLES = 200

#: Unacknowledged data end a connection after this time.
USER_TIMEOUT_MS = 3000

TCP_USER_TIMEOUT = 18


class HttpResponse(NamedTuple):
    """An HTTP answer.

    :ivar status: status code.
    :ivar body: the whole body.
    """

    status: int
    body: bytes


class Pending(NamedTuple):
    """A call in progress.

    :ivar outcome: gets the answer.
    :ivar body: the answer's body so far.
    """

    outcome: Future
    body: BytesIO


def open_socket(purpose: int, address: tuple) -> socket.socket:
    """Open a socket that gives silent connections up.

    libcurl has no option for ``TCP_USER_TIMEOUT``.
    """
    family, kind, protocol, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return sock


class HttpClient:
    """Makes calls without blocking; belongs to the loop's thread.

    :param loop: the loop that its sockets are registered with.
    """

    def __init__(self, loop: Loop):
        """Open the multi handle."""
        self.loop = loop
        self.timer: Timer | None = None
        self.pending: dict[pycurl.Curl, Pending] = {}
        self.idle: list[pycurl.Curl] = []
        self.calls = 0
        multi = pycurl.CurlMulti()
        multi.setopt(pycurl.M_SOCKETFUNCTION, self.watch_socket)
        multi.setopt(pycurl.M_TIMERFUNCTION, self.set_timer)
        multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, HOST_CONNECTIONS)
        multi.setopt(pycurl.M_MAXCONNECTS, CONNECTIONS)
        self.multi = multi

    def request(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: tuple[str, ...] = (),
        timeout_ms: int = 1000,
        fresh: bool = False,
    ) -> Future:
        """Make a call.

        :param method: HTTP method.
        :param url: address with path and query.
        :param body: JSON body of a POST.
        :param headers: further header lines.
        :param timeout_ms: bound on the whole call.
        :param fresh: open a new connection.
        :returns: an :class:`Answer`; fails with :class:`CallNotSentError`
            if the server can't have read the call, and with
            :class:`CallUnansweredError` if it may have.
        """
        curl = self.idle.pop() if self.idle else new_handle()
        received = BytesIO()
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
        curl.setopt(pycurl.WRITEDATA, received)
        curl.setopt(pycurl.FRESH_CONNECT, 1 if fresh else 0)
        if method == "GET":
            curl.setopt(pycurl.HTTPGET, 1)
        else:
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.POSTFIELDS, body or b"")
        if method not in ("GET", "POST"):
            curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(
            pycurl.HTTPHEADER,
            ["Content-Type: application/json", "Expect:", *headers],
        )
        outcome: Future = Future()
        self.pending[curl] = Pending(outcome, received)
        self.calls += 1
        self.multi.add_handle(curl)
        return outcome

    def watch_socket(self, what: int, fd: int, multi, data) -> None:
        """Register, change or drop a socket as libcurl asks."""
        selector = self.loop.selector
        if what == pycurl.POLL_REMOVE:
            if fd in selector.get_map():
                selector.unregister(fd)
            return
        events = 0
        if what & pycurl.POLL_IN:
            events |= selectors.EVENT_READ
        if what & pycurl.POLL_OUT:
            events |= selectors.EVENT_WRITE
        ready = self.on_ready(fd)
        if fd in selector.get_map():
            selector.modify(fd, events, ready)
        else:
            selector.register(fd, events, ready)

    def on_ready(self, fd: int) -> Callable[[int], None]:
        """Return the handler of one socket."""

        def handle(mask: int) -> None:
            flags = 0
            if mask & selectors.EVENT_READ:
                flags |= pycurl.CSELECT_IN
            if mask & selectors.EVENT_WRITE:
                flags |= pycurl.CSELECT_OUT
            self.multi.socket_action(fd, flags)
            self.collect()

        return handle

    def set_timer(self, timeout_ms: int) -> None:
        """Set libcurl's one timer; below 0 there is none."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if timeout_ms >= 0:
            self.timer = self.loop.call_later(
                timeout_ms / 1000, self.on_timeout
            )

    def on_timeout(self) -> None:
        """Tell libcurl that its timer has run out."""
        self.timer = None
        self.multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self.collect()

    def collect(self) -> None:
        """Settle the calls that have ended."""
        more = 1
        while more:
            more, ended, failed = self.multi.info_read()
            for curl in ended:
                status = curl.getinfo(pycurl.RESPONSE_CODE)
                pending = self.release(curl)
                answer = HttpResponse(status, pending.body.getvalue())
                pending.outcome.set_result(answer)
            for curl, code, text in failed:
                sent = code != pycurl.E_COULDNT_CONNECT and (
                    curl.getinfo(pycurl.REQUEST_SIZE) > 0
                )
                pending = self.release(curl)
                kind = CallUnansweredError if sent else CallNotSentError
                pending.outcome.set_exception(kind(text or str(code)))

    def release(self, curl: pycurl.Curl) -> Pending:
        """Take a handle out of the multi handle and keep it for reuse."""
        self.multi.remove_handle(curl)
        pending = self.pending.pop(curl)
        if len(self.idle) < HANDLES:
            curl.unsetopt(pycurl.CUSTOMREQUEST)
            self.idle.append(curl)
        return pending


def new_handle() -> pycurl.Curl:
    """Make a handle with the options that all calls share."""
    curl = pycurl.Curl()
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
    curl.setopt(pycurl.OPENSOCKETFUNCTION, open_socket)
    curl.setopt(pycurl.TCP_NODELAY, 1)
    return curl
