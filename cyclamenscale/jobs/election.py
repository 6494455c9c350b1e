"""Leader election: acquires the leader key, begins and ends terms.

The entries with the most capacity try first (:mod:`.precedence`). One that
finds a smaller leader asks it to resign. The request is a write of its own,
so an entry that the store refuses can't ask, and the revision of the write
shows which term it asks to end.
"""

from collections.abc import Callable
from concurrent.futures import Future
from random import Random

from cyclamenscale.jobs.job_index import JobIndex, Leader
from cyclamenscale.jobs.keys import LEADER
from cyclamenscale.jobs.leadership import Lease
from cyclamenscale.jobs.model import EntryCapacity
from cyclamenscale.jobs.ports import StoreCalls
from cyclamenscale.jobs.precedence import (
    LONGEST_DELAY_S,
    capacity_of,
    rank_tiers,
    tier_delay_s,
)
from cyclamenscale.jobs.state import Term
from cyclamenscale.settings import Settings
from cyclamenscale.store.port import Compare, Put, TxnResult
from cyclamenscale.util.events import EventLog
from cyclamenscale.util.loop import Loop

#: Maximum random delay before an attempt, so that the entries don't all try
#: at the same time.
MAX_JITTER_S = 0.08

#: Delay after a failed attempt.
RETRY_DELAY_S = 0.25

#: Interval of direct reads of the leader key while another entry leads.
REREAD_INTERVAL_S = 1.0

#: Additional delay of a process that may not know its peers yet. Entries
#: that start together publish their capacities within it.
SETTLING_TIME_S = 0.4

#: Time under a smaller leader after which an entry asks to lead. Long
#: compared with the pauses of a takeover.
REQUEST_DELAY_S = 10.0

#: Time for which an entry that has lost its lease lets all others go first.
SETBACK_S = 10.0


