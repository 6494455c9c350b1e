"""Tests of placers under faults and with concurrent holders."""

from collections import Counter
from random import Random

import pytest
from hypothesis import Phase
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from cyclamenscale.fleet.ports import Resources
from cyclamenscale.placing import placer as placer_module
from cyclamenscale.placing.job_records import (
    CANCELLED,
    DONE,
    ENDED,
    FAILED,
)
from cyclamenscale.placing.jobs import JobBook, allocations
from cyclamenscale.placing.placer import PoolWork
from cyclamenscale.placing.placer_state import PoolState, Seen
from cyclamenscale.placing.task_actions import TaskActions
from cyclamenscale.placing.task_states import TaskFollower
from cyclamenscale.standin.workers import MemoryWorkers, TaskBehaviour
from test.placing.test_placer import (
    test_jobs_run_to_their_end as run_to_the_end,
)
from test.placing.world import (
    CAPACITY,
    POOL,
    SLACK,
    World,
)

KINDS = {
    "short": TaskBehaviour(Resources(1, 1), 2.0),
    "long": TaskBehaviour(Resources(3, 6), 15.0),
    "huge": TaskBehaviour(Resources(5, 20), 10.0),
    "fails": TaskBehaviour(Resources(1, 1), 1.0, fails=True),
}


#: Runs of the machine, and steps in each.
RUNS = 15
STEPS = 25


