"""Searches for runs in which an accepted change is not in force.

Tables, freshness and barriers of several entries share a virtual clock and
a store that is a list of changes; every exchange between entries is a step
of its own, so that cuts, outages, restarts and pauses fall between them.
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
from cyclamenscale.members.members import with_member
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

# A log and tombstones of two entries make repairs and evictions common.
SETTINGS = Settings(
    peers=PeersSettings(log_limit=2), freshness=FreshnessSettings(6, 1, 12)
)
NAMES = ["a", "b", "c", "d"]
FIRST = NAMES[:3]


class Entry:
    """What one entry's process holds in memory."""

    def __init__(self, name, clock, numbers):
        whole = SETTINGS._replace(entry=EntrySettings(name=name))
        self.name = name
        self.table = ConfigTable(whole)
        self.freshness = Freshness(whole, clock, self.table, 10**9)
        self.numbers = numbers
        self.sent = 0
        self.read = None
        self.barriers = {}
        self.covered = 0
        self.revisions = {}


class World:
    """Entries, a store and the links between them."""

    barrier = Barrier

    def __init__(self):
        self.clock = VirtualClock(1000.0)
        self.numbers = count(1)
        self.history = []
        self.members = MemberList()
        self.members_revision = 0
        self.marked = {}
        self.accepted = 0
        self.cut = set()
        self.away = set()
        self.entries = {}
        # Vouches on their way: receiver process, and the arguments.
        self.flying = []
        for name in NAMES:
            self.restart(name)
        for name in FIRST:
            record = MemberRecord(name, 1, "", "")
            self.members = with_member(self.members, name, record)
        self.put(MEMBERS_KEY, encode_record(self.members))

    def restart(self, name):
        """Replace a process; its memory is lost."""
        self.entries[name] = Entry(name, self.clock, self.numbers)

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
        """Return whether messages pass."""
        return frozenset((one, other)) not in self.cut

    def write(self, name, key, value):
        """Make a change at an entry, and begin its barrier."""
        entry = self.entries[name]
        if name not in self.away:
            begun = [self.clock(), None, set()]
            entry.barriers[self.put(key, value)] = begun

    def mark(self, name, other):
        """Mark a member as leaving."""
        old = [m for m in self.members.members if m.name == other]
        if name in self.away or not old:
            return
        self.members = with_member(
            self.members, other, old[0]._replace(leaving=True)
        )
        self.write(name, MEMBERS_KEY, encode_record(self.members))

    def change_names(self, name, other, record):
        """Add a name, or take out one that is marked, as members.py does."""
        found = self.entries[name].barriers.get(self.members_revision)
        barrier = found and found[1]
        gone = [m for m in self.members.members if m.name == other]
        ready = barrier and (
            barrier.majority_s is not None
            if record
            else gone and gone[0].leaving and barrier.state == "accepted"
        )
        if name in self.away or not ready or bool(gone) == bool(record):
            return
        self.members = with_member(self.members, other, record)
        self.write(name, MEMBERS_KEY, encode_record(self.members))

    def confirm(self, name):
        """Begin a barrier for the list that is in the store."""
        known = self.entries[name].barriers
        begun = [self.clock(), None, set()]
        known.setdefault(self.members_revision, begun)

    def begin_read(self, name):
        """Read the store; the answer is on its way."""
        if name not in self.away:
            revision = len(self.history) + 1
            items = [c for c in self.state_at(revision).values() if c.value]
            self.entries[name].read = (self.clock(), revision, items)

    def finish_read(self, name):
        """Take the answer of a read."""
        entry = self.entries[name]
        if entry.read:
            began_s, revision, items = entry.read
            entry.read = None
            entry.table.load(items, revision)
            entry.freshness.store_read(began_s, revision)

    def watch(self, name, steps):
        """Deliver the next changes by the watch."""
        table = self.entries[name].table
        if name not in self.away and table.covered:
            upto = min(table.covered + steps, len(self.history) + 1)
            new = [c for c in self.history if c.revision > table.covered]
            table.apply([c for c in new if c.revision <= upto], upto)

    def beat(self, name, other):
        """Send a heartbeat; its answer is on its way."""
        if not self.linked(name, other) or name == other:
            return
        entry, peer = self.entries[name], self.entries[other]
        number = next(self.numbers)
        entry.freshness.heartbeat_sent(number)
        confirms = not peer.freshness.recovering
        applied = peer.table.view.revision
        self.flying.append((entry, other, number, applied, confirms))
        del self.flying[:-8]

    def deliver(self, index):
        """Deliver one of the answers."""
        if self.flying:
            entry, *vouch = self.flying.pop(index % len(self.flying))
            entry.freshness.vouched(*vouch)

    def meet(self, name, other):
        """Send a heartbeat whose answer comes at once."""
        before = len(self.flying)
        self.beat(name, other)
        if len(self.flying) > before or before == 8:
            self.deliver(len(self.flying) - 1)

    def catch_up(self, name, other):
        """Take a delta, or the buckets that differ, from a peer."""
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
        """Let a peer acknowledge what an entry waits for."""
        peer = self.entries[other]
        if not self.linked(name, other) or peer.freshness.recovering:
            return
        for revision, parts in self.entries[name].barriers.items():
            if peer.table.acknowledge(revision):
                parts[2].add(other)
                if parts[1]:
                    parts[1].ack(other)

    def check_barriers(self):
        """Begin barriers whose revision is covered; see what is accepted."""
        for entry in self.entries.values():
            for revision, pair in entry.barriers.items():
                begun_s, _, early = pair
                if pair[1] is None and entry.table.covered >= revision:
                    listed = entry.table.view.members.members
                    names = [member.name for member in listed]
                    pair[1] = self.barrier(
                        revision, names, begun_s, SETTINGS, self.clock
                    )
                    for name in early:
                        pair[1].ack(name)
                if pair[1] is None:
                    continue
                if not entry.freshness.recovering:
                    entry.table.acknowledge(revision)
                    pair[1].ack(entry.name)
                if pair[1].state == "accepted":
                    self.accepted = max(self.accepted, revision)

    def check(self):
        """Check what must always hold."""
        self.check_barriers()
        for entry in self.entries.values():
            covered = entry.table.covered
            if entry.freshness.may_admit():
                assert covered >= self.accepted, (
                    f"{entry.name} admits at {covered}, "
                    f"{self.accepted} is accepted"
                )
            assert covered >= entry.covered, "covered went back"
            entry.covered = covered
            for key, change in self.state_at(covered).items():
                held = entry.table.revision_of(key)
                if change.value:
                    assert held >= change.revision, f"{key} went back"
                else:
                    assert held == 0 or held > change.revision, key


