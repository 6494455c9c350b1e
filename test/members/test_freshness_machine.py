"""Searches for runs in which an accepted change is not in force.

The tables, freshness and barriers of several entries share a virtual clock
and a store, which is modelled as a list of changes. Every exchange between
entries is a separate step, so that partitions, outages, restarts and pauses
can occur between any two of them.
"""

from itertools import count

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from cyclamenscale.configuration.table import ConfigTable
from cyclamenscale.members.freshness import Barrier, Confirmation, Freshness
from cyclamenscale.members.member_list import with_member
from cyclamenscale.members.messages import ConfigChange
from cyclamenscale.model import MEMBERS_KEY, MemberList, MemberRecord
from cyclamenscale.settings import (
    EntrySettings,
    FreshnessSettings,
    PeersSettings,
    Settings,
)
from cyclamenscale.util.clock import VirtualClock
from cyclamenscale.util.codec import encode_record

# Logs and tombstones limited to two changes make repairs and evictions common.
SETTINGS = Settings(
    peers=PeersSettings(log_limit=2), freshness=FreshnessSettings(6, 1, 12)
)
NAMES = ["a", "b", "c", "d"]
FIRST_MEMBERS = NAMES[:3]


class Entry:
    """State in memory of one entry's process."""

    def __init__(self, name, clock, sequences):
        entry_settings = SETTINGS._replace(entry=EntrySettings(name=name))
        self.name = name
        self.table = ConfigTable(entry_settings)
        self.freshness = Freshness(entry_settings, clock, self.table, 10**9)
        self.sequences = sequences
        self.sent = 0
        self.pending_read = None
        self.barriers = {}
        self.last_covered = 0
        self.revisions = {}


