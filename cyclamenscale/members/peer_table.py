"""Table of the other entries and when each last sent a message.

Addresses come from the seeds, the member list and heartbeats. The table does
not affect the configuration: an entry that sends no messages stays in the
member list until it leaves or is removed.
"""

from threading import Lock
from typing import NamedTuple

from cyclamenscale.metrics import Metrics
from cyclamenscale.model import MemberList
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock

#: A deployment has 6 to 8 entries; more names than this indicate a fault.
MAX_PEERS = 64

NEVER_S = float("-inf")


class Peer(NamedTuple):
    """State of another entry.

    :ivar name: name of the entry.
    :ivar incarnation: highest observed incarnation.
    :ivar address: ``host:port`` of its peer link.
    :ivar data_centre: data centre in which it runs.
    :ivar last_message_s: when the last message from it was received.
    :ivar is_member: whether it is in the member list.
    """

    name: str
    incarnation: int
    address: str
    data_centre: str
    last_message_s: float = NEVER_S
    is_member: bool = False


class PeerTable:
    """Incarnation, address and liveness of the other entries.

    All methods are thread-safe.

    :param settings: settings of the entry.
    :param metrics: counters of dropped names and messages.
    :param clock: returns monotonic seconds.
    """

    def __init__(self, settings: Settings, metrics: Metrics, clock: Clock):
        """Initialise without peers; the names of the seeds are unknown."""
        self.name = settings.entry.name
        self.settings = settings.peers
        self.metrics = metrics
        self.clock = clock
        # Guards peers, own_address.
        self.lock = Lock()
        self.peers: dict[str, Peer] = {}
        self.own_address = ""

    def record_message(
        self,
        name: str,
        incarnation: int,
        address: str = "",
        data_centre: str = "",
    ) -> bool:
        """Record that a message from an entry was received.

        :param name: name of the sender.
        :param incarnation: incarnation of the sender.
        :param address: address of its peer link, empty if the message does
            not contain it.
        :param data_centre: its data centre, empty likewise.
        :returns: whether to accept the message; false if it comes from a
            lower incarnation than the highest observed one, or if the table
            is full.
        """
        with self.lock:
            existing = self.peers.get(name)
            if name == self.name or (
                existing and incarnation < existing.incarnation
            ):
                self.metrics.incr("peers.superseded")
                return False
            if existing is None:
                existing = Peer(name, incarnation, address, data_centre)
                if not self.add(existing):
                    return False
            self.peers[name] = existing._replace(
                incarnation=incarnation,
                address=address or existing.address,
                data_centre=data_centre or existing.data_centre,
                last_message_s=self.clock(),
            )
            return True

    def update_members(self, members: MemberList) -> None:
        """Update the table from the member list."""
        with self.lock:
            names = {member.name for member in members.members}
            for name, peer in list(self.peers.items()):
                if name not in names:
                    self.peers[name] = peer._replace(is_member=False)
            for member in members.members:
                existing = self.peers.get(member.name)
                if member.name == self.name:
                    continue
                if existing is None:
                    self.add(Peer(*member[:4], is_member=True))
                elif existing.incarnation > member.incarnation:
                    self.peers[member.name] = existing._replace(is_member=True)
                else:
                    self.peers[member.name] = existing._replace(
                        incarnation=member.incarnation,
                        address=member.address,
                        data_centre=member.data_centre,
                        is_member=True,
                    )

    def add(self, peer: Peer) -> bool:
        """Add a peer, replacing a dead non-member if the table is full.

        The caller holds the lock.

        :returns: whether the peer was added.
        """
        if len(self.peers) >= MAX_PEERS:
            oldest = min(
                (p for p in self.peers.values() if not p.is_member),
                key=lambda p: p.last_message_s,
                default=None,
            )
            self.metrics.incr("peers.names_dropped")
            if oldest is None or self.state_of(oldest) != "dead":
                return False
            del self.peers[oldest.name]
        self.peers[peer.name] = peer
        return True

    def state(self, name: str) -> str:
        """Return ``alive``, ``suspect`` or ``dead`` for a name."""
        if name == self.name:
            return "alive"
        with self.lock:
            peer = self.peers.get(name)
            return self.state_of(peer) if peer else "dead"

    def state_of(self, peer: Peer) -> str:
        """Return the state of a peer by the age of its last message."""
        silence_s = self.clock() - peer.last_message_s
        if silence_s < self.settings.suspect_s:
            return "alive"
        return "suspect" if silence_s < self.settings.dead_s else "dead"

    def alive(self) -> list[str]:
        """Return the names that are not dead, including this entry's."""
        with self.lock:
            names = [
                peer.name
                for peer in self.peers.values()
                if self.state_of(peer) != "dead"
            ]
        return sorted([*names, self.name])

    def incarnation(self, name: str) -> int:
        """Return the highest observed incarnation of a name, 0 if none."""
        with self.lock:
            peer = self.peers.get(name)
            return peer.incarnation if peer else 0

    def address_of(self, name: str) -> str:
        """Return the address of a peer, empty if unknown."""
        with self.lock:
            peer = self.peers.get(name)
            return peer.address if peer else ""

    def targets(self) -> dict[str, str]:
        """Return the addresses to connect to, with the name if known.

        These are the members, the peers that are not dead, and the seeds.
        Connections to seeds are attempted as long as the process runs, as a
        seed may be replaced at the same address.
        """
        with self.lock:
            targets = {
                address: "" for address in self.settings.seeds if address
            }
            for peer in self.peers.values():
                is_target = peer.is_member or self.state_of(peer) != "dead"
                if peer.address and (is_target or peer.address in targets):
                    targets[peer.address] = peer.name
            targets.pop(self.own_address, None)
            return targets
