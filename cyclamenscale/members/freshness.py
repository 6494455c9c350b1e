"""May this entry admit work, and when is a change in force everywhere.

The two rules belong together. A change is reported as accepted only after a
majority of the member list has acknowledged it and every other member has
lost freshness; an entry keeps its freshness only by what it began to read
within the limit. Both measure durations on their own clock, so that clocks
need no common time, and ``freshness.margin_s`` covers their difference in
rate.
"""

from collections import OrderedDict
from collections.abc import Iterable
from threading import Lock
from typing import NamedTuple

from cyclamenscale.configuration.table import ConfigTable
from cyclamenscale.model import ConfigView, MemberList, MemberRecord
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock

#: Heartbeats whose answers are awaited; at the default interval, and with
#: one number for all peers, this is 32 s.
SENT_LIMIT = 64

#: Far enough in the past to be outside of any limit.
NEVER_S = float("-inf")


class Confirmation(NamedTuple):
    """A peer's newest answer to a heartbeat.

    :ivar sent_s: when the heartbeat was sent.
    :ivar applied: revision that the peer reported.
    :ivar confirms: whether the peer's state counts.
    """

    sent_s: float
    applied: int
    confirms: bool


class Freshness:
    """Whether this entry may admit work.

    All may be called from several threads.

    :param settings: the whole settings.
    :param clock: monotonic seconds.
    :param table: the configuration that this entry has applied.
    :param incarnation: of this entry.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        table: ConfigTable,
        incarnation: int = 0,
    ):
        """Begin in the state after a restart."""
        self.name = settings.entry.name
        self.limit_s = settings.freshness.limit_s
        self.clock = clock
        self.table = table
        self.incarnation = incarnation
        # Guards the fields below.
        self.lock = Lock()
        self.restarted = True
        # A barrier may count an acknowledgement from before the restart.
        # Peers that confirm this entry's state while such a barrier is open
        # may acknowledge its revision afterwards, and this entry would be
        # counted without having it. So only answers to heartbeats sent
        # after the end of all such barriers count for the recovery.
        self.recover_s = (
            clock()
            + settings.freshness.accept_within_s
            + settings.freshness.margin_s
        )
        self.closed = False
        self.read_s = NEVER_S
        self.sent: OrderedDict[int, float] = OrderedDict()
        self.peers: dict[str, Confirmation] = {}

    def store_read(self, began_s: float, revision: int) -> bool:
        """Note a read of the store, or watch progress, that was applied.

        :param began_s: when the request was sent, never when its answer
            came: the state it shows may be as old as that.
        :param revision: the store's revision in the answer.
        :returns: whether it counts; it does not as long as the table does
            not cover its revision.
        """
        if self.table.covered < revision:
            return False
        with self.lock:
            self.read_s = max(self.read_s, began_s)
            if self.restarted:
                # The entry may have acknowledged revisions before it was
                # restarted, deletions among them, which a read does not
                # show. It must not report a lower revision than those.
                self.table.acknowledge(revision)
                self.restarted = False
        return True

    def heartbeat_sent(self, sequence: int) -> None:
        """Note when a heartbeat is about to be sent."""
        with self.lock:
            self.sent[sequence] = self.clock()
            if len(self.sent) > SENT_LIMIT:
                self.sent.popitem(last=False)

    def vouched(
        self, name: str, sequence: int, applied: int, confirms: bool = True
    ) -> None:
        """Note a peer's answer to a heartbeat.

        :param name: the peer.
        :param sequence: number of the heartbeat.
        :param applied: revision that the peer reports.
        :param confirms: false if the peer is recovering.
        """
        with self.lock:
            sent_s = self.sent.get(sequence, NEVER_S)
            known = self.peers.get(name)
            if sent_s == NEVER_S or (known and known.sent_s > sent_s):
                return
            self.peers[name] = Confirmation(sent_s, applied, confirms)
            if len(self.peers) > SENT_LIMIT:
                oldest = min(self.peers, key=lambda n: self.peers[n].sent_s)
                del self.peers[oldest]

    @property
    def recovering(self) -> bool:
        """Whether a restart may have lost acknowledged revisions."""
        if self.restarted:
            self.by_peers(self.table.view)
        return self.restarted

    def close(self) -> None:
        """Stop admitting for good, before this entry leaves the list."""
        self.closed = True

    def may_admit(self) -> bool:
        """Return whether the entry may admit work now."""
        return not self.reason()

    def reason(self) -> str:
        """Return why the entry may not admit work, empty if it may.

        :returns: ``not_member``, ``superseded``, ``leaving``,
            ``recovering``, ``stale`` or nothing.
        """
        view = self.table.view
        own = find_member(view.members, self.name)
        # A name that is not in the applied list is not waited for by the
        # barrier, which counts the members of that list.
        if own is None:
            return "not_member"
        if own.incarnation > self.incarnation:
            return "superseded"
        if own.leaving or self.closed:
            return "leaving"
        if self.clock() - self.read_s <= self.limit_s:
            return ""
        if self.by_peers(view):
            return ""
        return "recovering" if self.restarted else "stale"

    def by_peers(self, view: ConfigView) -> bool:
        """Return whether a majority of the member list confirms the state.

        Every majority that acknowledged a revision has a member in common
        with the majority that confirms, and that member reports it.
        """
        oldest_s = self.clock() - self.limit_s
        members = view.members.members
        covered = self.table.covered
        needed = view.members.majority
        with self.lock:
            recent = [
                self.peers[member.name]
                for member in members
                if member.name in self.peers
                and member.name != self.name
                and self.peers[member.name].sent_s >= oldest_s
            ]
            if not members or any(p.applied > covered for p in recent):
                return False
            confirming = [
                peer
                for peer in recent
                if peer.confirms
                and not (self.restarted and peer.sent_s < self.recover_s)
            ]
            if not self.restarted:
                return len(confirming) + 1 >= needed
            # The restarted entry may itself have been the common member, so
            # its own vote does not count. In a list of two names no
            # majority without it exists; the other name then has
            # acknowledged whatever was accepted.
            if len(confirming) < max(1, min(needed, len(members) - 1)):
                return False
            self.table.acknowledge(max(p.applied for p in confirming))
            self.restarted = False
            return True

    def age_s(self) -> float:
        """Return the age of the newest store read that was applied."""
        return self.clock() - self.read_s


def find_member(members: MemberList, name: str) -> MemberRecord | None:
    """Return a name's record in the member list."""
    for member in members.members:
        if member.name == name:
            return member
    return None