names = st.sampled_from(NAMES)
WAITS_S = [0.5, 2.0, 5.5, 6.5, 7.0, 13.0]


class Search(RuleBasedStateMachine):
    """Runs the world by random steps."""

    world_type = World

    def __init__(self):
        super().__init__()
        self.world = self.world_type()
        for name in FIRST:
            self.world.begin_read(name)
            self.world.finish_read(name)

    @rule(wait_s=st.sampled_from(WAITS_S))
    def advance(self, wait_s):
        self.world.clock.advance(wait_s)

    @rule(
        name=names,
        key=st.sampled_from("xyz"),
        value=st.booleans(),
        seen=st.booleans(),
    )
    def write(self, name, key, value, seen):
        self.world.write(name, "config/pool/" + key, b"[]" * value)
        if seen:
            self.world.watch(name, 99)

    @rule(name=names, whole=st.booleans())
    def read(self, name, whole):
        self.world.begin_read(name)
        if whole:
            self.world.finish_read(name)

    @rule(name=names)
    def finish_read(self, name):
        self.world.finish_read(name)

    @rule(name=names, steps=st.integers(1, 3))
    def watch(self, name, steps):
        self.world.watch(name, steps)

    @rule(name=names, other=names)
    def beat(self, name, other):
        self.world.beat(name, other)

    @rule(index=st.integers(0, 7))
    def deliver(self, index):
        self.world.deliver(index)

    @rule(name=names)
    def meet_all(self, name):
        for other in NAMES:
            self.world.meet(name, other)

    @rule(name=names, other=names)
    def catch_up(self, name, other):
        self.world.catch_up(name, other)

    @rule(name=names, others=st.sets(names, min_size=1), seen=st.booleans())
    def ack(self, name, others, seen):
        for other in sorted(others):
            if seen:
                self.world.watch(other, 99)
            self.world.ack(name, other)

    @rule(name=names, others=st.sets(names))
    def change(self, name, others):
        """Make a change that some members acknowledge at once."""
        self.write(name, "x", True, True)
        self.world.check_barriers()
        self.ack(name, others, True)

    @rule(name=names, others=st.sets(names, max_size=2), cut=st.booleans())
    def partition(self, name, others, cut):
        pairs = {frozenset((name, other)) for other in others - {name}}
        self.world.cut = (
            self.world.cut | pairs if cut else self.world.cut - pairs
        )

    @rule(away=st.sampled_from([(), (), *NAMES, "bc", NAMES]))
    def store_outage(self, away):
        self.world.away = set(away)

    @rule(name=names, sure=st.sampled_from([False, False, True]))
    def restart(self, name, sure):
        if sure:
            self.world.restart(name)

    @rule(name=names, other=names)
    def mark(self, name, other):
        self.world.mark(name, other)

    @rule(name=names)
    def confirm(self, name):
        self.world.confirm(name)

    @rule(name=names, other=names, join=st.booleans())
    def change_names(self, name, other, join):
        record = MemberRecord(other, 1, "", "") if join else None
        self.world.change_names(name, other, record)

    @invariant()
    def holds(self):
        self.world.check()


