"""One HTTP connection to an endpoint, driven through pycurl.

A channel is a curl handle with its own multi handle. The multi interface is
used because libcurl's blocking call has no timeout for the first byte of a
response, and reports progress only once a second.
"""

import select
import socket
from contextlib import suppress

import pycurl

from cyclamenscale.settings import EndpointsSettings
from cyclamenscale.util.clock import Clock

# Unanswered keep-alive probes after which the kernel closes a connection.
KEEPALIVE_PROBES = 3


class Channel:
    """One connection to one endpoint, used for one request at a time.

    :param settings: ``[endpoints]``.
    :param clock: monotonic seconds.
    :ivar socket_events: poll events to wait for, by file descriptor.
    :ivar timer_at_s: when libcurl's timer expires, None if it is not set.
    :ivar was_used: whether the channel has completed a request.
    :ivar idle_since_s: when the last request ended.
    """

    def __init__(self, settings: EndpointsSettings, clock: Clock):
        """Create the handles; the first request opens the connection."""
        self.settings = settings
        self.clock = clock
        self.curl = pycurl.Curl()
        self.multi = pycurl.CurlMulti()
        self.multi.setopt(pycurl.M_SOCKETFUNCTION, self.on_socket)
        self.multi.setopt(pycurl.M_TIMERFUNCTION, self.on_timer)
        self.socket_events: dict[int, int] = {}
        self.timer_at_s: float | None = None
        self.was_used = False
        self.idle_since_s = 0.0

    def on_socket(self, what: int, fd: int, multi, data) -> None:
        """Record which events libcurl waits for on a socket."""
        if what == pycurl.POLL_REMOVE:
            self.socket_events.pop(fd, None)
            return
        events = 0
        if what in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            events |= select.POLLIN
        if what in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            events |= select.POLLOUT
        self.socket_events[fd] = events

    def on_timer(self, timeout_ms: int) -> None:
        """Record when libcurl's timer expires."""
        self.timer_at_s = (
            None if timeout_ms < 0 else self.clock() + timeout_ms / 1000
        )

    def open_socket(self, purpose: int, address) -> socket.socket:
        """Open a socket with timeouts that detect a dead connection."""
        sock = socket.socket(
            address.family, address.socktype, address.protocol
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        user_timeout_ms = int(self.settings.user_timeout_s * 1000)
        for option, value in (
            (socket.TCP_NODELAY, 1),
            (socket.TCP_KEEPIDLE, self.settings.keepalive_idle_s),
            (socket.TCP_KEEPINTVL, self.settings.keepalive_interval_s),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.TCP_USER_TIMEOUT, user_timeout_ms),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
        return sock

    def run(
        self, exchange: "Exchange", first_byte_timeout_s: float | None
    ) -> int:
        """Run a transfer until it completes or fails.

        :param exchange: the exchange that the curl handle is set up for.
        :param first_byte_timeout_s: how long to wait for the first byte of
            the response, None for no timeout.
        :returns: 0 on success, else libcurl's error code.
        """
        multi = self.multi
        first_byte_due_s = None
        if first_byte_timeout_s is not None:
            first_byte_due_s = self.clock() + first_byte_timeout_s
        multi.add_handle(self.curl)
        multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        try:
            while True:
                _, done, failed = multi.info_read()
                if done:
                    return 0
                if failed:
                    return failed[0][1]
                now_s = self.clock()
                if exchange.status_line:
                    first_byte_due_s = None
                if first_byte_due_s is not None and now_s >= first_byte_due_s:
                    exchange.first_byte_timed_out = True
                    return pycurl.E_OPERATION_TIMEDOUT
                self.wait_for_events(now_s, first_byte_due_s)
        finally:
            multi.remove_handle(self.curl)

    def wait_for_events(self, now_s: float, until_s: float | None) -> None:
        """Wait for socket events or the timer, and pass them to libcurl."""
        timers = [at for at in (self.timer_at_s, until_s) if at is not None]
        wait_ms = 1000
        if timers:
            wait_ms = max(0, min(1000, int((min(timers) - now_s) * 1000) + 1))
        # Unlike select(), poll() accepts file descriptors above 1023.
        poller = select.poll()
        for fd, events in self.socket_events.items():
            poller.register(fd, events)
        ready = poller.poll(wait_ms)
        for fd, events in ready:
            mask = 0
            if events & (select.POLLIN | select.POLLHUP):
                mask |= pycurl.CSELECT_IN
            if events & select.POLLOUT:
                mask |= pycurl.CSELECT_OUT
            if events & (select.POLLERR | select.POLLNVAL):
                mask |= pycurl.CSELECT_ERR
            self.multi.socket_action(fd, mask)
        timer_at_s = self.timer_at_s
        if timer_at_s is not None and self.clock() >= timer_at_s:
            self.timer_at_s = None
            self.multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)

    def close(self) -> None:
        """Close the connection."""
        with suppress(pycurl.error):
            self.multi.remove_handle(self.curl)
        self.curl.close()
        self.multi.close()


class Exchange:
    """State of one request on a channel, filled by libcurl's callbacks.

    :param limit_bytes: largest size of the response body.
    :ivar sent: whether sending the request may have begun.
    :ivar blocked_resends: resends by libcurl that were aborted.
    :ivar status_line: status line of the last response, empty before it.
    :ivar headers: headers of the last response.
    :ivar body_parts: parts of the body.
    :ivar body_bytes: size of the body.
    :ivar body_too_large: whether the body exceeded the limit.
    :ivar first_byte_timed_out: whether no response began in time.
    """

    def __init__(self, limit_bytes: int):
        """Initialise with nothing sent or received."""
        self.limit_bytes = limit_bytes
        self.sent = False
        self.blocked_resends = 0
        self.status_line = ""
        self.headers: list[tuple[str, str]] = []
        self.body_parts: list[bytes] = []
        self.body_bytes = 0
        self.body_too_large = False
        self.first_byte_timed_out = False

    def before_send(self, *connection) -> int:
        """Allow the request to be sent once.

        libcurl calls this once the connection is established, before the
        first byte of the request, and again when it is about to resend the
        request because a reused connection was closed before the first byte
        of the response. The endpoint may have run the request by then.
        """
        if self.sent:
            self.blocked_resends += 1
            return pycurl.PREREQFUNC_ABORT
        self.sent = True
        return pycurl.PREREQFUNC_OK

    def on_header(self, line: bytes) -> None:
        """Collect the headers of the last response, not those of a 1xx."""
        text = line.decode("latin-1").rstrip("\r\n")
        if text.startswith("HTTP/"):
            self.status_line = text
            self.headers = []
        elif ":" in text:
            name, _, value = text.partition(":")
            self.headers.append((name.strip(), value.strip()))

    def on_body(self, data: bytes) -> int:
        """Collect the body up to the limit."""
        self.body_bytes += len(data)
        if self.body_bytes > self.limit_bytes:
            self.body_too_large = True
            return 0
        self.body_parts.append(data)
        return len(data)