class PlacerMachine(RuleBasedStateMachine):
    """Two placers under faults, on a pool that has more jobs than room."""

    quota = Resources(18, 72, 3)

    @initialize()
    def start(self):
        self.world = World(size=3, max_quarantined_share=0.4)
        self.world.truths = KINDS
        for team in ("a", "b"):
            self.world.book.set_quota(POOL, team, self.quota)
        self.count = 0
        self.tasks: set[str] = set()
        self.held: set[str] = set()
        self.cancelled: set[str] = set()
        self.quarantines = 0
        self.submit("short", "a", True, 8, 1)
        self.submit("long", "b", False, 8, 2)

    @rule(
        kind=st.sampled_from(sorted(KINDS)),
        team=st.sampled_from("ab"),
        once=st.booleans(),
        number=st.integers(4, 16),
        urgency=st.integers(0, 2),
    )
    def submit(self, kind, team, once, number, urgency):
        for _ in range(number):
            self.count += 1
            self.world.submit(
                f"j{self.count}",
                kind=kind,
                team=team,
                at_most_once=once,
                urgency=urgency,
                can_checkpoint=not once,
            )

    def pass_time(self, rounds):
        """Let both placers tick."""
        for _ in range(rounds):
            self.world.clock.advance(1.0)
            self.world.sync()
            for which in (0, 1):
                self.tick(which)

    def tick(self, which):
        """Let one placer tick, and check the tasks that it claimed."""
        self.world.entries[which].tick()
        self.check_records()

    def check_records(self):
        """Check what the store holds after each tick."""
        quarantined = self.world.quarantined()
        stored = self.world.book.read_jobs(POOL)
        teams, workers = allocations(stored.values())
        for used in teams.values():
            assert used.fits(self.quota.plus(SLACK))
        for used in workers.values():
            assert used.fits(CAPACITY.plus(SLACK))
        tasks = {}
        for job, (_, _, record) in stored.items():
            if record.task:
                tasks[record.task.id] = record.task
                assert record.state not in ENDED - {CANCELLED}
            if record.spec.at_most_once:
                assert self.world.workers.starts[f"{POOL}/{job}"] <= 1
        for name in tasks.keys() - self.tasks:
            assert tasks[name].worker not in quarantined & self.held
        self.tasks = set(tasks)
        self.held = quarantined
        self.quarantines += bool(quarantined)

    @rule(rounds=st.integers(3, 12))
    def work(self, rounds):
        self.pass_time(rounds)
        running = {
            task.split("/")[1] for task in self.world.workers.running(POOL)
        }
        assert not running & self.cancelled

    @rule(
        fault=st.sampled_from(["lose_next", "down"]),
        which=st.integers(0, 1),
        rounds=st.integers(1, 3),
    )
    def store_fault(self, fault, which, rounds):
        faults = self.world.entries[which].store.faults
        faults.set(**{fault: rounds})
        self.pass_time(rounds)
        faults.clear()
        self.pass_time(3)

    @rule(which=st.integers(0, 1), pause_s=st.sampled_from([2.0, 5.0]))
    def pause_between_ticks(self, which, pause_s):
        self.world.clock.advance(pause_s)
        self.world.sync()
        self.tick(which)
        self.pass_time(2)

    @rule(once=st.booleans(), team=st.sampled_from("ab"))
    def pause_before_write(self, once, team):
        """One placer is paused between reading and writing."""
        world = self.world
        self.submit("short", team, once, 12, 1)
        world.sync()
        for entry in world.entries:
            other = next(e for e in world.entries if e is not entry)
            fence = entry.holder.fence(POOL)
            if fence is None:
                continue

            def pause(other=other):
                world.clock.advance(5.0)
                world.state.expire_leases()
                # Only the other one is heard while this one is paused.
                world.alive = [other.holder.name]
                self.submit("long", team, False, 3, 0)
                for _ in range(3):
                    world.clock.advance(0.5)
                    other.tick()
                self.check_records()

            entry.store.pause = pause
            entry.placer.tick(POOL, fence)
            entry.store.pause = None
            self.check_records()
            world.alive = [each.holder.name for each in world.entries]
            break
        self.pass_time(3)

    @rule(lost=st.integers(1, 4), once=st.booleans())
    def lose_platform_answers(self, lost, once):
        self.submit("short", "a", once, 3, 0)
        self.world.workers.lose_answers = lost
        self.pass_time(3)

    @rule(number=st.integers(0, 2), rounds=st.integers(1, 8))
    def cut_off(self, number, rounds):
        self.world.workers.unreachable.add(f"w{number}")
        self.pass_time(rounds)
        self.world.workers.unreachable.clear()
        self.pass_time(3)

    @rule(which=st.sampled_from(["store", "tasks"]))
    def leases_end(self, which):
        if which == "store":
            self.world.state.expire_leases()
        else:
            self.world.workers.expire_leases(POOL)
        self.pass_time(3)

    @rule(number=st.integers(0, 2))
    def fail_worker(self, number):
        failing = self.world.workers.failing
        failing[f"w{number}"] = 0.0
        self.submit("short", "a", False, 6, 0)
        self.submit("short", "b", False, 6, 0)
        self.pass_time(12)
        failing.clear()

    @rule(number=st.integers(0, 2), rounds=st.integers(1, 9))
    def kill_worker(self, number, rounds):
        self.world.workers.kill(f"w{number}")
        self.pass_time(rounds)
        self.world.workers.restore(f"w{number}")
        self.pass_time(2)

    @rule(number=st.integers(0, 2))
    def drain(self, number):
        self.world.set_state(f"w{number}", "draining")
        self.pass_time(4)
        self.world.set_state(f"w{number}", "live")

    @rule(first=st.integers(0, 3), number=st.integers(2, 12))
    def cancel(self, first, number):
        self.submit("long", "b", False, 4, 0)
        self.pass_time(2)
        placed = [job for job, each in self.world.jobs().items() if each.task]
        self.world.book.cancel(POOL, placed[first : first + number])
        self.cancelled |= {
            job
            for job, each in self.world.jobs().items()
            if each.state == CANCELLED
        }
        self.work(6)


PlacerMachine.TestCase.settings = hypothesis_settings(
    max_examples=RUNS, stateful_step_count=STEPS
)
TestPlacerMachine = PlacerMachine.TestCase


class CountingMachine(PlacerMachine):
    """Adds up what the runs did."""

    totals: Counter = Counter()

    def teardown(self):
        if hasattr(self, "world"):
            self.totals.update(self.world.states())
            self.totals["started"] += len(self.world.workers.started)
            self.totals["quarantined"] += self.quarantines


def random_step(machine: PlacerMachine, rng: Random) -> None:
    """Apply one rule of the machine with arguments drawn from a source."""
    pick, count = rng.choice, rng.randint
    once, number, which = pick((True, False)), count(0, 2), count(0, 1)
    pick(
        (
            lambda: machine.work(count(3, 12)),
            lambda: machine.store_fault(
                pick(("lose_next", "down")), which, count(1, 3)
            ),
            lambda: machine.pause_between_ticks(which, pick((2.0, 5.0))),
            lambda: machine.pause_before_write(once, pick("ab")),
            lambda: machine.lose_platform_answers(count(1, 4), once),
            lambda: machine.cut_off(number, count(1, 8)),
            lambda: machine.leases_end(pick(("store", "tasks"))),
            lambda: machine.fail_worker(number),
            lambda: machine.kill_worker(number, count(1, 9)),
            lambda: machine.drain(number),
            lambda: machine.cancel(count(0, 3), count(2, 12)),
        )
    )()