class Cluster:
    """Entries, a store and the links between the entries."""

    barrier = Barrier

    def __init__(self):
        self.clock = VirtualClock(1000.0)
        self.sequences = count(1)
        self.history = []
        self.members = MemberList()
        self.members_revision = 0
        self.marked = {}
        self.accepted = 0
        self.cut_links = set()
        self.no_store = set()
        self.entries = {}
        # Heartbeat responses in flight: receiving process and arguments.
        self.in_flight = []
        for name in NAMES:
            self.restart(name)
        for name in FIRST_MEMBERS:
            record = MemberRecord(name, 1, "", "")
            self.members = with_member(self.members, name, record)
        self.put(MEMBERS_KEY, encode_record(self.members))

    def restart(self, name):
        """Replace a process, which loses its state."""
        self.entries[name] = Entry(name, self.clock, self.sequences)

    def put(self, key, value):
        """Commit a change; an empty value deletes."""
        revision = len(self.history) + 2
        self.history.append(ConfigChange(key, value, revision))
        if key == MEMBERS_KEY:
            self.members_revision = revision
        return revision

    def state_at(self, revision):
        """Return the newest change of each key up to a revision."""
        return {c.key: c for c in self.history if c.revision <= revision}

    def linked(self, one, other):
        """Return whether messages between two entries are delivered."""
        return frozenset((one, other)) not in self.cut_links

    def write(self, name, key, value):
        """Make a change at an entry and start its barrier."""
        entry = self.entries[name]
        if name not in self.no_store:
            begun = [self.clock(), None, set()]
            entry.barriers[self.put(key, value)] = begun

    def mark_leaving(self, name, other):
        """Mark a member as leaving."""
        old = [m for m in self.members.members if m.name == other]
        if name in self.no_store or not old:
            return
        self.members = with_member(
            self.members, other, old[0]._replace(leaving=True)
        )
        self.write(name, MEMBERS_KEY, encode_record(self.members))

    def change_names(self, name, other, record):
        """Add a name or remove a marked one, like ``MemberListEditor``."""
        found = self.entries[name].barriers.get(self.members_revision)
        barrier = found and found[1]
        records = [m for m in self.members.members if m.name == other]
        ready = barrier and (
            barrier.majority_reached_s is not None
            if record
            else records and records[0].leaving and barrier.state == "accepted"
        )
        if name in self.no_store or not ready or bool(records) == bool(record):
            return
        self.members = with_member(self.members, other, record)
        self.write(name, MEMBERS_KEY, encode_record(self.members))

    def confirm_list(self, name):
        """Start a barrier for the member list in the store."""
        barriers = self.entries[name].barriers
        begun = [self.clock(), None, set()]
        barriers.setdefault(self.members_revision, begun)

    def begin_read(self, name):
        """Start a store read whose response is in flight."""
        if name not in self.no_store:
            revision = len(self.history) + 1
            items = [c for c in self.state_at(revision).values() if c.value]
            self.entries[name].pending_read = (self.clock(), revision, items)

    def finish_read(self, name):
        """Deliver the response of a store read."""
        entry = self.entries[name]
        if entry.pending_read:
            began_s, revision, items = entry.pending_read
            entry.pending_read = None
            entry.table.load(items, revision)
            entry.freshness.record_store_read(began_s, revision)

    def watch(self, name, steps):
        """Deliver the next changes through the watch."""
        table = self.entries[name].table
        if name not in self.no_store and table.covered:
            upto = min(table.covered + steps, len(self.history) + 1)
            new = [c for c in self.history if c.revision > table.covered]
            table.apply([c for c in new if c.revision <= upto], upto)

    def begin_heartbeat(self, name, other):
        """Send a heartbeat whose response is in flight."""
        if not self.linked(name, other) or name == other:
            return
        entry, peer = self.entries[name], self.entries[other]
        sequence = next(self.sequences)
        entry.freshness.record_heartbeat_sent(sequence)
        confirms = not peer.freshness.recovering
        applied = peer.table.view.revision
        self.in_flight.append((entry, other, sequence, applied, confirms))
        del self.in_flight[:-8]

    def deliver_response(self, index):
        """Deliver one of the heartbeat responses in flight."""
        if self.in_flight:
            entry, *confirmation = self.in_flight.pop(
                index % len(self.in_flight)
            )
            entry.freshness.record_confirmation(*confirmation)

    def exchange_heartbeat(self, name, other):
        """Send a heartbeat and deliver its response immediately."""
        before = len(self.in_flight)
        self.begin_heartbeat(name, other)
        if len(self.in_flight) > before or before == 8:
            self.deliver_response(len(self.in_flight) - 1)

    def catch_up(self, name, other):
        """Apply a delta, or the differing buckets, from a peer."""
        if not self.linked(name, other):
            return
        mine, theirs = self.entries[name].table, self.entries[other].table
        after = mine.covered
        complete, upto, changes = theirs.changes_after(after, 100)
        if complete:
            mine.apply(changes, upto, after)
            return
        upto, digests = theirs.digests()
        _, own = mine.digests()
        pairs = enumerate(zip(digests, own, strict=True))
        differ = [n for n, (one, two) in pairs if one != two]
        mine.repair({n: theirs.bucket_items(n) for n in differ}, upto)

    def ack(self, name, other):
        """Let a peer acknowledge the revisions an entry waits for."""
        peer = self.entries[other]
        if not self.linked(name, other) or peer.freshness.recovering:
            return
        for revision, parts in self.entries[name].barriers.items():
            if peer.table.acknowledge(revision):
                parts[2].add(other)
                if parts[1]:
                    parts[1].record_ack(other)

    def check_barriers(self):
        """Create barriers of covered revisions; record accepted revisions."""
        for entry in self.entries.values():
            for revision, pair in entry.barriers.items():
                begun_s, _, early_acks = pair
                if pair[1] is None and entry.table.covered >= revision:
                    listed = entry.table.view.members.members
                    names = [member.name for member in listed]
                    pair[1] = self.barrier(
                        revision, names, begun_s, SETTINGS, self.clock
                    )
                    for name in early_acks:
                        pair[1].record_ack(name)
                if pair[1] is None:
                    continue
                if not entry.freshness.recovering:
                    entry.table.acknowledge(revision)
                    pair[1].record_ack(entry.name)
                if pair[1].state == "accepted":
                    self.accepted = max(self.accepted, revision)

    def check(self):
        """Check the invariants."""
        self.check_barriers()
        for entry in self.entries.values():
            covered = entry.table.covered
            if entry.freshness.may_admit():
                assert covered >= self.accepted, (
                    f"{entry.name} admits at {covered}, "
                    f"{self.accepted} is accepted"
                )
            assert covered >= entry.last_covered, "covered decreased"
            entry.last_covered = covered
            for key, change in self.state_at(covered).items():
                held = entry.table.revision_of(key)
                if change.value:
                    assert held >= change.revision, f"{key} was reverted"
                else:
                    assert held == 0 or held > change.revision, key