class Barrier:
    """Whether a revision is in force everywhere.

    Belongs to one change; the caller guards it if threads share it.

    :param revision: the revision.
    :param members: names in the member list at that revision or a later
        one, the accepting entry among them.
    :param started_s: when the change was asked for.
    :param settings: the whole settings.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        revision: int,
        members: Iterable[str],
        started_s: float,
        settings: Settings,
        clock: Clock,
    ):
        """Begin without acknowledgements."""
        self.revision = revision
        self.members = frozenset(members)
        self.started_s = started_s
        self.settings = settings.freshness
        self.clock = clock
        self.acked: set[str] = set()
        self.majority_s: float | None = None
        self.ended = ""

    @property
    def majority(self) -> int:
        """Return how many acknowledgements make a majority."""
        return len(self.members) // 2 + 1

    @property
    def missing(self) -> list[str]:
        """Return the members that have not acknowledged."""
        return sorted(self.members - self.acked)

    def ack(self, name: str) -> None:
        """Note that a member has applied the revision.

        :param name: the member; other names are ignored.
        """
        if self.state == "unknown":
            return
        if name in self.members:
            self.acked.add(name)
        if self.majority_s is None and len(self.acked) >= self.majority:
            self.majority_s = self.clock()

    def due_s(self) -> float | None:
        """Return when the change is accepted without further acks."""
        if self.majority_s is None:
            return None
        if not self.missing:
            return self.majority_s
        return self.majority_s + self.settings.limit_s + self.settings.margin_s

    @property
    def state(self) -> str:
        """Return ``accepted``, ``waiting`` or ``unknown``.

        ``unknown`` is final for this barrier, as acknowledgements must not
        be older than ``freshness.accept_within_s``: a member may have been
        restarted since. A later query begins another barrier.
        """
        if self.ended:
            return self.ended
        now_s, due_s = self.clock(), self.due_s()
        end_s = self.started_s + self.settings.accept_within_s
        if due_s is not None and due_s <= min(now_s, end_s):
            self.ended = "accepted"
        elif now_s >= end_s:
            self.ended = "unknown"
        return self.ended or "waiting"
