"""Which other entries exist, and which of them were heard from.

The table learns addresses from the seeds, from the member list and from
heartbeats. It decides nothing about the configuration: an entry that is not
heard from stays in the member list until it leaves or is removed.
"""

from threading import Lock
from typing import NamedTuple

from cyclamenscale.metrics import Metrics
from cyclamenscale.model import MemberList
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock

#: A deployment has 6 to 8 entries; more names than this come from a fault.
MAX_PEERS = 64

NEVER_S = float("-inf")


class Peer(NamedTuple):
    """Another entry.

    :ivar name: its name.
    :ivar incarnation: highest one that was seen.
    :ivar address: ``host:port`` of its peer link.
    :ivar data_centre: where it runs.
    :ivar last_message_s: when it was last heard from.
    :ivar is_member: whether it is in the member list.
    """

    name: str
    incarnation: int
    address: str
    data_centre: str
    last_message_s: float = NEVER_S
    is_member: bool = False


class PeerTable:
    """The other entries that this one knows.

    All may be called from several threads.

    :param settings: the whole settings.
    :param metrics: counters of what was dropped.
    :param clock: monotonic seconds.
    """

    def __init__(self, settings: Settings, metrics: Metrics, clock: Clock):
        """Begin with the seeds, whose names are unknown."""
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
        """Note a message from an entry.

        :param address: of its peer link, if the message tells.
        :returns: whether the message counts; one from a lower incarnation
            than was seen does not.
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
        """Take over the member list."""
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
        """Add a peer, in place of a dead one if full; the lock is held."""
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
        """Return ``alive``, ``suspect`` or ``dead``."""
        if name == self.name:
            return "alive"
        with self.lock:
            peer = self.peers.get(name)
            return self.state_of(peer) if peer else "dead"

    def state_of(self, peer: Peer) -> str:
        """Return the state of a peer."""
        silence_s = self.clock() - peer.last_message_s
        if silence_s < self.settings.suspect_s:
            return "alive"
        return "suspect" if silence_s < self.settings.dead_s else "dead"

    def alive(self) -> list[str]:
        """Return the names that are not dead, this entry's included."""
        with self.lock:
            names = [
                peer.name
                for peer in self.peers.values()
                if self.state_of(peer) != "dead"
            ]
        return sorted([*names, self.name])

    def incarnation(self, name: str) -> int:
        """Return the highest incarnation seen of a name, 0 if none."""
        with self.lock:
            peer = self.peers.get(name)
            return peer.incarnation if peer else 0

    def address_of(self, name: str) -> str:
        """Return the address of a peer, empty if it is not known."""
        with self.lock:
            peer = self.peers.get(name)
            return peer.address if peer else ""

    def targets(self) -> dict[str, str]:
        """Return the addresses to connect to, with the name if known.

        Those are the members, the peers that are not dead, and the seeds,
        which are tried for as long as the process runs: a seed may be
        replaced at the same address.
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