def test_the_machine_makes_progress():
    """Guards against invariants that hold because nothing ever starts.

    The steps are drawn here, since hypothesis takes constants from all
    modules that are loaded, and its runs change with each edit of any.
    """
    rng = Random(1)
    CountingMachine.totals.clear()
    for _ in range(RUNS):
        machine = CountingMachine()
        machine.start()
        for _ in range(STEPS):
            random_step(machine, rng)
        machine.teardown()
    found = CountingMachine.totals
    assert found["started"] >= 200
    assert found[DONE] >= 50
    assert found[CANCELLED] >= 20
    assert found[FAILED] >= 20
    assert found["quarantined"] >= 1


def ignore_quota(monkeypatch):
    """Place whatever the quota says."""
    monkeypatch.setattr(placer_module, "quota_admits", lambda *args: True)


def restart_lost_tasks(monkeypatch):
    """Queue a job again although it must run at most once."""
    monkeypatch.setattr(TaskFollower, "gone", TaskFollower.again)


def no_stop(monkeypatch):
    """Take a stop for confirmed without sending it."""

    def mutant(self, task, worker):
        self.state.note_stopped(task)
        return True

    monkeypatch.setattr(TaskActions, "stop", mutant)


def ignore_control(monkeypatch):
    """Write without comparing the control."""
    commit = JobBook.commit
    monkeypatch.setattr(
        JobBook,
        "commit",
        lambda self, group, pool="", fence=0: commit(self, group),
    )


def ignore_quarantine(monkeypatch):
    """Give quarantined workers new tasks."""
    monkeypatch.setattr(Seen, "quarantined", lambda self: set())


def forget_allocations(monkeypatch):
    """Take each worker for idle."""
    monkeypatch.setattr(
        "cyclamenscale.placing.placer_state.allocations", lambda jobs: ({}, {})
    )


def new_action_ids(monkeypatch):
    """Send each start under an id of its own."""
    start = MemoryWorkers.start_task

    def mutant(self, worker, order, action_id, fence):
        action_id = f"{action_id}/{self.actions['sent']}"
        self.actions["sent"] += 1
        start(self, worker, order, action_id, fence)

    monkeypatch.setattr(MemoryWorkers, "start_task", mutant)


def start_before_claim(monkeypatch):
    """Start a task before its claim is written."""
    write = PoolWork.write

    def mutant(self, group):
        for change in group:
            if change.after and change.after.state == "claimed":
                self.actions.start(change.after)
        write(self, group)

    monkeypatch.setattr(PoolWork, "write", mutant)


def drop_cancelled(monkeypatch):
    """Free the quota of a cancelled job before its task is stopped."""
    cancelled = JobBook.cancelled
    monkeypatch.setattr(
        JobBook,
        "cancelled",
        lambda self, record: cancelled(self, record)._replace(task=None),
    )
    monkeypatch.setattr(TaskActions, "stop_unknown", lambda self, seen: None)


def stale_index(monkeypatch):
    """Keep the free resources of the first tick."""
    refresh = PoolState.refresh

    def mutant(self, seen):
        if not self.index.workers:
            refresh(self, seen)

    monkeypatch.setattr(PoolState, "refresh", mutant)


@pytest.mark.parametrize(
    "mutate",
    [
        ignore_quota,
        restart_lost_tasks,
        no_stop,
        ignore_control,
        ignore_quarantine,
        forget_allocations,
        new_action_ids,
        start_before_claim,
        drop_cancelled,
        stale_index,
    ],
)
def test_mutations_are_caught(monkeypatch, mutate):
    """Guards against invariants that could not fail."""
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        run_to_the_end()
        run_state_machine_as_test(
            PlacerMachine,
            settings=hypothesis_settings(
                PlacerMachine.TestCase.settings,
                phases=[Phase.generate],
                max_examples=40,
            ),
        )
