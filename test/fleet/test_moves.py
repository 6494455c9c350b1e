"""Tests of moves between pools: sizing, planning and execution."""

from random import Random

import pytest
from hypothesis import Phase
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from cyclamenscale.fleet import mover
from cyclamenscale.fleet.budget import (
    BUDGET_PREFIX,
    BudgetRecord,
    MoveRecord,
    allowed_out,
)
from cyclamenscale.fleet.drain import next_action
from cyclamenscale.fleet.mover import Mover
from cyclamenscale.fleet.moves import (
    DemandEnvelope,
    PoolState,
    plan_moves,
    size_for_envelope,
)
from cyclamenscale.fleet.outages import LoadedBudget
from cyclamenscale.model import CLASS_PREFIX, POOL_PREFIX, RequestClass
from cyclamenscale.model import PoolRecord as Pool
from cyclamenscale.settings import Settings
from cyclamenscale.util.codec import decode_record
from test.fleet.test_controller import POOL, SIZE, START_S, FakeEntry, World

SPARE = "spare"
POOLS = (POOL, SPARE)
FLEET = Settings().fleet._replace(
    envelope_s=60.0, payback_s=300.0, moves_per_hour=2
)


class MovesEntry(FakeEntry):
    """An entry that schedules two pools."""

    def sync(self) -> None:
        """Apply the configuration in the store, with both pools."""
        super().sync()
        pools = {name: Pool(name, name == SPARE) for name in POOLS}
        self.applied_view = self.applied_view._replace(pools=pools)

    def tick(self) -> None:
        """Renew the lease and run the controller of the controlled pools."""
        self.holder.tick(POOLS)
        for pool in POOLS:
            fence = self.holder.fence(pool)
            if fence is not None:
                self.controller.tick(pool, fence)

    def demand(self, pool: str) -> float | None:
        """Return the demand that the test sets."""
        return self.world.demands[pool]


class MovesWorld(World):
    """Two pools; all instances start in the one that is not spare.

    :param share: share of that pool's instances that may be out of service.
    """

    def __init__(self, share: float = 0.5):
        """Start with low demand for one pool and high for the spare pool."""
        self.demands = {POOL: 8.0, SPARE: 30.0}
        super().__init__(share)
        self.settings = self.settings._replace(fleet=FLEET)
        for name in POOLS:
            self.write(POOL_PREFIX + name, Pool(name, name == SPARE))
        spare = RequestClass("reports", SPARE, 1000, 0.5)
        self.write(CLASS_PREFIX + "reports", spare)
        for name, member in self.members().items():
            record = member._replace(maintained_s=START_S)
            self.write("config/instance/" + name, record)
        self.entries = [MovesEntry(name, self) for name in self.alive]
        self.sync()

    def record(self, pool: str) -> BudgetRecord:
        """Read the budget record of a pool."""
        _, found = self.admin.get(BUDGET_PREFIX + pool)
        if found is None:
            return BudgetRecord()
        return decode_record(found.value, BudgetRecord, found.key)


def test_instances_follow_demand():
    """Guards against moves that never start or never finish."""
    world = MovesWorld()
    world.run(400)
    members = world.members()
    moved = [n for n, each in members.items() if each.pool == SPARE]
    assert len(moved) == FLEET.moves_per_hour
    assert all(each.state == "live" for each in members.values())
    assert not world.record(SPARE).outages
    assert len(world.record(SPARE).moves) == FLEET.moves_per_hour


def test_lowered_target_holds_for_moves_not_started():
    """Guards against a controller that starts a move on an old target."""
    world = MovesWorld()
    for entry in world.entries:
        entry.fresh = False
    world.run(150)
    for entry in world.entries:
        entry.fresh = True
    world.set_share(0.05)
    for _ in range(12):
        world.clock.advance(1.0)
        for entry in world.entries:
            entry.tick()
    assert not world.record(POOL).outages
    world.set_share(0.5)
    world.run(12)
    assert world.record(POOL).moves


def pool(name, size, wanted, spare=False, moves=(), removable=1):
    """Return the state of a pool."""
    return PoolState(name, spare, size, wanted, moves, removable)


