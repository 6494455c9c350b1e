"""Waits until a revision is in force at all entries."""

import secrets
from collections import OrderedDict
from threading import Condition

from cyclamenscale.configuration.table import ConfigTable
from cyclamenscale.errors import OutcomeUnknownError
from cyclamenscale.members.freshness import Barrier, Freshness
from cyclamenscale.members.messages import ChangeAck, ChangeNotice
from cyclamenscale.members.peers import PeerLink
from cyclamenscale.metrics import Metrics
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock

#: Limit of stored rounds; the oldest are dropped first.
MAX_ROUNDS = 4096

#: A notice is repeated: it may be lost, or its receiver may be restarting.
NOTICE_INTERVAL_S = 0.5

#: Longest waits for an acknowledgement before and after this entry itself
#: covers the revision. The first is short, as covering a revision does not
#: wake up the waiting thread.
MAX_UNCOVERED_WAIT_S = 0.01
MAX_ACK_WAIT_S = 0.1


class AckRound:
    """Acknowledgements of one revision, collected for one barrier.

    :param number: number of the barrier, sent with the notices and returned
        with the acknowledgements.
    :param revision: the configuration revision.
    :param started_s: start of the round.
    """

    def __init__(self, number: int, revision: int, started_s: float):
        """Initialise without acknowledgements."""
        self.number = number
        self.revision = revision
        self.started_s = started_s
        self.acked: set[str] = set()
        self.barrier: Barrier | None = None


