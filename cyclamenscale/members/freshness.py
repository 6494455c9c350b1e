"""Decides whether an entry may admit work and when a change is in force.

The two rules depend on each other. A change is reported as accepted only
after a majority of the member list has acknowledged it and every other member
has lost freshness. An entry stays fresh only through store reads and
heartbeats that it started within ``freshness.limit_s``. Each entry measures
durations on its own clock, so the clocks need not be synchronised;
``freshness.margin_s`` covers the difference of their rates.
"""

from collections import OrderedDict
from collections.abc import Iterable
from threading import Lock
from typing import NamedTuple

from cyclamenscale.configuration.table import ConfigTable
from cyclamenscale.model import ConfigView, MemberList, MemberRecord
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock

#: Limit of stored send times of heartbeats, and of stored confirmations.
#: Heartbeats to all peers share a sequence number, so at the default interval
#: 64 send times span 32 s.
MAX_SENT_HEARTBEATS = 64

#: A time before any limit.
NEVER_S = float("-inf")


class Confirmation(NamedTuple):
    """A peer's response to the newest heartbeat that it has acknowledged.

    :ivar sent_s: when the heartbeat was sent.
    :ivar applied_revision: revision that the peer reported.
    :ivar confirms: false if the peer was recovering, in which case the
        response does not count towards a majority.
    """

    sent_s: float
    applied_revision: int
    confirms: bool


class Freshness:
    """Whether this entry may admit work.

    All methods are thread-safe.

    :param settings: settings of the entry.
    :param clock: returns monotonic seconds.
    :param table: the configuration that this entry has applied.
    :param incarnation: incarnation of this entry.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        table: ConfigTable,
        incarnation: int = 0,
    ):
        """Initialise in the state after a restart, without fresh state."""
        self.name = settings.entry.name
        self.limit_s = settings.freshness.limit_s
        self.clock = clock
        self.table = table
        self.incarnation = incarnation
        # Guards the fields below.
        self.lock = Lock()
        self.needs_recovery = True
        # An open barrier may count an acknowledgement that this entry sent
        # before the restart. Peers that confirm this entry's state while the
        # barrier is open may acknowledge its revision afterwards; this entry
        # would then be counted without having that revision. So recovery
        # counts only responses to heartbeats sent after all such barriers
        # have ended.
        self.recovery_start_s = (
            clock()
            + settings.freshness.accept_within_s
            + settings.freshness.margin_s
        )
        self.admission_stopped = False
        self.last_read_s = NEVER_S
        self.sent_heartbeats: OrderedDict[int, float] = OrderedDict()
        self.confirmations: dict[str, Confirmation] = {}

    def record_store_read(self, requested_s: float, revision: int) -> bool:
        """Record an applied store read, or applied progress of the watch.

        :param requested_s: when the request was sent, never when the response
            arrived: the state in the response may be as old as the request.
        :param revision: store revision in the response.
        :returns: whether it counts towards freshness; it does not as long
            as the table does not cover the revision.
        """
        if self.table.covered < revision:
            return False
        with self.lock:
            self.last_read_s = max(self.last_read_s, requested_s)
            if self.needs_recovery:
                # Before the restart, this entry may have acknowledged
                # revisions, including deletions, which a read does not
                # return. It must not report a lower revision than those.
                self.table.acknowledge(revision)
                self.needs_recovery = False
        return True

    def record_heartbeat_sent(self, sequence: int) -> None:
        """Record the time just before a heartbeat is sent."""
        with self.lock:
            self.sent_heartbeats[sequence] = self.clock()
            if len(self.sent_heartbeats) > MAX_SENT_HEARTBEATS:
                self.sent_heartbeats.popitem(last=False)

    def record_confirmation(
        self,
        name: str,
        sequence: int,
        applied_revision: int,
        confirms: bool = True,
    ) -> None:
        """Record a peer's response to a heartbeat.

        :param name: name of the peer.
        :param sequence: sequence number of the heartbeat.
        :param applied_revision: revision that the peer has applied.
        :param confirms: false if the peer is recovering.
        """
        with self.lock:
            sent_s = self.sent_heartbeats.get(sequence, NEVER_S)
            existing = self.confirmations.get(name)
            if sent_s == NEVER_S or (existing and existing.sent_s > sent_s):
                return
            self.confirmations[name] = Confirmation(
                sent_s, applied_revision, confirms
            )
            if len(self.confirmations) > MAX_SENT_HEARTBEATS:
                oldest_name = min(
                    self.confirmations,
                    key=lambda n: self.confirmations[n].sent_s,
                )
                del self.confirmations[oldest_name]

    @property
    def recovering(self) -> bool:
        """Whether a restart may have lost acknowledged revisions.

        Ends the recovery if a majority of the peers confirms the state.
        """
        if self.needs_recovery:
            self.confirmed_by_peers(self.table.view)
        return self.needs_recovery

    def stop_admitting(self) -> None:
        """Stop admitting permanently, before leaving the member list."""
        self.admission_stopped = True

    def may_admit(self) -> bool:
        """Return whether the entry may admit work now."""
        return not self.not_admitting_reason()

    def not_admitting_reason(self) -> str:
        """Return why the entry may not admit work, empty if it may admit.

        :returns: ``not_member``, ``superseded``, ``leaving``,
            ``recovering``, ``stale`` or an empty string.
        """
        view = self.table.view
        own = find_member(view.members, self.name)
        # Barriers count the members of the applied list, so they do not wait
        # for an entry that is not in it.
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

        Every majority that has acknowledged a revision shares a member with
        the confirming majority, and that member reports the revision. A
        recovering entry that is confirmed ends its recovery.
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
            # The restarted entry may itself have been the shared member, so
            # it does not count towards the majority. In a list of two names
            # there is no majority without it, but the other member has
            # acknowledged every accepted revision.
            if len(confirming) < max(1, min(needed, len(members) - 1)):
                return False
            self.table.acknowledge(max(p.applied_revision for p in confirming))
            self.needs_recovery = False
            return True

    def store_read_age_s(self) -> float:
        """Return the age of the newest applied store read."""
        return self.clock() - self.last_read_s


def find_member(members: MemberList, name: str) -> MemberRecord | None:
    """Return the record of a name in the member list, None if absent."""
    for member in members.members:
        if member.name == name:
            return member
    return None


class Barrier:
    """Decides when a revision is in force at all entries.

    Serves one change. Not thread-safe; threads that share it need a lock.

    :param revision: the configuration revision.
    :param members: names in the member list at that revision or a later
        one, including the entry that waits for the barrier.
    :param started_s: when the change was requested.
    :param settings: settings of the entry.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        revision: int,
        members: Iterable[str],
        started_s: float,
        settings: Settings,
        clock: Clock,
    ):
        """Initialise without acknowledgements."""
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
        """Return the number of acknowledgements that make a majority."""
        return len(self.members) // 2 + 1

    @property
    def unacknowledged(self) -> list[str]:
        """Return the members that have not acknowledged."""
        return sorted(self.members - self.acked)

    def record_ack(self, name: str) -> None:
        """Record that a member has applied the revision.

        :param name: name of the member; names not in the list are ignored.
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
        """Return when the change is accepted without further acknowledgements.

        None as long as no majority has acknowledged it.
        """
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

        ``unknown`` is final for this barrier: acknowledgements must not be
        older than ``freshness.accept_within_s``, as a member may have been
        restarted since. A later query starts a new barrier.
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
