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
MAX_SENT_HEARTBEATS = 64

#: Far enough in the past to be outside of any limit.
NEVER_S = float("-inf")


class Confirmation(NamedTuple):
    """A peer's newest answer to a heartbeat.

    :ivar sent_s: when the heartbeat was sent.
    :ivar applied_revision: revision that the peer reported.
    :ivar confirms: whether the peer's state counts.
    """

    sent_s: float
    applied_revision: int
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
        self.needs_recovery = True
        # A barrier may count an acknowledgement from before the restart.
        # Peers that confirm this entry's state while such a barrier is open
        # may acknowledge its revision afterwards, and this entry would be
        # counted without having it. So only answers to heartbeats sent
        # after the end of all such barriers count for the recovery.
        self.recovery_start_s = (
            clock()
            + settings.freshness.accept_within_s
            + settings.freshness.margin_s
        )
        self.admission_stopped = False
        self.last_read_s = NEVER_S
        self.sent_heartbeats: OrderedDict[int, float] = OrderedDict()
        self.confirmations: dict[str, Confirmation] = {}

    def record_store_read(self, began_s: float, revision: int) -> bool:
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
            self.last_read_s = max(self.last_read_s, began_s)
            if self.needs_recovery:
                # The entry may have acknowledged revisions before it was
                # restarted, deletions among them, which a read does not
                # show. It must not report a lower revision than those.
                self.table.acknowledge(revision)
                self.needs_recovery = False
        return True

    def record_heartbeat_sent(self, sequence: int) -> None:
        """Note when a heartbeat is about to be sent."""
        with self.lock:
            self.sent_heartbeats[sequence] = self.clock()
            if len(self.sent_heartbeats) > MAX_SENT_HEARTBEATS:
                self.sent_heartbeats.popitem(last=False)

    def record_confirmation(
        self, name: str, sequence: int, applied: int, confirms: bool = True
    ) -> None:
        """Note a peer's answer to a heartbeat.

        :param name: the peer.
        :param sequence: number of the heartbeat.
        :param applied: revision that the peer reports.
        :param confirms: false if the peer is recovering.
        """
        with self.lock:
            sent_s = self.sent_heartbeats.get(sequence, NEVER_S)
            existing = self.confirmations.get(name)
            if sent_s == NEVER_S or (existing and existing.sent_s > sent_s):
                return
            self.confirmations[name] = Confirmation(sent_s, applied, confirms)
            if len(self.confirmations) > MAX_SENT_HEARTBEATS:
                oldest = min(
                    self.confirmations,
                    key=lambda n: self.confirmations[n].sent_s,
                )
                del self.confirmations[oldest]

    @property
    def recovering(self) -> bool:
        """Whether a restart may have lost acknowledged revisions."""
        if self.needs_recovery:
            self.confirmed_by_peers(self.table.view)
        return self.needs_recovery

    def stop_admitting(self) -> None:
        """Stop admitting for good, before this entry leaves the list."""
        self.admission_stopped = True

    def may_admit(self) -> bool:
        """Return whether the entry may admit work now."""
        return not self.not_admitting_reason()

    def not_admitting_reason(self) -> str:
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
        if own.leaving or self.admission_stopped:
            return "leaving"
        if self.clock() - self.last_read_s <= self.limit_s:
            return ""
        if self.confirmed_by_peers(view):
            return ""
        return "recovering" if self.needs_recovery else "stale"

    def confirmed_by_peers(self, view: ConfigView) -> bool:
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
                self.confirmations[member.name]
                for member in members
                if member.name in self.confirmations
                and member.name != self.name
                and self.confirmations[member.name].sent_s >= oldest_s
            ]
            if not members or any(
                p.applied_revision > covered for p in recent
            ):
                return False
            confirming = [
                peer
                for peer in recent
                if peer.confirms
                and not (
                    self.needs_recovery and peer.sent_s < self.recovery_start_s
                )
            ]
            if not self.needs_recovery:
                return len(confirming) + 1 >= needed
            # The restarted entry may itself have been the common member, so
            # its own vote does not count. In a list of two names no
            # majority without it exists; the other name then has
            # acknowledged whatever was accepted.
            if len(confirming) < max(1, min(needed, len(members) - 1)):
                return False
            self.table.acknowledge(max(p.applied_revision for p in confirming))
            self.needs_recovery = False
            return True

    def store_read_age_s(self) -> float:
        """Return the age of the newest store read that was applied."""
        return self.clock() - self.last_read_s


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
        self.majority_reached_s: float | None = None
        self.final_state = ""

    @property
    def majority(self) -> int:
        """Return how many acknowledgements make a majority."""
        return len(self.members) // 2 + 1

    @property
    def unacknowledged(self) -> list[str]:
        """Return the members that have not acknowledged."""
        return sorted(self.members - self.acked)

    def record_ack(self, name: str) -> None:
        """Note that a member has applied the revision.

        :param name: the member; other names are ignored.
        """
        if self.state == "unknown":
            return
        if name in self.members:
            self.acked.add(name)
        if (
            self.majority_reached_s is None
            and len(self.acked) >= self.majority
        ):
            self.majority_reached_s = self.clock()

    def accept_at_s(self) -> float | None:
        """Return when the change is accepted without further acks."""
        if self.majority_reached_s is None:
            return None
        if not self.unacknowledged:
            return self.majority_reached_s
        return (
            self.majority_reached_s
            + self.settings.limit_s
            + self.settings.margin_s
        )

    @property
    def state(self) -> str:
        """Return ``accepted``, ``waiting`` or ``unknown``.

        ``unknown`` is final for this barrier, as acknowledgements must not
        be older than ``freshness.accept_within_s``: a member may have been
        restarted since. A later query begins another barrier.
        """
        if self.final_state:
            return self.final_state
        now_s, due_s = self.clock(), self.accept_at_s()
        end_s = self.started_s + self.settings.accept_within_s
        if due_s is not None and due_s <= min(now_s, end_s):
            self.final_state = "accepted"
        elif now_s >= end_s:
            self.final_state = "unknown"
        return self.final_state or "waiting"
