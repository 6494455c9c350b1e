"""Questions and answers between entries over zmq, in the event loop.

One ROUTER answers, one DEALER to each peer asks. All sockets belong to the
loop's thread. A peer that leaves questions unanswered gets a new DEALER,
since its connection may have gone silent.
"""

from collections.abc import Callable
from concurrent.futures import Future
from itertools import count

import zmq

from cyclamenscale.errors import CallNotSentError, CallUnansweredError
from cyclamenscale.util.loop import Loop

#: Messages that wait in each direction of one socket.
HIGH_WATER_MARK = 1000

#: Larger messages end their connection.
MESSAGE_LIMIT_BYTES = 65536

#: Pauses between attempts to connect to a peer that is away.
RECONNECT_MS = 200
RECONNECT_MAX_MS = 2000

#: Questions in a row without an answer after which a connection is replaced.
UNANSWERED_LIMIT = 2

NUMBER_BYTES = 8

Take = Callable[[bytes], Future]


class Asked:
    """Questions on their way to one peer.

    :ivar socket: the DEALER.
    :ivar pending: outcome by number of the question.
    :ivar unanswered: questions that ran out of time since the last answer.
    """

    def __init__(self, socket: zmq.Socket):
        """Start without questions."""
        self.socket = socket
        self.pending: dict[bytes, Future] = {}
        self.unanswered = 0


class PeerCalls:
    """Asks other entries, and answers them.

    :param loop: its thread owns the sockets.
    :param address: ``host:port`` to answer at.
    """

    def __init__(self, loop: Loop, address: str):
        """Keep the parts; :meth:`start` opens the sockets."""
        self.loop = loop
        self.address = address
        self.context = zmq.Context()
        self.router: zmq.Socket | None = None
        self.connections: dict[str, Asked] = {}
        self.numbers = count(1)

    def start(self, take: Take) -> None:
        """Begin to answer; the loop's thread only.

        :param take: gets a question; the future's result is the answer.
        """
        self.take = take
        router = self.open(zmq.ROUTER)
        router.bind(f"tcp://{self.address}")
        self.address = router.last_endpoint.decode().removeprefix("tcp://")
        self.router = router
        self.watch(router, self.receive_questions)

    def close(self) -> None:
        """Close all sockets; the loop's thread only."""
        for address in list(self.connections):
            self.drop(address, "the entry stops")
        if self.router:
            self.unwatch(self.router)
            self.router = None

    def open(self, kind: int) -> zmq.Socket:
        """Open a socket that keeps nothing for later."""
        socket = self.context.socket(kind)
        socket.linger = 0
        socket.sndhwm = HIGH_WATER_MARK
        socket.rcvhwm = HIGH_WATER_MARK
        socket.maxmsgsize = MESSAGE_LIMIT_BYTES
        # A question to a peer that is away fails at once.
        socket.immediate = 1
        socket.reconnect_ivl = RECONNECT_MS
        socket.reconnect_ivl_max = RECONNECT_MAX_MS
        return socket

    def watch(self, socket: zmq.Socket, receive: Callable) -> None:
        """Call a function when a socket may have messages."""
        self.loop.watch(socket.fd, lambda mask: receive(socket))

    def unwatch(self, socket: zmq.Socket) -> None:
        """Close a socket."""
        self.loop.unwatch(socket.fd)
        socket.close()

    def connect(self, addresses: set[str]) -> None:
        """Connect to these peers and leave all others."""
        for address in self.connections.keys() - addresses:
            self.drop(address, "the peer has gone")
        for address in addresses - self.connections.keys():
            socket = self.open(zmq.DEALER)
            socket.connect(f"tcp://{address}")
            self.connections[address] = Asked(socket)
            self.watch(
                socket, lambda found, at=address: self.receive_answers(at)
            )

    def request(
        self, address: str, question: bytes, timeout_s: float
    ) -> Future:
        """Ask a peer.

        :param timeout_s: time until the question counts as unanswered.
        :returns: the answer's bytes; fails with :class:`CallNotSentError`
            if the peer can't have got the question, and with
            :class:`CallUnansweredError` if it may have.
        """
        outcome: Future = Future()
        asked = self.connections.get(address)
        if asked is None:
            outcome.set_exception(CallNotSentError("not connected"))
            return outcome
        number = next(self.numbers).to_bytes(NUMBER_BYTES)
        try:
            asked.socket.send_multipart([number, question], zmq.NOBLOCK)
        except zmq.Again:
            outcome.set_exception(CallNotSentError("not connected"))
            return outcome
        asked.pending[number] = outcome

        def expire() -> None:
            late = asked.pending.pop(number, None)
            if late is None:
                return
            asked.unanswered += 1
            if asked.unanswered >= UNANSWERED_LIMIT:
                self.reconnect(address, asked)
            late.set_exception(CallUnansweredError("no answer in time"))

        self.loop.call_later(timeout_s, expire)
        # Sending may use up the signal of messages that have come in.
        self.loop.call_soon(lambda: self.receive_answers(address))
        return outcome

    def reconnect(self, address: str, asked: Asked) -> None:
        """Replace a connection that brings no answers."""
        if self.connections.get(address) is asked:
            self.drop(address, "the connection was replaced")
            self.connect({address, *self.connections})

    def drop(self, address: str, why: str) -> None:
        """Close the connection to a peer; its questions are unanswered."""
        asked = self.connections.pop(address)
        self.unwatch(asked.socket)
        for outcome in asked.pending.values():
            outcome.set_exception(CallUnansweredError(why))

    def receive_answers(self, address: str) -> None:
        """Take the answers that have come from a peer."""
        asked = self.connections.get(address)
        while asked and asked.socket.events & zmq.POLLIN:
            number, answer = asked.socket.recv_multipart(zmq.NOBLOCK)
            asked.unanswered = 0
            outcome = asked.pending.pop(number, None)
            if outcome:
                outcome.set_result(answer)
            asked = self.connections.get(address)

    def receive_questions(self, router: zmq.Socket) -> None:
        """Take the questions that have come in."""
        while self.router and router.events & zmq.POLLIN:
            parts = router.recv_multipart(zmq.NOBLOCK)
            if len(parts) == 3:
                self.answer_later(parts[0], parts[1], self.take(parts[2]))

    def answer_later(self, peer: bytes, number: bytes, found: Future) -> None:
        """Send an answer once it is known."""

        def answer(done: Future) -> None:
            if self.router and not done.exception():
                parts = [peer, number, done.result()]
                # A peer that has gone, or takes nothing, gets no answer.
                self.router.send_multipart(parts, zmq.NOBLOCK)
                self.loop.call_soon(
                    lambda: self.router and self.receive_questions(self.router)
                )

        found.add_done_callback(answer)