entry_names = st.sampled_from(NAMES)
WAITS_S = [0.5, 2.0, 5.5, 6.5, 7.0, 13.0]


class Search(RuleBasedStateMachine):
    """Runs the cluster in random steps."""

    cluster_type = Cluster

    def __init__(self):
        super().__init__()
        self.cluster = self.cluster_type()
        for name in FIRST_MEMBERS:
            self.cluster.begin_read(name)
            self.cluster.finish_read(name)

    @rule(wait_s=st.sampled_from(WAITS_S))
    def advance(self, wait_s):
        self.cluster.clock.advance(wait_s)

    @rule(
        name=entry_names,
        key=st.sampled_from("xyz"),
        value=st.booleans(),
        watched=st.booleans(),
    )
    def write(self, name, key, value, watched):
        self.cluster.write(name, "config/pool/" + key, b"[]" * value)
        if watched:
            self.cluster.watch(name, 99)

    @rule(name=entry_names, finish=st.booleans())
    def read(self, name, finish):
        self.cluster.begin_read(name)
        if finish:
            self.cluster.finish_read(name)

    @rule(name=entry_names)
    def finish_read(self, name):
        self.cluster.finish_read(name)

    @rule(name=entry_names, steps=st.integers(1, 3))
    def watch(self, name, steps):
        self.cluster.watch(name, steps)

    @rule(name=entry_names, other=entry_names)
    def begin_heartbeat(self, name, other):
        self.cluster.begin_heartbeat(name, other)

    @rule(index=st.integers(0, 7))
    def deliver_response(self, index):
        self.cluster.deliver_response(index)

    @rule(name=entry_names)
    def obtain_confirmations(self, name):
        for other in NAMES:
            self.cluster.exchange_heartbeat(name, other)

    @rule(name=entry_names, other=entry_names)
    def catch_up(self, name, other):
        self.cluster.catch_up(name, other)

    @rule(
        name=entry_names,
        others=st.sets(entry_names, min_size=1),
        watched=st.booleans(),
    )
    def ack(self, name, others, watched):
        for other in sorted(others):
            if watched:
                self.cluster.watch(other, 99)
            self.cluster.ack(name, other)

    @rule(name=entry_names, others=st.sets(entry_names))
    def change(self, name, others):
        """Make a change that some members acknowledge immediately."""
        self.write(name, "x", True, True)
        self.cluster.check_barriers()
        self.ack(name, others, True)

    @rule(
        name=entry_names,
        others=st.sets(entry_names, max_size=2),
        cut=st.booleans(),
    )
    def partition(self, name, others, cut):
        pairs = {frozenset((name, other)) for other in others - {name}}
        self.cluster.cut_links = (
            self.cluster.cut_links | pairs
            if cut
            else self.cluster.cut_links - pairs
        )

    @rule(affected=st.sampled_from([(), (), *NAMES, "bc", NAMES]))
    def store_outage(self, affected):
        self.cluster.no_store = set(affected)

    @rule(name=entry_names, selected=st.sampled_from([False, False, True]))
    def restart(self, name, selected):
        if selected:
            self.cluster.restart(name)

    @rule(name=entry_names, other=entry_names)
    def mark_leaving(self, name, other):
        self.cluster.mark_leaving(name, other)

    @rule(name=entry_names)
    def confirm_list(self, name):
        self.cluster.confirm_list(name)

    @rule(name=entry_names, other=entry_names, join=st.booleans())
    def change_names(self, name, other, join):
        record = MemberRecord(other, 1, "", "") if join else None
        self.cluster.change_names(name, other, record)

    @invariant()
    def check_cluster(self):
        self.cluster.check()