def planned_moves(*pools):
    """Return donor and receiver of the planned moves."""
    return [tuple(m) for m in plan_moves(pools, 1000.0, FLEET, Random(1))]


def test_spare_pool_gives_first_and_receives_the_surplus():
    """Guards against a donor used before the spare pool, or a kept surplus."""
    short = pool("a", 2, 3)
    surplus = pool("b", 9, 4)
    assert planned_moves(short, surplus, pool("s", 5, 1, True))[0] == (
        "s",
        "a",
    )
    assert planned_moves(surplus, pool("s", 5, 5, True)) == [("b", "s")]
    assert planned_moves(surplus._replace(removable=0), short) == []
    assert planned_moves(surplus._replace(wanted=None), short) == []


def test_moves_are_not_reversed_within_the_payback():
    """Guards against an instance that moves back and forth."""
    received = (MoveRecord(900.0, "s", True),)
    given = (MoveRecord(900.0, "a", False),)
    surplus = pool("a", 9, 4, moves=received)
    spare = pool("s", 2, 5, True, moves=given)
    assert planned_moves(surplus, spare) == []
    old = surplus._replace(moves=(MoveRecord(600.0, "s", True),))
    assert planned_moves(old, spare._replace(moves=())) == [("a", "s")]


def test_short_class_keeps_its_capacity_under_both_objectives():
    """Guards against short requests that queue behind long ones."""
    envelope = DemandEnvelope(FLEET)
    for second in range(60):
        envelope.record(80.0 if second % 20 == 0 else 8.0, second, 0.0)
    with_moves = FLEET._replace(objective="buffer_and_moves")
    short = RequestClass("bid", "a", 1000, 0.25)
    mixed = (short, RequestClass("papers", "a", 60000, 0.25))
    assert size_for_envelope(envelope, mixed, 8.0, with_moves) >= 10
    with_buffer = size_for_envelope(envelope, mixed, 8.0, FLEET)
    assert with_buffer > size_for_envelope(envelope, mixed, 8.0, with_moves)


class MovesMachine(RuleBasedStateMachine):
    """Two pools and two controllers under faults."""

    @initialize(share=st.sampled_from([0.05, 0.1, 0.5]))
    def start(self, share):
        self.world = MovesWorld(share)
        self.planned = {name: set() for name in POOLS}
        self.starts: list[tuple[float, str]] = []

    def check_starts(self):
        """Check the budget, the rate and the payback of what started."""
        world = self.world
        members = world.members()
        for name in POOLS:
            share = world.share if name == POOL else 0.5
            record = world.record(name)
            joining = {e.instance for e in record.outages if e.joining}
            planned = {e.instance for e in record.outages} - joining
            size = sum(
                each.pool == name and n not in joining
                for n, each in members.items()
            )
            if planned - self.planned[name]:
                classes = [RequestClass("", name, 1000, share)]
                assert len(planned) <= allowed_out(size, classes)
            for each in record.outages:
                begun = (each.started_s, each.target)
                if each.purpose == "move" and begun not in self.starts:
                    self.starts.append(begun)
            self.planned[name] = planned
        now_s = world.clock()
        hour = [s for s, _ in self.starts if now_s - s < 3600]
        assert len(hour) <= FLEET.moves_per_hour
        for first, second in zip(self.starts, self.starts[1:], strict=False):
            if first[1] != second[1]:
                assert second[0] - first[0] >= FLEET.payback_s

    def tick_one(self, which):
        self.world.entries[which].tick()
        self.check_starts()

    @rule(rounds=st.sampled_from([1, 10, 70]))
    def work(self, rounds):
        for _ in range(rounds):
            self.world.clock.advance(1.0)
            self.world.sync()
            for which in (0, 1):
                self.tick_one(which)

    @rule(which=st.integers(0, 1), pause_s=st.sampled_from([0.0, 2.0, 11.0]))
    def tick_on_old_view(self, which, pause_s):
        self.world.clock.advance(pause_s)
        self.tick_one(which)

    @rule(which=st.integers(0, 1), lost=st.integers(1, 3))
    def tick_with_lost_answers(self, which, lost):
        faults = self.world.entries[which].store.faults
        faults.set(lose_next=lost)
        self.tick_one(which)
        faults.clear()

    @rule(high=st.booleans())
    def turn_demand(self, high):
        self.world.demands = {
            POOL: 60.0 if high else 8.0,
            SPARE: 8.0 if high else 60.0,
        }

    @rule(share=st.sampled_from([0.05, 0.1, 0.5]), which=st.integers(0, 1))
    def change_target(self, share, which):
        self.world.set_share(share)
        self.tick_one(which)

    @rule()
    def expire_leases(self):
        self.world.state.expire_leases()

    @rule(number=st.integers(0, SIZE - 1), count=st.integers(0, 2))
    def requests(self, number, count):
        name = f"n{number}"
        if not count or self.world.members()[name].state == "live":
            self.world.platform.instances[name].in_progress = count

    @invariant()
    def one_record_holds_each_outage(self):
        members = self.world.members()
        held = [
            (each.instance, name, each)
            for name in POOLS
            for each in self.world.record(name).outages
        ]
        names = [name for name, _, _ in held]
        assert len(names) == len(set(names))
        out = {n for n, each in members.items() if each.state != "live"}
        assert out == set(names)
        for instance, holder, outage in held:
            assert members[instance].pool == holder
            if outage.joining:
                assert outage.target == holder
                assert members[instance].state == "moving"

    @invariant()
    def no_request_is_cut(self):
        for each in self.world.platform.instances.values():
            assert not each.cut_requests
            assert len(each.actions) == len(set(each.actions))