def search(world, examples, steps):
    """Run the search with another world."""
    machine = type("Search", (Search,), {"world_type": world})
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
    """Guards against entries that serve an older configuration."""
    search(World, 300, 60)


class HastyBarrier(Barrier):
    """A barrier that does not wait until the others lose freshness."""

    def due_s(self):
        return self.majority_s


def test_the_search_finds_a_barrier_that_does_not_wait():
    """Guards against a search that cannot find anything."""
    hasty = type("Hasty", (World,), {"barrier": HastyBarrier})
    with pytest.raises(AssertionError, match="admits at"):
        search(hasty, 300, 60)


X = "config/pool/x"


def start_world():
    """Return a world whose first members have read the store."""
    world = World()
    for name in FIRST:
        world.begin_read(name)
        world.finish_read(name)
    return world


def change(world, name, others=(), key=X, value=b"[]"):
    """Make a change that others acknowledge at once."""
    world.write(name, key, value)
    for other in (name, *others):
        world.watch(other, 99)
        world.check()
        world.ack(name, other)
    world.check()


def isolate(world, name, others):
    """Cut an entry's links, and the others' way to the store."""
    world.cut |= {frozenset((name, other)) for other in others}
    world.away |= set(others)


def pass_time(world, total_s, pairs=()):
    """Let time pass while pairs of entries exchange heartbeats."""
    for _ in range(int(total_s)):
        for one, other in pairs:
            world.meet(one, other)
            world.meet(other, one)
        world.clock.advance(1.0)
        world.check()


def late_read(world):
    """Change while the answer of a store read is on its way."""
    world.begin_read("c")
    change(world, "a", "b")
    pass_time(world, 8)
    world.finish_read("c")


def late_vouch(world):
    """Change while the answer to a heartbeat is on its way."""
    isolate(world, "a", "c")
    world.away.add("c")
    world.beat("c", "b")
    change(world, "a", "b")
    pass_time(world, 8)
    world.deliver(0)


def lost_ack(world):
    """Restart a member, which meets one that lacks what it acknowledged."""
    isolate(world, "a", "c")
    change(world, "a", "b")
    world.restart("b")
    isolate(world, "a", "bc")
    world.catch_up("b", "c")
    pass_time(world, 20, ["bc"])


