"""State machine test of the claims of two entries under faults."""

from collections import Counter

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from cyclamenscale.errors import StoreError
from cyclamenscale.requests.claim_records import store_key
from cyclamenscale.standin.state import StoreState
from cyclamenscale.util.clock import VirtualClock
from test.requests.test_claims import OUTCOME, Entry, stored

KEYS = st.sampled_from(["k1", "k2"])
# A key that ran can't be claimed again, so most claims are abandoned.
RAN = st.sampled_from([False, False, False, True])
FAULTS = st.sampled_from(
    [{"down": True}, {"slow_s": 3.0}, {"lose_next": 1}, {"lose_next": 2}]
)
ENTRIES = st.integers(0, 1)


class ClaimsMachine(RuleBasedStateMachine):
    """Two entries claim the same keys under faults, in any order.

    A waiting claim to which no rule applies stands for a paused caller or a
    paused entry.
    """

    waiting = Bundle("waiting")

    def __init__(self):
        super().__init__()
        self.clock = VirtualClock(1000.0)
        self.state = StoreState(self.clock)
        self.entries = [Entry(self.state, self.clock, n) for n in "ab"]
        self.attempts = 0
        self.waiting_claims = {}
        #: Attempts whose claim was ``new`` and that ran.
        self.running: dict[str, set] = {"k1": set(), "k2": set()}
        self.ran = Counter()
        self.abandoned = set()

    @rule(target=waiting, entry=ENTRIES, key=KEYS)
    def submit(self, entry, key):
        self.attempts += 1
        attempt = f"attempt-{self.attempts}"
        update = self.entries[entry].claims.submit(
            "invoice", key, "d", attempt
        )
        self.waiting_claims[attempt] = (entry, key, attempt, update)
        return attempt

    @rule(entry=ENTRIES, times=st.integers(1, 3))
    def commit(self, entry, times):
        for _ in range(times):
            self.entries[entry].claims.commit_once()

    @rule(attempt=consumes(waiting), ran=RAN)
    def take_result(self, attempt, ran):
        self.settle(self.waiting_claims.pop(attempt), ran)

    @rule(attempt=consumes(waiting))
    def give_up_in_flight(self, attempt):
        claim = self.waiting_claims.pop(attempt)
        entry = self.entries[claim[0]]
        entry.store.during_txn = lambda: self.settle(claim, False)
        entry.claims.commit_once()
        if entry.store.during_txn:
            entry.store.during_txn = None
            self.settle(claim, False)

    def settle(self, claim, ran):
        """Process the result of a claim, or give it up if there is none."""
        entry, key, attempt, update = claim
        claims = self.entries[entry].claims
        try:
            result = (
                update.result.result(0)
                if update.result.done()
                else claims.give_up(update)
            )
        except StoreError:
            self.abandoned.add(attempt)
            return
        if result.state == "recorded":
            assert self.ran[key] == 1
        if result.state != "new":
            return
        if ran:
            self.ran[key] += 1
            self.running[key].add(attempt)
            claims.record("invoice", key, attempt, OUTCOME)
        else:
            self.abandoned.add(attempt)
            claims.abandon("invoice", key, attempt)

    @rule(entry=ENTRIES, fault=FAULTS)
    def commit_under_fault(self, entry, fault):
        self.entries[entry].store.faults.set(**fault)
        self.entries[entry].claims.commit_once()
        self.entries[entry].store.faults.clear()

    @rule(entry=ENTRIES, fault=FAULTS)
    def begin_fault(self, entry, fault):
        self.entries[entry].store.faults.set(**fault)

    @rule(entry=ENTRIES)
    def end_faults(self, entry):
        self.entries[entry].store.faults.clear()

    @rule(entry=ENTRIES)
    def delay(self, entry):
        self.entries[entry].store.delay_next = True
        self.entries[entry].claims.commit_once()

    @rule(entry=ENTRIES)
    def deliver(self, entry):
        self.entries[entry].store.deliver()

    @rule(by_s=st.sampled_from([1.0, 4000.0]))
    def pass_time(self, by_s):
        # A key may run again after its retention, so stay below 86400 s.
        if self.clock() < 80000.0:
            self.clock.advance(by_s)

    @invariant()
    def no_key_runs_twice(self):
        assert max(self.ran.values(), default=0) <= 1

    @invariant()
    def nothing_abandoned_runs(self):
        for attempts in self.running.values():
            assert not attempts & self.abandoned

    @invariant()
    def no_two_open_claims_are_new(self):
        """At most one open claim of each key is new."""
        for key in self.running:
            new = [
                open_claim.attempt_id
                for entry in self.entries
                for name, open_claim in entry.claims.open_claims.items()
                if name == store_key("invoice", key)
            ]
            assert len(new) <= 1

    def teardown(self):
        """Check that, once faults end, no key stays claimed unless it ran."""
        for claim in list(self.waiting_claims.values()):
            self.settle(claim, ran=False)
        for entry in self.entries:
            entry.store.faults.clear()
            entry.store.delay_next = False
        for _ in range(60):
            for entry in self.entries:
                entry.claims.commit_once()
                entry.store.deliver()
        for key, running in self.running.items():
            record = stored(self.entries[0], key)
            if running:
                assert record.state == "done"
                assert record.attempt_id in running
            else:
                assert record is None or record.state == "abandoned"
        assert not any(entry.claims.queue for entry in self.entries)


TestClaims = ClaimsMachine.TestCase
TestClaims.settings = hypothesis_settings(
    max_examples=300, stateful_step_count=40, deadline=None
)