class Barriers:
    """The barriers of changes that this entry has written or was queried for.

    All methods are thread-safe.

    :param settings: settings of the entry.
    :param table: configuration of this entry.
    :param link: carries notices and acknowledgements.
    :param freshness: reports whether this entry may acknowledge.
    :param metrics: counters.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        settings: Settings,
        table: ConfigTable,
        link: PeerLink,
        freshness: Freshness,
        metrics: Metrics,
        clock: Clock,
    ):
        """Register the handler of acknowledgements."""
        self.settings = settings
        self.name = settings.entry.name
        self.table = table
        self.link = link
        self.freshness = freshness
        self.metrics = metrics
        self.clock = clock
        # Guards last_number, rounds and their contents; notified by each
        # acknowledgement.
        self.changed = Condition()
        # Starts at random so that an acknowledgement of a barrier from before
        # a restart does not match.
        self.last_number = secrets.randbits(48)
        self.rounds: OrderedDict[int, AckRound] = OrderedDict()
        link.on(ChangeAck, self.handle_ack)

    def handle_ack(self, ack: ChangeAck) -> None:
        """Record that a member has applied a revision."""
        with self.changed:
            ack_round = self.rounds.get(ack.revision)
            if ack_round is None or ack_round.number != ack.number:
                self.metrics.incr("operations.late_acks")
                return
            ack_round.acked.add(ack.sender)
            if ack_round.barrier is not None:
                ack_round.barrier.record_ack(ack.sender)
            self.changed.notify_all()

    def find_or_start_round(self, revision: int) -> AckRound:
        """Return the open or accepted round of a revision, or start one.

        The caller holds the lock.
        """
        now_s = self.clock()
        found = self.rounds.get(revision)
        if found is not None:
            end_s = found.started_s + self.settings.freshness.accept_within_s
            accepted = found.barrier and found.barrier.state == "accepted"
            if accepted or now_s < end_s:
                return found
            del self.rounds[revision]
        self.last_number += 1
        self.rounds[revision] = AckRound(self.last_number, revision, now_s)
        if len(self.rounds) > MAX_ROUNDS:
            self.rounds.popitem(last=False)
            self.metrics.incr("operations.barriers_dropped")
        return self.rounds[revision]

    def update_barrier(self, ack_round: AckRound) -> None:
        """Create the barrier of a round and add this entry's acknowledgement.

        The barrier is created once this entry covers the revision, as only
        then does it have the member list that the barrier has to wait for.
        The caller holds the lock.
        """
        revision = ack_round.revision
        if ack_round.barrier is None:
            if self.table.covered < revision:
                return
            members = self.table.view.members.members
            ack_round.barrier = Barrier(
                revision,
                [member.name for member in members],
                ack_round.started_s,
                self.settings,
                self.clock,
            )
            for name in ack_round.acked:
                ack_round.barrier.record_ack(name)
        waiting = self.name in ack_round.barrier.unacknowledged
        if waiting and not self.freshness.recovering:
            self.table.acknowledge(revision)
            ack_round.barrier.record_ack(self.name)

    def broadcast_notice(self, ack_round: AckRound) -> None:
        """Send all peers a notice that requests an acknowledgement."""
        self.link.broadcast(
            ChangeNotice(self.name, ack_round.revision, ack_round.number)
        )

    def poll(self, revision: int) -> str:
        """Return ``accepted`` or ``waiting`` without blocking."""
        with self.changed:
            ack_round = self.find_or_start_round(revision)
            self.update_barrier(ack_round)
            if ack_round.barrier and ack_round.barrier.state == "accepted":
                return "accepted"
        self.broadcast_notice(ack_round)
        return "waiting"

    def wait_until_in_force(
        self, revision: int, started_s: float, change_id: str
    ) -> None:
        """Wait until a revision is in force at all entries.

        :param revision: the configuration revision.
        :param started_s: when the change was requested.
        :param change_id: id of the change, for the error.
        :raises OutcomeUnknownError: if it is not in force within
            ``freshness.accept_within_s``.
        """
        state, reason = self.wait_for_barrier(revision, started_s, False)
        if state != "accepted":
            self.metrics.incr("operations.unknown")
            raise OutcomeUnknownError(change_id, reason)

    def wait_for_majority(self, revision: int, started_s: float) -> bool:
        """Wait until a majority has acknowledged a revision."""
        return (
            self.wait_for_barrier(revision, started_s, True)[0] == "accepted"
        )

    def wait_for_barrier(
        self, revision: int, started_s: float, majority_only: bool
    ) -> tuple[str, str]:
        """Wait for a barrier; return its state and what it still waits for.

        :param revision: the configuration revision.
        :param started_s: when the change was requested.
        :param majority_only: whether acknowledgements of a majority are
            enough.
        """
        end_s = started_s + self.settings.freshness.accept_within_s
        notice_s = self.clock()
        with self.changed:
            ack_round = self.find_or_start_round(revision)
        while True:
            now_s = self.clock()
            if now_s >= notice_s:
                notice_s = now_s + NOTICE_INTERVAL_S
                self.broadcast_notice(ack_round)
            with self.changed:
                self.update_barrier(ack_round)
                barrier = ack_round.barrier
                if barrier is not None and (
                    barrier.state == "accepted"
                    or (
                        majority_only
                        and barrier.majority_reached_s is not None
                    )
                ):
                    return "accepted", ""
                if now_s >= end_s or (barrier and barrier.state == "unknown"):
                    return "unknown", self.describe_missing(revision, barrier)
                self.changed.wait(
                    MAX_UNCOVERED_WAIT_S if barrier is None else MAX_ACK_WAIT_S
                )

    def describe_missing(self, revision: int, barrier: Barrier | None) -> str:
        """Describe which acknowledgements a barrier still waits for."""
        if barrier is None:
            return f"this entry has not read revision {revision} yet"
        if barrier.majority_reached_s is None:
            return (
                f"{len(barrier.acked)} of {len(barrier.members)} members "
                f"have acknowledged, {barrier.majority} are needed"
            )
        return "no acknowledgement from " + ", ".join(barrier.unacknowledged)

    def wait_for_ack(self, wait_s: float) -> None:
        """Wait for an acknowledgement of any change, at most a given time."""
        with self.changed:
            self.changed.wait(wait_s)