def early_ack(world):
    """Restart a member between its acknowledgement and the majority."""
    world.write("a", X, b"[]")
    world.watch("b", 99)
    world.ack("a", "b")
    world.restart("b")
    world.away |= {"b", "c"}
    world.catch_up("b", "c")
    world.meet("b", "a")
    world.meet("b", "c")
    world.check()
    world.watch("a", 99)
    isolate(world, "a", "bc")
    pass_time(world, 8, ["bc"])


def outsider(world):
    """Read the store at an entry that is not in the list yet."""
    world.begin_read("d")
    world.finish_read("d")
    change(world, "a", "bc")


def removal(world):
    """Remove a member that is cut off, and make changes."""
    isolate(world, "a", "c")
    isolate(world, "b", "c")
    world.mark("a", "c")
    world.watch("a", 99)
    world.watch("b", 99)
    world.check()
    world.ack("a", "b")
    world.check()
    for _ in range(9):
        world.change_names("a", "c", None)
        change(world, "a", "b")
        pass_time(world, 1)


def unseen_deletion(world):
    """Acknowledge a deletion that the member's read did not show."""
    isolate(world, "a", "c")
    world.away -= {"c"}
    change(world, "a")
    world.watch("c", 99)
    world.away |= {"c"}
    world.write("a", X, b"")
    world.begin_read("b")
    world.finish_read("b")
    world.watch("a", 99)
    world.check()
    world.ack("a", "b")
    pass_time(world, 8, ["bc"])


def count_answers_not_questions(patch):
    """Take the time of the answer for a store read."""
    real = Freshness.store_read
    patch.setattr(
        Freshness,
        "store_read",
        lambda self, began_s, revision: real(self, self.clock(), revision),
    )


def count_vouches_when_they_come(patch):
    """Take the time of the answer for a heartbeat."""

    def vouched(self, name, sequence, applied, confirms=True):
        self.peers[name] = Confirmation(self.clock(), applied, confirms)

    patch.setattr(Freshness, "vouched", vouched)


def after_init(patch, field, value):
    """Start each Freshness with another value of a field."""
    real = Freshness.__init__

    def init(self, *args):
        real(self, *args)
        setattr(self, field, value)

    patch.setattr(Freshness, "__init__", init)


def forget_restarts(patch):
    """Take a restarted entry for one that never stopped."""
    after_init(patch, "restarted", False)


def recover_at_once(patch):
    """Let a restarted entry recover while barriers are open."""
    after_init(patch, "recover_s", 0.0)


def admit_outsiders(patch):
    """Let an entry admit work before it is in the list."""
    real = Freshness.reason

    def reason(self):
        fresh = self.clock() - self.read_s <= self.limit_s
        return "" if fresh else real(self)

    patch.setattr(Freshness, "reason", reason)


def remove_at_once(patch):
    """Take a name out as soon as the list is known to a majority."""
    patch.setattr(Barrier, "state", property(lambda self: "accepted"))
    real = World.check_barriers

    def check_barriers(self):
        patch.undo()
        real(self)
        remove_at_once(patch)

    patch.setattr(World, "check_barriers", check_barriers)


def report_only_what_was_seen(patch):
    """Do not report acknowledged revisions."""
    patch.setattr(
        ConfigTable,
        "acknowledge",
        lambda self, revision: self.covered >= revision,
    )


RULES = [
    (late_read, count_answers_not_questions),
    (late_vouch, count_vouches_when_they_come),
    (lost_ack, forget_restarts),
    (early_ack, recover_at_once),
    (outsider, admit_outsiders),
    (removal, remove_at_once),
    (unseen_deletion, report_only_what_was_seen),
]


@pytest.mark.parametrize(("trace", "without"), RULES)
def test_each_rule_is_kept_and_needed(trace, without, monkeypatch):
    """Guards against the loss of one of the rules of section 6."""
    world = start_world()
    trace(world)
    world.check()
    assert world.accepted > 2
    without(monkeypatch)
    with pytest.raises(AssertionError, match="admits at"):
        world = start_world()
        trace(world)
        world.check()
