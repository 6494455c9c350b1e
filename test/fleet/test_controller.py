"""Tests of planned outages, with concurrent controllers and faults."""

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

from cyclamenscale.fleet import controller
from cyclamenscale.fleet.budget import (
    BUDGET_PREFIX,
    BudgetRecord,
    allowed_out,
    budget_use,
)
from cyclamenscale.fleet.control import ControlHolder
from cyclamenscale.fleet.controller import LoadedBudget, PoolController
from cyclamenscale.fleet.drain import next_action
from cyclamenscale.fleet.ports import PlatformInstance
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import (
    CLASS_PREFIX,
    INSTANCE_PREFIX,
    ConfigView,
    InstanceRecord,
    PoolRecord,
    RequestClass,
)
from cyclamenscale.settings import Settings
from cyclamenscale.standin.fleet import MemoryPlatform
from cyclamenscale.standin.memory import MemoryStore
from cyclamenscale.standin.state import StoreState
from cyclamenscale.store.port import Put
from cyclamenscale.util.clock import VirtualClock
from cyclamenscale.util.codec import decode_record, encode_record

POOL = "north"
SIZE = 10
#: Start time, at which the maintenance of every instance is due.
START_S = 40 * 86400.0


class FakeEntry:
    """Controller context of one entry; the test advances the applied view."""

    def __init__(self, name: str, world: "World"):
        """Initialise with an empty view; :meth:`sync` fills it."""
        self.name = name
        self.world = world
        self.store = MemoryStore(world.state, world.settings)
        self.applied = 0
        self.revisions: dict[str, int] = {}
        self.applied_view = ConfigView()
        self.fresh = True
        self.decisions: list[str] = []
        metrics = Metrics(world.settings)
        settings = world.settings._replace(
            entry=world.settings.entry._replace(name=name)
        )
        self.holder = ControlHolder(
            settings, self.store, 1, lambda: world.alive, metrics, world.clock
        )
        self.controller = PoolController(
            settings, self.store, world.platform, self, metrics, world.clock
        )

    def sync(self) -> None:
        """Apply the configuration in the store."""
        found = MemoryStore(self.world.state).range("config/")
        instances = {}
        classes = {}
        self.revisions = {}
        for item in found.items:
            self.revisions[item.key] = item.mod_revision
            if item.key.startswith(INSTANCE_PREFIX):
                each = decode_record(item.value, InstanceRecord, item.key)
                instances[each.name] = each
            elif item.key.startswith(CLASS_PREFIX):
                each = decode_record(item.value, RequestClass, item.key)
                classes[each.name] = each
        self.applied = found.revision
        pools = {POOL: PoolRecord(POOL, version=self.world.version)}
        self.applied_view = ConfigView(
            found.revision, classes, pools, instances
        )

    def tick(self) -> None:
        """Renew the lease and run the controller if the pool is controlled."""
        self.holder.tick([POOL])
        fence = self.holder.fence(POOL)
        if fence is not None:
            self.controller.tick(POOL, fence)

    def view(self) -> ConfigView:
        return self.applied_view

    def revision_of(self, key: str) -> int:
        return self.revisions.get(key, 0)

    def may_admit(self) -> bool:
        return self.fresh

    def announce(self, revision: int) -> None:
        pass

    def in_force(self, revision: int) -> bool:
        return all(e.applied >= revision for e in self.world.entries)

    def in_progress(self, instance: str) -> int | None:
        return self.world.platform.instances[instance].in_progress

    def long_work(self, pool: str) -> dict[str, int]:
        return {}

    def demand(self, pool: str) -> float | None:
        return None

    def unavailable(self, pool: str) -> set[str]:
        return self.world.unavailable

    def probe(self, instance: PlatformInstance) -> bool:
        return self.world.platform.healthy(instance.name)

    def decided(self, what: str, subject: str, why: str, inputs: dict):
        self.decisions.append(what)