MovesMachine.TestCase.settings = hypothesis_settings(
    max_examples=10, stateful_step_count=20, deadline=None
)
TestMovesMachine = MovesMachine.TestCase


def keep_donor_outage(monkeypatch):
    """Keep the outage in the donor's record when the instance moves."""
    monkeypatch.setattr(
        BudgetRecord, "without_outage", lambda self, instance: self
    )


def forget_moves(monkeypatch):
    """Record no moves, so that rate and payback time are not enforced."""
    monkeypatch.setattr(Mover, "with_move", lambda self, record, *rest: record)


def ignore_budget(monkeypatch):
    """Move an instance even if the donor's budget does not allow it."""
    start = Mover.start_move

    def mutant(self, loaded, listed, use):
        use = use._replace(allowed=use.size, out=frozenset())
        return start(self, loaded, listed, use)

    monkeypatch.setattr(Mover, "start_move", mutant)
    monkeypatch.setattr(mover, "allowed_out", lambda size, classes: size)


def ignore_targets(monkeypatch):
    """Compare other keys than the classes on which a move is based."""
    monkeypatch.setattr(mover, "CLASS_PREFIX", "absent/")


def keep_pool(monkeypatch):
    """Transfer the outage but leave the instance in its old pool."""
    encode = mover.encode_record

    def mutant(record):
        if getattr(record, "state", "") == "moving":
            other = SPARE if record.pool == POOL else POOL
            record = record._replace(pool=other)
        return encode(record)

    monkeypatch.setattr(mover, "encode_record", mutant)


def skip_drain(monkeypatch):
    """Move without waiting for requests in progress."""

    def mutant(pool, outage, observed):
        return next_action(pool, outage, observed._replace(in_progress=0))

    monkeypatch.setattr("cyclamenscale.fleet.controller.next_action", mutant)


def count_as_member(monkeypatch):
    """Write outages that are never marked as joining the receiver."""
    put = LoadedBudget.put

    def mutant(self, record):
        outages = tuple(e._replace(joining=False) for e in record.outages)
        return put(self, record._replace(outages=outages))

    monkeypatch.setattr(LoadedBudget, "put", mutant)


@pytest.mark.parametrize(
    "mutate",
    [
        keep_donor_outage,
        forget_moves,
        ignore_budget,
        ignore_targets,
        keep_pool,
        skip_drain,
        count_as_member,
    ],
)
def test_mutations_are_caught(monkeypatch, mutate):
    """Guards against invariants that do not detect a violation."""
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        test_lowered_target_holds_for_moves_not_started()
        run_state_machine_as_test(
            MovesMachine,
            settings=hypothesis_settings(
                MovesMachine.TestCase.settings,
                max_examples=40,
                phases=[Phase.generate],
            ),
        )