def search(cluster, examples, steps):
    """Run the search with a cluster type."""
    machine = type("Search", (Search,), {"cluster_type": cluster})
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            deadline=None,
        ),
    )


def test_no_entry_admits_work_below_an_accepted_revision():
    """Guards against entries that admit work by an older configuration."""
    search(Cluster, 300, 60)


class BarrierWithoutWait(Barrier):
    """A barrier that does not wait until other members lose freshness."""

    def accept_at_s(self):
        return self.majority_reached_s


def test_the_search_finds_a_barrier_that_does_not_wait():
    """Guards against a search that cannot find a violation."""
    without_wait = type(
        "WithoutWait", (Cluster,), {"barrier": BarrierWithoutWait}
    )
    with pytest.raises(AssertionError, match="admits at"):
        search(without_wait, 300, 60)


X = "config/pool/x"


def start_cluster():
    """Return a cluster whose first members have read the store."""
    cluster = Cluster()
    for name in FIRST_MEMBERS:
        cluster.begin_read(name)
        cluster.finish_read(name)
    return cluster


def change(cluster, name, others=(), key=X, value=b"[]"):
    """Make a change that others acknowledge immediately."""
    cluster.write(name, key, value)
    for other in (name, *others):
        cluster.watch(other, 99)
        cluster.check()
        cluster.ack(name, other)
    cluster.check()


def isolate(cluster, name, others):
    """Cut an entry's links to others and the others' access to the store."""
    cluster.cut_links |= {frozenset((name, other)) for other in others}
    cluster.no_store |= set(others)


def pass_time(cluster, total_s, pairs=()):
    """Advance the clock while pairs of entries exchange heartbeats."""
    for _ in range(int(total_s)):
        for one, other in pairs:
            cluster.exchange_heartbeat(one, other)
            cluster.exchange_heartbeat(other, one)
        cluster.clock.advance(1.0)
        cluster.check()


def delayed_read(cluster):
    """Make a change while the response of a store read is in flight."""
    cluster.begin_read("c")
    change(cluster, "a", "b")
    pass_time(cluster, 8)
    cluster.finish_read("c")


def delayed_response(cluster):
    """Make a change while the response to a heartbeat is in flight."""
    isolate(cluster, "a", "c")
    cluster.no_store.add("c")
    cluster.begin_heartbeat("c", "b")
    change(cluster, "a", "b")
    pass_time(cluster, 8)
    cluster.deliver_response(0)


def lost_ack(cluster):
    """Restart a member that has acknowledged a change.

    It then catches up from a member that does not have the change.
    """
    isolate(cluster, "a", "c")
    change(cluster, "a", "b")
    cluster.restart("b")
    isolate(cluster, "a", "bc")
    cluster.catch_up("b", "c")
    pass_time(cluster, 20, ["bc"])


def early_ack(cluster):
    """Restart a member after its acknowledgement, before the majority."""
    cluster.write("a", X, b"[]")
    cluster.watch("b", 99)
    cluster.ack("a", "b")
    cluster.restart("b")
    cluster.no_store |= {"b", "c"}
    cluster.catch_up("b", "c")
    cluster.exchange_heartbeat("b", "a")
    cluster.exchange_heartbeat("b", "c")
    cluster.check()
    cluster.watch("a", 99)
    isolate(cluster, "a", "bc")
    pass_time(cluster, 8, ["bc"])


def nonmember(cluster):
    """Read the store at an entry that is not yet in the member list."""
    cluster.begin_read("d")
    cluster.finish_read("d")
    change(cluster, "a", "bc")


