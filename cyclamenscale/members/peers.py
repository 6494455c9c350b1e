"""The peer link, which exchanges messages with the other entries.

Every entry binds one ROUTER socket, which only receives, and connects one
DEALER socket to each peer, which only sends; responses go through the DEALER
of the responding entry. If a middlebox has dropped a connection, heartbeats
are no longer acknowledged, and a new DEALER replaces the old one. All sockets
belong to the thread that calls :meth:`PeerLink.run`.
"""

import secrets
import socket
from collections import deque
from collections.abc import Callable
from threading import Event, Lock
from typing import NamedTuple

import zmq
from loguru import logger

from cyclamenscale.configuration.table import ConfigTable
from cyclamenscale.errors import FrameError
from cyclamenscale.members.freshness import Freshness
from cyclamenscale.members.messages import (
    Heartbeat,
    decode_frame,
    encode_frame,
)
from cyclamenscale.members.peer_table import PeerTable
from cyclamenscale.members.sync import ConfigSync
from cyclamenscale.metrics import Metrics
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock

#: Limit of messages queued for the link's thread.
MAX_OUTBOX_MESSAGES = 20000

#: Limit of messages queued by a socket, in the direction that it is used.
HIGH_WATER_MARK = 2000

#: Frames received before heartbeats and outgoing messages are processed.
MAX_FRAMES_PER_STEP = 500

#: Longest wait for a message; bounds the delay until a stop is noticed.
MAX_POLL_S = 0.1

#: Longest wait while notices wait to be acknowledged.
MAX_PENDING_POLL_S = 0.01

Handler = Callable[[NamedTuple], None]


class Dealer(NamedTuple):
    """A socket that sends to one peer.

    :ivar socket: the DEALER socket.
    :ivar opened_s: when it was opened.
    """

    socket: zmq.Socket
    opened_s: float