class Election:
    """Holds the leader key, or waits until it is free.

    :param settings: settings of all sections.
    :param loop: clock and timers.
    :param store: the store.
    :param job_index: has the current leader.
    :param begin_term: called with the :class:`Term` when it begins.
    :param end_term: called with the reason when the term ends.
    :param request_lead: writes this entry's request to lead.
    :ivar eligible: whether this entry may become the leader.
    """

    def __init__(
        self,
        settings: Settings,
        loop: Loop,
        store: StoreCalls,
        job_index: JobIndex,
        events: EventLog,
        rng: Random,
        begin_term: Callable[[Term], None],
        end_term: Callable[[str], None],
        request_lead: Callable[[], None],
    ):
        """Initialise as a follower."""
        self.settings = settings
        self.loop = loop
        self.store = store
        self.job_index = job_index
        self.events = events
        self.rng = rng
        self.name = settings.entry.name
        self.capacity = capacity_of(settings.entry)
        self.begin_term = begin_term
        self.end_term = end_term
        self.request_lead = request_lead
        self.lease = Lease(loop.clock)
        self.term: Term | None = None
        self.eligible = False
        self.competing = False
        self.renewing = False
        self.next_attempt_s = 0.0
        self.next_renewal_s = 0.0
        self.last_read_s = loop.clock()
        #: When this process found that there is no leader, None if there is.
        self.vacant_since_s: float | None = None
        self.peers_known = False
        self.followed_fence = 0
        self.next_request_s = 0.0
        self.request_delay_s = REQUEST_DELAY_S
        self.lease_lost_s = -1e9
        #: Whether the machine of this entry has become slow.
        self.is_slow = False
        self.was_elected_slow = False
        #: When the first of the renewals was sent that have failed since the
        #: last success, 0 if none has.
        self.renewal_failing_since_s = 0.0

    def run(self) -> None:
        """Renew the lease or try to become the leader, if that is due.

        Called several times a second.
        """
        now_s = self.loop.clock()
        if (
            self.lease.id
            and not self.renewing
            and now_s >= self.next_renewal_s
        ):
            self.renew(now_s)
        self.hand_over()
        self.hand_over_if_slow()
        self.update_vacancy(now_s)
        if (
            self.term
            or self.competing
            or not self.eligible
            or now_s < self.next_attempt_s
        ):
            return
        leader = self.job_index.leader
        if leader is None:
            if now_s < self.vacant_since_s + self.vacancy_delay_s():
                return
            self.next_attempt_s = now_s + RETRY_DELAY_S
            self.competing = True
            delay_s = self.rng.random() * MAX_JITTER_S
            self.loop.call_later(delay_s, self.compete)
        elif leader.node == self.name:
            # The holder is an earlier process of this entry, which has ended.
            self.next_attempt_s = now_s + RETRY_DELAY_S
            self.events.note("leader.end_own", lease=leader.lease)
            self.revoke_lease(leader.lease)
        else:
            self.follow(leader, now_s)

    def follow(self, leader: Leader, now_s: float) -> None:
        """Check the current leader while another entry leads."""
        if now_s - self.last_read_s > REREAD_INTERVAL_S:
            # The watch may be behind.
            self.last_read_s = now_s
            self.store.read(LEADER).add_done_callback(self.handle_reread)
        if leader.fence != self.followed_fence:
            self.followed_fence = leader.fence
            self.next_request_s = now_s + self.request_delay_s
        elif now_s >= self.next_request_s:
            tiers = rank_tiers(self.known_capacities())
            if self.is_slow:
                self.request_delay_s = REQUEST_DELAY_S
            elif tiers[self.name] < tiers.get(leader.node, 0):
                # Rarer each time, in case this entry can't keep the lease.
                self.request_delay_s *= 2
                self.events.note("leader.requested", leader=leader.node)
                self.request_lead()
            else:
                self.request_delay_s = REQUEST_DELAY_S
            self.next_request_s = now_s + self.request_delay_s

    def hand_over(self) -> None:
        """End the term if an entry with more capacity asks to lead."""
        if not self.term:
            return
        requests = self.job_index.lead_requests
        current = [n for n in requests if requests[n] > self.term.fence]
        if not current:
            return
        tiers = rank_tiers(self.known_capacities())
        own_tier = tiers[self.name]
        for name in current:
            if tiers.get(name, own_tier) < own_tier:
                self.resign(f"{name} has more capacity")
                return

    def hand_over_if_slow(self) -> None:
        """End the term if the machine has become slow and there are peers.

        The others elect a leader before this entry tries again. One that
        was slow when it was elected stays: the others are slow too, or away.
        """
        if not self.term or not self.is_slow:
            self.was_elected_slow = False
        elif not self.was_elected_slow and len(self.known_capacities()) > 1:
            self.resign("its machine has become slow")

    def handle_first_read(self) -> None:
        """Check whether the peers are known from before a restart.

        Called after the first read of the store and before this entry
        publishes its capacity. If the record of its earlier process has not
        expired, neither have those of its peers.
        """
        self.peers_known = self.name in self.job_index.capacities

    def update_vacancy(self, now_s: float) -> None:
        """Record since when there has been no leader."""
        if self.term or self.job_index.leader:
            self.peers_known = True
            self.vacant_since_s = None
        elif self.eligible and self.vacant_since_s is None:
            self.vacant_since_s = now_s

    def vacancy_delay_s(self) -> float:
        """Return the time from a vacancy to this entry's first attempt."""
        lost_recently = self.loop.clock() < self.lease_lost_s + SETBACK_S
        if lost_recently or self.is_slow:
            delay_s = LONGEST_DELAY_S
        else:
            tiers = rank_tiers(self.known_capacities())
            delay_s = tier_delay_s(tiers[self.name])
        return delay_s + (0.0 if self.peers_known else SETTLING_TIME_S)

    def known_capacities(self) -> dict[str, EntryCapacity]:
        """Return the capacities of this entry and its peers, by name."""
        return self.job_index.capacities | {self.name: self.capacity}

    def handle_reread(self, done: Future) -> None:
        """Apply a direct read of the leader key."""
        if done.exception() or self.term or self.competing:
            # A read that was sent before this entry competed is outdated.
            return
        if done.result() is None:
            self.job_index.leader = None
        else:
            self.job_index.apply(done.result(), self.loop.clock())

    def compete(self) -> None:
        """Obtain a lease if there is none, then try to create the key."""
        if self.job_index.leader is not None or self.term:
            self.competing = False
            return
        if self.lease.is_confirmed():
            self.create_key()
            return
        ttl_ms = self.settings.jobs.lease_ttl_ms
        sent_s = self.loop.clock()

        def granted(done: Future) -> None:
            if done.exception():
                self.competing = False
                self.next_attempt_s = self.loop.clock() + RETRY_DELAY_S
                return
            self.lease.record_grant(done.result(), ttl_ms / 1000, sent_s)
            self.next_renewal_s = sent_s + self.settings.jobs.renew_s
            self.create_key()

        self.store.grant_lease(ttl_ms).add_done_callback(granted)

    def create_key(self) -> None:
        """Try to create the leader key."""
        put = Put(LEADER, self.name.encode(), self.lease.id)

        def created(done: Future) -> None:
            self.competing = False
            if done.exception():
                self.next_attempt_s = self.loop.clock() + RETRY_DELAY_S
                return
            result: TxnResult = done.result()
            fence = result.revision
            if not result.succeeded:
                found = result.current.get(LEADER)
                if not found or found.lease != self.lease.id:
                    if found:
                        self.job_index.apply(found, self.loop.clock())
                    return
                # An earlier attempt succeeded, but its response was lost.
                fence = found.mod_revision
            self.renewal_failing_since_s = 0.0
            self.term = Term(self.name, fence, self.loop.clock())
            self.was_elected_slow = self.is_slow
            self.log_win(self.term)
            self.update_vacancy(self.term.began_s)
            self.begin_term(self.term)

        self.store.txn([Compare(LEADER, 0)], [put]).add_done_callback(created)

    def log_win(self, term: Term) -> None:
        """Log a won election with the capacities that decided it."""
        known = self.known_capacities()
        tiers = rank_tiers(known)
        since_s = self.vacant_since_s
        self.events.note(
            "leader.won",
            fence=term.fence,
            tier=tiers[self.name],
            capacity=self.capacity._asdict(),
            best=known[min(tiers, key=tiers.get)]._asdict(),
            entries=len(known),
            vacant_s=(
                None if since_s is None else round(term.began_s - since_s, 3)
            ),
        )

    def renew(self, now_s: float) -> None:
        """Renew the lease."""
        self.renewing = True
        self.next_renewal_s = now_s + self.settings.jobs.renew_s
        lease = self.lease.id

        def renewed(done: Future) -> None:
            self.renewing = False
            if lease != self.lease.id:
                return
            if done.exception():
                self.log_failure("renew", done)
                if not self.renewal_failing_since_s:
                    self.renewal_failing_since_s = now_s
                return
            self.renewal_failing_since_s = 0.0
            if done.result():
                self.lease.record_renewal(now_s)
            else:
                self.lease.record_loss()
                self.lease_lost_s = self.loop.clock()
                self.resign("the lease has ended")

        self.store.renew_lease(lease).add_done_callback(renewed)

    def revoke_lease(self, lease: int) -> None:
        """Revoke a lease; if that fails, it expires by itself."""

        def ended(done: Future) -> None:
            if done.exception():
                self.log_failure("end", done)

        self.store.revoke_lease(lease).add_done_callback(ended)

    def log_failure(self, call: str, done: Future) -> None:
        """Log a failed call about a lease."""
        self.events.note(
            "leader.lease_failed", call=call, reason=str(done.exception())
        )

    def resign(self, why: str) -> None:
        """End the term, if any, and revoke the lease."""
        if self.term:
            self.events.note("leader.lost", fence=self.term.fence, why=why)
            self.term = None
            self.end_term(why)
        if self.lease.id:
            self.revoke_lease(self.lease.id)
            self.lease.record_loss()
        self.job_index.leader = None
        self.next_attempt_s = self.loop.clock() + RETRY_DELAY_S