def member_removal(cluster):
    """Remove a partitioned member and make further changes."""
    isolate(cluster, "a", "c")
    isolate(cluster, "b", "c")
    cluster.mark_leaving("a", "c")
    cluster.watch("a", 99)
    cluster.watch("b", 99)
    cluster.check()
    cluster.ack("a", "b")
    cluster.check()
    for _ in range(9):
        cluster.change_names("a", "c", None)
        change(cluster, "a", "b")
        pass_time(cluster, 1)


def missed_deletion(cluster):
    """Acknowledge a deletion that a store read does not return."""
    isolate(cluster, "a", "c")
    cluster.no_store -= {"c"}
    change(cluster, "a")
    cluster.watch("c", 99)
    cluster.no_store |= {"c"}
    cluster.write("a", X, b"")
    cluster.begin_read("b")
    cluster.finish_read("b")
    cluster.watch("a", 99)
    cluster.check()
    cluster.ack("a", "b")
    pass_time(cluster, 8, ["bc"])


def count_reads_by_response_time(patch):
    """Date a store read by its response instead of its request."""
    real = Freshness.record_store_read
    patch.setattr(
        Freshness,
        "record_store_read",
        lambda self, began_s, revision: real(self, self.clock(), revision),
    )


def count_confirmations_by_response_time(patch):
    """Date a confirmation by its receipt instead of its heartbeat."""

    def record_confirmation(self, name, sequence, applied, confirms=True):
        self.confirmations[name] = Confirmation(
            self.clock(), applied, confirms
        )

    patch.setattr(Freshness, "record_confirmation", record_confirmation)


def set_after_init(patch, field, value):
    """Replace the initial value of a field of each Freshness."""
    real = Freshness.__init__

    def init(self, *args):
        real(self, *args)
        setattr(self, field, value)

    patch.setattr(Freshness, "__init__", init)


def skip_recovery(patch):
    """Skip the recovery of a restarted entry."""
    set_after_init(patch, "needs_recovery", False)


def recover_immediately(patch):
    """Let a restarted entry recover while barriers are open."""
    set_after_init(patch, "recovery_start_s", 0.0)


def admit_nonmembers(patch):
    """Let an entry admit work before it is in the member list."""
    real = Freshness.not_admitting_reason

    def not_admitting_reason(self):
        fresh = self.clock() - self.last_read_s <= self.limit_s
        return "" if fresh else real(self)

    patch.setattr(Freshness, "not_admitting_reason", not_admitting_reason)


def remove_after_majority(patch):
    """Remove a name without waiting until the marked list is in force."""
    patch.setattr(Barrier, "state", property(lambda self: "accepted"))
    real = Cluster.check_barriers

    def check_barriers(self):
        patch.undo()
        real(self)
        remove_after_majority(patch)

    patch.setattr(Cluster, "check_barriers", check_barriers)


def forget_acknowledgements(patch):
    """Report only applied revisions, not acknowledged ones."""
    patch.setattr(
        ConfigTable,
        "acknowledge",
        lambda self, revision: self.covered >= revision,
    )


SCENARIOS = [
    (delayed_read, count_reads_by_response_time),
    (delayed_response, count_confirmations_by_response_time),
    (lost_ack, skip_recovery),
    (early_ack, recover_immediately),
    (nonmember, admit_nonmembers),
    (member_removal, remove_after_majority),
    (missed_deletion, forget_acknowledgements),
]


@pytest.mark.parametrize(("scenario", "drop_rule"), SCENARIOS)
def test_each_rule_is_kept_and_needed(scenario, drop_rule, monkeypatch):
    """Guards against the loss of a freshness or barrier rule.

    Each scenario passes with all rules and fails without one of them.
    """
    cluster = start_cluster()
    scenario(cluster)
    cluster.check()
    assert cluster.accepted > 2
    drop_rule(monkeypatch)
    with pytest.raises(AssertionError, match="admits at"):
        cluster = start_cluster()
        scenario(cluster)
        cluster.check()