class PeerLink:
    """Sends messages to the other entries and receives messages from them.

    :param settings: settings of the entry.
    :param metrics: counters.
    :param clock: returns monotonic seconds.
    :param table: configuration of this entry.
    :param freshness: records heartbeats that are sent and acknowledged.
    :param peer_table: the peers; created if absent.
    """

    def __init__(
        self,
        settings: Settings,
        metrics: Metrics,
        clock: Clock,
        table: ConfigTable,
        freshness: Freshness,
        peer_table: PeerTable | None = None,
    ):
        """Initialise; sockets are opened by :meth:`run`."""
        self.name = settings.entry.name
        self.settings = settings
        self.metrics = metrics
        self.clock = clock
        self.table = table
        self.freshness = freshness
        self.peer_table = peer_table or PeerTable(settings, metrics, clock)
        self.address = ""
        self.ready = Event()
        self.bytes_sent = 0
        self.bytes_received = 0
        # Guards outbox and wake_pending. Sockets and dealers belong to the
        # thread of run().
        self.lock = Lock()
        self.outbox: deque[tuple[str | None, NamedTuple]] = deque()
        self.wake_pending = False
        self.wake_reader, self.wake_writer = socket.socketpair()
        self.wake_reader.setblocking(False)
        self.wake_writer.setblocking(False)
        self.handlers: dict[type, list[Handler]] = {}
        # Replaced as a whole by block(), never changed in place.
        self.blocked_in: frozenset[str] = frozenset()
        self.blocked_out: frozenset[str] = frozenset()
        self.dealers: dict[str, Dealer] = {}
        self.targets: dict[str, str] = {}
        self.last_ack_s: dict[str, float] = {}
        #: Sequence number of the last heartbeat received, by address.
        self.received_sequences: dict[str, int] = {}
        # Starts at random so that an acknowledgement of a heartbeat from
        # before a restart does not match a heartbeat of this process.
        self.sequence = secrets.randbits(48)
        self.socket_number = 0
        self.next_heartbeat_s = 0.0
        self.members_revision = -1
        self.sync = ConfigSync(
            settings, metrics, clock, table, freshness, self
        )
        self.on(Heartbeat, self.handle_heartbeat)

    def on(self, kind: type, handler: Handler) -> None:
        """Register a handler of a message type.

        :param kind: message type from :mod:`cyclamenscale.members.messages`.
        :param handler: called in the link's thread; must not block.
            Exceptions that it raises are logged and counted.
        """
        self.handlers.setdefault(kind, []).append(handler)

    def send(self, name: str, message: NamedTuple) -> bool:
        """Queue a message to an entry, which may be this entry itself.

        :returns: whether it was queued; a queued message may still be lost.
        """
        if name != self.name and not self.peer_table.address_of(name):
            self.metrics.incr("peers.unknown_name")
            return False
        return self.enqueue(name, message)

    def broadcast(self, message: NamedTuple) -> bool:
        """Queue a message to all connected peers.

        :returns: whether it was queued.
        """
        return self.enqueue(None, message)

    def enqueue(self, name: str | None, message: NamedTuple) -> bool:
        """Queue a message and wake up the link's thread."""
        with self.lock:
            if len(self.outbox) >= MAX_OUTBOX_MESSAGES:
                self.metrics.incr("peers.outbox_dropped")
                return False
            self.outbox.append((name, message))
            wake, self.wake_pending = not self.wake_pending, True
        if wake:
            try:
                self.wake_writer.send(b"\0")
            except (BlockingIOError, OSError):
                # A wake-up is already pending, or the link is closed.
                pass
        return True

    def alive(self) -> list[str]:
        """Return the names that sent a message within ``peers.dead_s``.

        The name of this entry is included.
        """
        return self.peer_table.alive()

    def block(
        self, name: str, inbound: bool = True, outbound: bool = True
    ) -> None:
        """Block messages from and to a peer, for tests.

        :param name: name of the peer.
        :param inbound: whether to drop messages from the peer.
        :param outbound: whether to drop messages to the peer.
        """
        self.blocked_in = (
            self.blocked_in | {name} if inbound else self.blocked_in - {name}
        )
        self.blocked_out = (
            self.blocked_out | {name}
            if outbound
            else self.blocked_out - {name}
        )

    def run(self, stop: Event) -> None:
        """Send and receive messages until stopped.

        :param stop: ends the loop.
        """
        with zmq.Context() as context:
            router = context.socket(zmq.ROUTER)
            poller = zmq.Poller()
            try:
                self.bind(router)
                poller.register(router, zmq.POLLIN)
                poller.register(self.wake_reader, zmq.POLLIN)
                self.next_heartbeat_s = self.clock()
                while not stop.is_set():
                    self.step(context, router, poller)
            finally:
                self.ready.clear()
                router.close(0)
                for dealer in self.dealers.values():
                    dealer.socket.close(0)
                self.dealers.clear()

    def bind(self, router: zmq.Socket) -> None:
        """Bind the receiving socket; a repeated run binds the same port."""
        limit_bytes = self.settings.peers.frame_limit_bytes
        router.linger = 0
        router.rcvhwm = HIGH_WATER_MARK
        router.sndhwm = 1
        # Frames above frame_limit_bytes are counted and dropped. A frame above
        # this limit closes the connection before it is read into memory.
        router.maxmsgsize = 4 * limit_bytes
        wanted = self.address or self.settings.entry.peers_address
        router.bind(f"tcp://{wanted}")
        self.address = router.last_endpoint.decode().removeprefix("tcp://")
        self.peer_table.own_address = self.address
        self.ready.set()

    def step(
        self, context: zmq.Context, router: zmq.Socket, poller: zmq.Poller
    ) -> None:
        """Wait for a message or a timer, then process everything due."""
        now_s = self.clock()
        if now_s >= self.next_heartbeat_s:
            self.next_heartbeat_s = now_s + self.settings.peers.heartbeat_s
            self.connect(context)
            self.send_heartbeats()
        wait_s = min(self.next_heartbeat_s - now_s, MAX_POLL_S)
        if self.sync.pending_notices:
            wait_s = min(wait_s, MAX_PENDING_POLL_S)
        ready = dict(poller.poll(max(0, int(wait_s * 1000))))
        if self.wake_reader.fileno() in ready:
            self.wake_reader.recv(4096)
        self.send_outbox()
        if router in ready:
            self.receive(router)
        self.sync.process_pending()
        if self.members_revision != self.table.view.members_revision:
            view = self.table.view
            self.members_revision = view.members_revision
            self.peer_table.update_members(view.members)
            self.connect(context)

    def connect(self, context: zmq.Context) -> None:
        """Open and replace sockets so that each target has a working one.

        A socket whose peer has acknowledged no heartbeat for more than
        ``peers.suspect_s`` is replaced.
        """
        now_s = self.clock()
        self.targets = self.peer_table.targets()
        for address in [a for a in self.dealers if a not in self.targets]:
            self.dealers.pop(address).socket.close(0)
            self.last_ack_s.pop(address, None)
            self.received_sequences.pop(address, None)
        for address in self.targets:
            dealer = self.dealers.get(address)
            if dealer is not None:
                last_s = max(
                    dealer.opened_s, self.last_ack_s.get(address, 0.0)
                )
                if now_s - last_s <= self.settings.peers.suspect_s:
                    continue
                self.metrics.incr("peers.reconnects")
                dealer.socket.close(0)
            self.dealers[address] = self.open_dealer(context, address, now_s)

    def open_dealer(
        self, context: zmq.Context, address: str, now_s: float
    ) -> Dealer:
        """Open a sending socket to an address."""
        dealer = context.socket(zmq.DEALER)
        dealer.linger = 0
        dealer.sndhwm = HIGH_WATER_MARK
        dealer.rcvhwm = 1
        # Queue messages only on completed connections: a message for a peer
        # that has terminated would reach its replacement much later.
        dealer.immediate = 1
        self.socket_number += 1
        # A ROUTER rejects a second connection with the same identity, so each
        # socket gets a unique one.
        identity = (
            f"{self.name}/{self.freshness.incarnation}/{self.socket_number}"
        )
        dealer.identity = identity.encode()
        dealer.connect(f"tcp://{address}")
        return Dealer(dealer, now_s)

    def send_heartbeats(self) -> None:
        """Send a heartbeat to every target."""
        self.sequence += 1
        view = self.table.view
        heartbeat = Heartbeat(
            self.name,
            self.freshness.incarnation,
            self.address,
            self.settings.entry.data_centre,
            view.revision,
            view.members_revision,
            self.sequence,
            self.freshness.may_admit(),
            confirms=not self.freshness.recovering,
        )
        self.freshness.record_heartbeat_sent(self.sequence)
        for address in list(self.dealers):
            acked_sequence = self.received_sequences.get(address, 0)
            self.transmit(
                [address], heartbeat._replace(acked_sequence=acked_sequence)
            )

    def send_outbox(self) -> None:
        """Send the messages in the outbox."""
        with self.lock:
            waiting, self.outbox = self.outbox, deque()
            self.wake_pending = False
        for name, message in waiting:
            if name == self.name:
                self.dispatch(message)
            elif name is None:
                self.transmit(list(self.dealers), message)
            else:
                self.transmit([self.peer_table.address_of(name)], message)

    def transmit(self, addresses: list[str], message: NamedTuple) -> None:
        """Send a message to addresses; count messages that are dropped."""
        frame = encode_frame(message)
        if len(frame) > self.settings.peers.frame_limit_bytes:
            self.metrics.incr("peers.dropped_out_size")
            return
        for address in addresses:
            dealer = self.dealers.get(address)
            if self.targets.get(address) in self.blocked_out:
                self.metrics.incr("peers.dropped_out_blocked")
            elif dealer is None:
                self.metrics.incr("peers.dropped_out_unconnected")
            else:
                try:
                    dealer.socket.send(frame, zmq.NOBLOCK)
                    self.bytes_sent += len(frame)
                except zmq.Again:
                    self.metrics.incr("peers.dropped_out_full")

    def receive(self, router: zmq.Socket) -> None:
        """Receive and process pending frames.

        Their number is limited so that heartbeats are not delayed.
        """
        for _ in range(MAX_FRAMES_PER_STEP):
            try:
                parts = router.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self.bytes_received += sum(map(len, parts))
            try:
                self.handle_frame(parts)
            except FrameError as error:
                self.metrics.incr(f"peers.dropped_in_{error.reason}")

    def handle_frame(self, parts: list[bytes]) -> None:
        """Validate a frame and its sender, and dispatch its message.

        :raises FrameError: if the frame is rejected.
        """
        if len(parts) != 2:
            raise FrameError("garbage")
        identity = parts[0].decode(errors="replace").split("/")
        if len(identity) != 3 or not identity[1].isdecimal():
            raise FrameError("garbage")
        name, incarnation = identity[0], int(identity[1])
        if name in self.blocked_in:
            raise FrameError("blocked")
        message = decode_frame(parts[1], self.settings.peers.frame_limit_bytes)
        if message.sender != name:
            raise FrameError("sender")
        location = ("", "")
        if isinstance(message, Heartbeat):
            location = (message.address, message.data_centre)
        if not self.peer_table.record_message(name, incarnation, *location):
            raise FrameError("superseded")
        self.dispatch(message)

    def dispatch(self, message: NamedTuple) -> None:
        """Call the handlers of a message's type."""
        handlers = self.handlers.get(type(message))
        if not handlers:
            self.metrics.incr("peers.unhandled")
        for handler in handlers or ():
            try:
                handler(message)
            except Exception:
                self.metrics.incr("peers.handler_failures")
                logger.exception(
                    "handler of {} failed", type(message).__name__
                )

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat and the acknowledgement that it contains."""
        if heartbeat.address in self.targets:
            self.received_sequences[heartbeat.address] = heartbeat.sequence
        else:
            # A new peer: the next heartbeat, which connects to it, is sent
            # immediately.
            self.next_heartbeat_s = min(self.next_heartbeat_s, self.clock())
        if heartbeat.acked_sequence:
            self.last_ack_s[heartbeat.address] = self.clock()
            self.freshness.record_confirmation(
                heartbeat.sender,
                heartbeat.acked_sequence,
                heartbeat.applied_revision,
                heartbeat.confirms,
            )
        self.sync.request_delta(heartbeat.sender, heartbeat.applied_revision)