class World:
    """One pool of ten instances, a store, a platform and two entries.

    :param share: share of the instances that may be out of service.
    :param version: target version of the pool, or empty.
    """

    def __init__(self, share: float = 0.3, version: str = ""):
        """Write the initial configuration and apply it at the entries."""
        self.clock = VirtualClock(START_S)
        self.settings = Settings()
        self.state = StoreState(clock=self.clock)
        self.platform = MemoryPlatform(self.clock)
        self.version = version
        self.alive = ["e1", "e2"]
        self.unavailable: set[str] = set()
        self.admin = MemoryStore(self.state)
        self.set_share(share)
        for number in range(SIZE):
            name = f"n{number}"
            record = InstanceRecord(name, POOL)
            self.write(INSTANCE_PREFIX + name, record)
            self.platform.add(
                PlatformInstance(
                    name, "127.0.0.1:1", f"dc-{number % 3}", f"r-{number % 5}"
                )
            )
        self.entries = [FakeEntry(name, self) for name in self.alive]
        self.sync()

    def write(self, key: str, record) -> None:
        """Write a record without comparisons, as an operator would."""
        self.admin.txn([], [Put(key, encode_record(record))])

    def set_share(self, share: float) -> None:
        """Set the availability target of the pool's class."""
        self.share = share
        record = RequestClass("replan", POOL, 1000, share)
        self.write(CLASS_PREFIX + "replan", record)

    def sync(self) -> None:
        """Apply the configuration at every entry."""
        for entry in self.entries:
            entry.sync()

    def budget(self) -> BudgetRecord:
        """Read the pool's budget record."""
        _, found = self.admin.get(BUDGET_PREFIX + POOL)
        if found is None:
            return BudgetRecord()
        return decode_record(found.value, BudgetRecord, found.key)

    def members(self) -> dict[str, InstanceRecord]:
        """Read the instance records, by name."""
        return {
            item.key.removeprefix(INSTANCE_PREFIX): decode_record(
                item.value, InstanceRecord, item.key
            )
            for item in self.admin.range(INSTANCE_PREFIX).items
        }

    def run(self, seconds: float) -> int:
        """Run the entries without faults, one tick per second.

        :returns: the largest number of instances out at the same time.
        """
        most_out = 0
        for _ in range(int(seconds)):
            self.clock.advance(1.0)
            self.sync()
            for entry in self.entries:
                entry.tick()
            most_out = max(most_out, len(self.budget().outages))
        return most_out


def test_every_instance_is_maintained_within_the_budget():
    """Guards against exceeding the budget and skipping an instance."""
    world = World(share=0.3)
    most_out = world.run(400)
    assert most_out == 3
    done = world.members().values()
    assert all(each.maintained_s > START_S for each in done)
    assert all(each.state == "live" for each in done)


def test_bad_version_halts_its_roll_out():
    """Guards against a bad version that is rolled out to more instances."""
    world = World(share=0.2, version="v2")
    world.platform.bad_versions.add("v2")
    world.run(300)
    record = world.budget()
    assert record.halted_version == "v2"
    assert len(record.outages) <= 2
    assert any("rollout_halted" in e.decisions for e in world.entries)
    world.version = "v3"
    world.run(600)
    listed = world.platform.instances.values()
    assert {each.listed.version for each in listed} == {"v3"}


def test_drain_waits_for_stragglers():
    """Guards against a reboot that interrupts requests in progress."""
    world = World()
    for each in world.platform.instances.values():
        each.in_progress = 1
    world.run(100)
    assert all(not e.actions for e in world.platform.instances.values())
    for each in world.platform.instances.values():
        each.in_progress = 0
    world.run(400)
    assert all(each.actions for each in world.platform.instances.values())


def test_dead_holder_is_replaced_within_ten_seconds():
    """Guards against a pool that no entry controls after a failure."""
    world = World()
    world.run(3)
    stopped = next(e for e in world.entries if e.holder.fence(POOL))
    world.entries.remove(stopped)
    world.alive = [entry.name for entry in world.entries]
    world.run(10)
    assert world.entries[0].holder.fence(POOL)


def test_lowered_target_holds_for_outages_not_started():
    """Guards against a controller that starts outages on an old target."""
    world = World(share=0.5)
    world.set_share(0.1)
    for entry in world.entries:
        entry.tick()
    assert len(world.budget().outages) <= 1
    assert world.run(20) == 1


