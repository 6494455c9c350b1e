"""Requests and responses between entries over ZeroMQ, in the event loop.

One ROUTER socket serves requests, one DEALER socket per peer sends them. All
sockets belong to the loop's thread. A peer that leaves requests unanswered
gets a new DEALER, since its connection may be half-open.
"""

from collections.abc import Callable
from concurrent.futures import Future
from itertools import count

import zmq
from loguru import logger

from cyclamenscale.errors import CallNotSentError, CallUnansweredError
from cyclamenscale.util.loop import Loop

#: Messages queued in each direction of a socket.
HIGH_WATER_MARK = 1000

#: A larger message closes its connection.
MAX_MESSAGE_BYTES = 65536

#: Delay between attempts to connect to an unavailable peer, first and longest.
RECONNECT_MS = 200
RECONNECT_MAX_MS = 2000

#: Consecutive unanswered requests after which a connection is replaced.
MAX_UNANSWERED = 2

REQUEST_ID_BYTES = 8

RequestHandler = Callable[[bytes], Future]


class PeerConnection:
    """A connection to one peer with its pending requests.

    :ivar socket: DEALER socket.
    :ivar pending: futures of the responses by request id.
    :ivar unanswered: requests that timed out since the last response.
    """

    def __init__(self, socket: zmq.Socket):
        """Initialise with no pending requests."""
        self.socket = socket
        self.pending: dict[bytes, Future] = {}
        self.unanswered = 0


class PeerCalls:
    """Sends requests to other entries and serves theirs.

    :param loop: event loop whose thread owns the sockets.
    :param address: ``host:port`` to serve requests at.
    """

    def __init__(self, loop: Loop, address: str):
        """Open no sockets yet; :meth:`start` does."""
        self.loop = loop
        self.address = address
        self.context = zmq.Context()
        self.router: zmq.Socket | None = None
        self.connections: dict[str, PeerConnection] = {}
        self.request_ids = count(1)

    def start(self, handle_request: RequestHandler) -> None:
        """Begin to serve requests; the loop's thread only.

        :param handle_request: receives a request and returns a future of the
            response.
        """
        self.handle_request = handle_request
        router = self.open_socket(zmq.ROUTER)
        router.bind(f"tcp://{self.address}")
        self.address = router.last_endpoint.decode().removeprefix("tcp://")
        self.router = router
        self.watch_socket(router, self.receive_requests)

    def close(self) -> None:
        """Close all sockets; the loop's thread only."""
        for address in list(self.connections):
            self.disconnect(address, "the entry stops")
        if self.router:
            self.close_socket(self.router)
            self.router = None

    def open_socket(self, kind: int) -> zmq.Socket:
        """Create a socket that discards unsent messages when closed."""
        socket = self.context.socket(kind)
        socket.linger = 0
        socket.sndhwm = HIGH_WATER_MARK
        socket.rcvhwm = HIGH_WATER_MARK
        socket.maxmsgsize = MAX_MESSAGE_BYTES
        # A request to a peer that is not connected fails at once.
        socket.immediate = 1
        socket.reconnect_ivl = RECONNECT_MS
        socket.reconnect_ivl_max = RECONNECT_MAX_MS
        return socket

    def watch_socket(self, socket: zmq.Socket, receive: Callable) -> None:
        """Call a function whenever a socket may have messages."""
        self.loop.watch(socket.fd, lambda mask: receive(socket))

    def close_socket(self, socket: zmq.Socket) -> None:
        """Stop watching a socket and close it."""
        self.loop.unwatch(socket.fd)
        socket.close()

    def connect(self, addresses: set[str]) -> None:
        """Connect to these peers and disconnect from all others."""
        for address in self.connections.keys() - addresses:
            self.disconnect(address, "the peer has gone")
        for address in addresses - self.connections.keys():
            socket = self.open_socket(zmq.DEALER)
            socket.connect(f"tcp://{address}")
            self.connections[address] = PeerConnection(socket)
            self.watch_socket(
                socket, lambda _, at=address: self.receive_responses(at)
            )

    def request(self, address: str, body: bytes, timeout_s: float) -> Future:
        """Send a request to a peer.

        :param timeout_s: time until the request counts as unanswered.
        :returns: a future of the response's bytes; fails with
            :class:`CallNotSentError` if the peer can't have received the
            request, and with :class:`CallUnansweredError` if it may have.
        """
        outcome: Future = Future()
        connection = self.connections.get(address)
        if connection is None:
            outcome.set_exception(CallNotSentError("not connected"))
            return outcome
        request_id = next(self.request_ids).to_bytes(REQUEST_ID_BYTES)
        try:
            connection.socket.send_multipart([request_id, body], zmq.NOBLOCK)
        except zmq.Again:
            outcome.set_exception(CallNotSentError("not connected"))
            return outcome
        connection.pending[request_id] = outcome

        def expire() -> None:
            expired = connection.pending.pop(request_id, None)
            if expired is None:
                return
            connection.unanswered += 1
            if connection.unanswered >= MAX_UNANSWERED:
                self.reconnect(address, connection)
            expired.set_exception(CallUnansweredError("no answer in time"))

        self.loop.call_later(timeout_s, expire)
        # Sending may consume the notification of messages that have arrived.
        self.loop.call_soon(lambda: self.receive_responses(address))
        return outcome

    def reconnect(self, address: str, connection: PeerConnection) -> None:
        """Replace a connection that receives no responses."""
        if self.connections.get(address) is connection:
            self.disconnect(address, "the connection was replaced")
            self.connect({address, *self.connections})

    def disconnect(self, address: str, reason: str) -> None:
        """Close the connection to a peer and fail its pending requests."""
        connection = self.connections.pop(address)
        self.close_socket(connection.socket)
        # Their timers are still to come and must not find them.
        pending, connection.pending = connection.pending, {}
        for outcome in pending.values():
            outcome.set_exception(CallUnansweredError(reason))

    def receive_responses(self, address: str) -> None:
        """Handle the responses that have arrived from a peer."""
        connection = self.connections.get(address)
        while connection and connection.socket.events & zmq.POLLIN:
            parts = connection.socket.recv_multipart(zmq.NOBLOCK)
            connection.unanswered = 0
            # Reading goes on after a malformed message: the socket does not
            # announce the messages behind it again.
            if len(parts) == 2:
                outcome = connection.pending.pop(parts[0], None)
                if outcome:
                    outcome.set_result(parts[1])
            connection = self.connections.get(address)

    def receive_requests(self, router: zmq.Socket) -> None:
        """Handle the requests that have arrived."""
        while self.router and router.events & zmq.POLLIN:
            parts = router.recv_multipart(zmq.NOBLOCK)
            if len(parts) != 3:
                continue
            try:
                response = self.handle_request(parts[2])
            except Exception:
                # The peer gets no response and counts the outcome as unknown.
                logger.exception("request of a peer failed")
                continue
            self.respond_when_done(parts[0], parts[1], response)

    def respond_when_done(
        self, peer: bytes, request_id: bytes, response: Future
    ) -> None:
        """Send a response once its future is done."""

        def respond(done: Future) -> None:
            if self.router and not done.exception():
                parts = [peer, request_id, done.result()]
                # ROUTER drops the message if the peer is disconnected or its
                # queue is full.
                self.router.send_multipart(parts, zmq.NOBLOCK)
                self.loop.call_soon(
                    lambda: self.router and self.receive_requests(self.router)
                )

        response.add_done_callback(respond)
