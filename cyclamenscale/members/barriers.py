"""Waits until revisions are in force everywhere."""

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

#: Barriers that can be asked about; the oldest are dropped first.
ROUNDS_LIMIT = 4096

#: A notice may be lost, or meet a peer that is being restarted.
NOTICE_EVERY_S = 0.5

#: Longest waits for an acknowledgement: before and after this entry itself
#: covers the revision, which is not notified here.
UNCOVERED_WAIT_S = 0.01
WAIT_S = 0.1


class Round:
    """One attempt to find out that a revision is in force.

    :param number: sent with the notices, and back with acknowledgements.
    :param revision: the revision.
    :param started_s: when the attempt began.
    """

    def __init__(self, number: int, revision: int, started_s: float):
        """Begin without acknowledgements."""
        self.number = number
        self.revision = revision
        self.started_s = started_s
        self.acked: set[str] = set()
        self.barrier: Barrier | None = None


class Barriers:
    """The barriers of the changes that this entry was asked about.

    All may be called from several threads.

    :param settings: the whole settings.
    :param table: this entry's configuration.
    :param link: carries notices and acknowledgements.
    :param freshness: tells whether this entry may acknowledge.
    :param metrics: counters.
    :param clock: monotonic seconds.
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
        """Register for acknowledgements."""
        self.settings = settings
        self.name = settings.entry.name
        self.table = table
        self.link = link
        self.freshness = freshness
        self.metrics = metrics
        self.clock = clock
        # Guards number, rounds and their contents; notified by
        # acknowledgements.
        self.changed = Condition()
        # An acknowledgement of a barrier before a restart must not match.
        self.number = secrets.randbits(48)
        self.rounds: OrderedDict[int, Round] = OrderedDict()
        link.on(ChangeAck, self.take_ack)

    def take_ack(self, ack: ChangeAck) -> None:
        """Note that a member has applied a revision."""
        with self.changed:
            round_ = self.rounds.get(ack.revision)
            if round_ is None or round_.number != ack.number:
                self.metrics.incr("operations.late_acks")
                return
            round_.acked.add(ack.sender)
            if round_.barrier is not None:
                round_.barrier.ack(ack.sender)
            self.changed.notify_all()

    def open(self, revision: int) -> Round:
        """Return the open or accepted round of a revision; lock is held."""
        now_s = self.clock()
        found = self.rounds.get(revision)
        if found is not None:
            end_s = found.started_s + self.settings.freshness.accept_within_s
            accepted = found.barrier and found.barrier.state == "accepted"
            if accepted or now_s < end_s:
                return found
            del self.rounds[revision]
        self.number += 1
        self.rounds[revision] = Round(self.number, revision, now_s)
        if len(self.rounds) > ROUNDS_LIMIT:
            self.rounds.popitem(last=False)
            self.metrics.incr("operations.barriers_dropped")
        return self.rounds[revision]

    def advance(self, round_: Round) -> None:
        """Begin the barrier of a round, and give this entry's own vote.

        The barrier begins once this entry covers the revision, as only then
        does it know the member list that the barrier has to wait for. The
        lock is held.
        """
        revision = round_.revision
        if round_.barrier is None:
            if self.table.covered < revision:
                return
            members = self.table.view.members.members
            round_.barrier = Barrier(
                revision,
                [member.name for member in members],
                round_.started_s,
                self.settings,
                self.clock,
            )
            for name in round_.acked:
                round_.barrier.ack(name)
        waiting = self.name in round_.barrier.missing
        if waiting and not self.freshness.recovering:
            self.table.acknowledge(revision)
            round_.barrier.ack(self.name)

    def notify(self, round_: Round) -> None:
        """Ask all peers to acknowledge a revision."""
        self.link.broadcast(
            ChangeNotice(self.name, round_.revision, round_.number)
        )

    def poll(self, revision: int) -> str:
        """Return ``accepted`` or ``waiting``, without waiting."""
        with self.changed:
            round_ = self.open(revision)
            self.advance(round_)
            if round_.barrier and round_.barrier.state == "accepted":
                return "accepted"
        self.notify(round_)
        return "waiting"

    def require(self, revision: int, started_s: float, what: str) -> None:
        """Wait until a revision is in force everywhere.

        :param revision: the revision.
        :param started_s: when the change was asked for.
        :param what: id of the change, for the error.
        :raises OutcomeUnknownError: if that takes too long.
        """
        state, reason = self.wait(revision, started_s, False)
        if state != "accepted":
            self.metrics.incr("operations.unknown")
            raise OutcomeUnknownError(what, reason)

    def majority(self, revision: int, started_s: float) -> bool:
        """Wait until a majority has acknowledged a revision."""
        return self.wait(revision, started_s, True)[0] == "accepted"

    def wait(
        self, revision: int, started_s: float, majority_only: bool
    ) -> tuple[str, str]:
        """Wait for a barrier; return its state and what is missing."""
        end_s = started_s + self.settings.freshness.accept_within_s
        notice_s = self.clock()
        with self.changed:
            round_ = self.open(revision)
        while True:
            now_s = self.clock()
            if now_s >= notice_s:
                notice_s = now_s + NOTICE_EVERY_S
                self.notify(round_)
            with self.changed:
                self.advance(round_)
                barrier = round_.barrier
                if barrier is not None and (
                    barrier.state == "accepted"
                    or (majority_only and barrier.majority_s is not None)
                ):
                    return "accepted", ""
                if now_s >= end_s or (barrier and barrier.state == "unknown"):
                    return "unknown", self.describe(revision, barrier)
                self.changed.wait(
                    UNCOVERED_WAIT_S if barrier is None else WAIT_S
                )

    def describe(self, revision: int, barrier: Barrier | None) -> str:
        """Say what a barrier waits for."""
        if barrier is None:
            return f"this entry has not read revision {revision} yet"
        if barrier.majority_s is None:
            return (
                f"{len(barrier.acked)} of {len(barrier.members)} members "
                f"have acknowledged, {barrier.majority} are needed"
            )
        return "no acknowledgement from " + ", ".join(barrier.missing)

    def pause(self, wait_s: float) -> None:
        """Wait for a time, or for an acknowledgement of any change."""
        with self.changed:
            self.changed.wait(wait_s)