class ControllerMachine(RuleBasedStateMachine):
    """Two controllers under faults: outages stay within the budget."""

    @initialize(share=st.sampled_from([0.1, 0.25, 0.5]))
    def start(self, share):
        self.world = World(share)
        self.planned: set[str] = set()

    def check_starts(self):
        """Compare outages that were started since with the target."""
        planned = {each.instance for each in self.world.budget().outages}
        if planned - self.planned:
            out = planned | self.world.unavailable
            classes = [RequestClass("replan", POOL, 1000, self.world.share)]
            assert len(out) <= allowed_out(SIZE, classes)
        self.planned = planned

    @rule(rounds=st.integers(1, 20))
    def work(self, rounds):
        for _ in range(rounds):
            self.world.clock.advance(1.0)
            self.world.sync()
            for which in (0, 1):
                self.tick(which)

    @rule(which=st.integers(0, 1))
    def tick(self, which):
        self.world.entries[which].tick()
        self.check_starts()

    @rule(which=st.integers(0, 1), lost=st.integers(1, 2))
    def tick_with_lost_answers(self, which, lost):
        faults = self.world.entries[which].store.faults
        faults.set(lose_next=lost)
        self.tick(which)
        faults.clear()

    @rule(which=st.integers(0, 1))
    def tick_with_store_down(self, which):
        faults = self.world.entries[which].store.faults
        faults.set(down=True)
        self.tick(which)
        faults.clear()

    @rule(which=st.integers(0, 1), pause_s=st.sampled_from([2.0, 6.0]))
    def tick_after_pause(self, which, pause_s):
        self.world.clock.advance(pause_s)
        self.tick(which)

    @rule(share=st.sampled_from([0.1, 0.25, 0.5]), which=st.integers(0, 1))
    def change_target(self, share, which):
        self.world.set_share(share)
        self.tick(which)

    @rule()
    def expire_leases(self):
        self.world.state.expire_leases()

    @rule(number=st.integers(0, SIZE - 1), count=st.integers(0, 2))
    def requests(self, number, count):
        name = f"n{number}"
        if self.world.members()[name].state == "live":
            self.world.platform.instances[name].in_progress = count

    @rule(number=st.integers(0, SIZE - 1))
    def finish_requests(self, number):
        self.world.platform.instances[f"n{number}"].in_progress = 0

    @rule(lost=st.integers(1, 2))
    def lose_platform_answers(self, lost):
        self.world.platform.lose_answers = lost

    @rule(number=st.integers(0, SIZE - 1), gone=st.booleans())
    def fail_instance(self, number, gone):
        change = self.world.unavailable
        change.add(f"n{number}") if gone else change.discard(f"n{number}")

    @invariant()
    def no_request_is_cut(self):
        found = self.world.platform.instances.values()
        assert not any(each.cut_requests for each in found)

    @invariant()
    def each_action_runs_once(self):
        for each in self.world.platform.instances.values():
            assert len(each.actions) == len(set(each.actions))

    @invariant()
    def record_and_state_agree(self):
        planned = {each.instance for each in self.world.budget().outages}
        members = self.world.members()
        out = {n for n, each in members.items() if each.state != "live"}
        assert out == planned


ControllerMachine.TestCase.settings = hypothesis_settings(
    max_examples=25, stateful_step_count=30
)
TestControllerMachine = ControllerMachine.TestCase


def ignore_targets(monkeypatch):
    """Skip the comparison of the records on which an outage is based."""
    start = PoolController.write_outages

    def mutant(self, loaded, view, decision_keys, chosen, use):
        start(self, loaded, view, [], chosen, use)

    monkeypatch.setattr(PoolController, "write_outages", mutant)


def skip_drain(monkeypatch):
    """Reboot without waiting for requests in progress."""

    def mutant(pool, outage, observed):
        return next_action(pool, outage, observed._replace(in_progress=0))

    monkeypatch.setattr(controller, "next_action", mutant)


def exceed_budget(monkeypatch):
    """Allow one more instance out of service than the target does."""

    def mutant(*args):
        use = budget_use(*args)
        return use._replace(allowed=use.allowed + 1)

    monkeypatch.setattr(controller, "budget_use", mutant)


def drop_outages(monkeypatch):
    """Write the instance's state but not its outage."""
    put = LoadedBudget.put

    def mutant(self, record):
        return put(self, record._replace(outages=()))

    monkeypatch.setattr(LoadedBudget, "put", mutant)


def repeat_reboots(monkeypatch):
    """Record each reboot order under the same id, and never carry it out."""
    monkeypatch.setattr(
        MemoryPlatform,
        "reboot",
        lambda self, name, *rest: append_action(self, name),
    )


def append_action(platform, name):
    """Record another reboot of an instance."""
    platform.instances[name].actions.append("again")


@pytest.mark.parametrize(
    "mutate",
    [ignore_targets, skip_drain, exceed_budget, drop_outages, repeat_reboots],
)
def test_mutations_are_caught(monkeypatch, mutate):
    """Guards against invariants that do not detect a violation."""
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        test_lowered_target_holds_for_outages_not_started()
        run_state_machine_as_test(
            ControllerMachine,
            settings=hypothesis_settings(
                ControllerMachine.TestCase.settings,
                phases=[Phase.generate],
            ),
        )
