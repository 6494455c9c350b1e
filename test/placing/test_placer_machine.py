"""Stateful tests of two placers under faults and control takeovers."""

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
    ENDED_STATES,
    FAILED,
)
from cyclamenscale.placing.jobs import JobStore, sum_allocations
from cyclamenscale.placing.placer import PlacerTick
from cyclamenscale.placing.placer_state import PlacerState, PoolSnapshot
from cyclamenscale.placing.task_actions import TaskActions
from cyclamenscale.placing.task_states import TaskReconciler
from cyclamenscale.standin.workers import MemoryWorkers, TaskBehaviour
from test.placing.simulation import (
    CAPACITY,
    POOL,
    SLACK,
    PoolSimulation,
)
from test.placing.test_placer import (
    test_jobs_run_to_their_end as check_jobs_run_to_their_end,
)

KINDS = {
    "short": TaskBehaviour(Resources(1, 1), 2.0),
    "long": TaskBehaviour(Resources(3, 6), 15.0),
    "huge": TaskBehaviour(Resources(5, 20), 10.0),
    "fails": TaskBehaviour(Resources(1, 1), 1.0, fails=True),
}


#: Runs of the state machine, and steps in each.
RUNS = 15
STEPS = 25


class PlacerMachine(RuleBasedStateMachine):
    """Two placers under faults, in a pool with more jobs than capacity."""

    quota = Resources(18, 72, 3)

    @initialize()
    def start(self):
        self.simulation = PoolSimulation(size=3, max_quarantined_share=0.4)
        self.simulation.behaviours = KINDS
        for team in ("a", "b"):
            self.simulation.job_store.set_quota(POOL, team, self.quota)
        self.count = 0
        self.task_ids: set[str] = set()
        self.quarantined: set[str] = set()
        self.cancelled: set[str] = set()
        self.quarantines = 0
        self.submit("short", "a", True, 8, 1)
        self.submit("long", "b", False, 8, 2)

    @rule(
        kind=st.sampled_from(sorted(KINDS)),
        team=st.sampled_from("ab"),
        at_most_once=st.booleans(),
        number=st.integers(4, 16),
        urgency=st.integers(0, 2),
    )
    def submit(self, kind, team, at_most_once, number, urgency):
        for _ in range(number):
            self.count += 1
            self.simulation.submit(
                f"j{self.count}",
                kind=kind,
                team=team,
                at_most_once=at_most_once,
                urgency=urgency,
                can_checkpoint=not at_most_once,
            )

    def run_rounds(self, rounds):
        """Run both entries once a second, for a number of seconds."""
        for _ in range(rounds):
            self.simulation.clock.advance(1.0)
            self.simulation.sync()
            for entry_index in (0, 1):
                self.tick(entry_index)

    def tick(self, entry_index):
        """Run one entry and check the stored records."""
        self.simulation.entries[entry_index].tick()
        self.check_records()

    def check_records(self):
        """Check the invariants of the stored records."""
        quarantined = self.simulation.quarantined()
        stored = self.simulation.job_store.read_jobs(POOL)
        teams, workers = sum_allocations(stored.values())
        for used in teams.values():
            assert used.fits(self.quota.plus(SLACK))
        for used in workers.values():
            assert used.fits(CAPACITY.plus(SLACK))
        tasks = {}
        for job, (_, _, record) in stored.items():
            if record.task:
                tasks[record.task.id] = record.task
                assert record.state not in ENDED_STATES - {CANCELLED}
            if record.spec.at_most_once:
                assert self.simulation.workers.starts[f"{POOL}/{job}"] <= 1
        for name in tasks.keys() - self.task_ids:
            assert tasks[name].worker not in quarantined & self.quarantined
        self.task_ids = set(tasks)
        self.quarantined = quarantined
        self.quarantines += bool(quarantined)

    @rule(rounds=st.integers(3, 12))
    def run_without_faults(self, rounds):
        self.run_rounds(rounds)
        running = {
            task.split("/")[1]
            for task in self.simulation.workers.running(POOL)
        }
        assert not running & self.cancelled

    @rule(
        fault=st.sampled_from(["lose_next", "down"]),
        entry_index=st.integers(0, 1),
        rounds=st.integers(1, 3),
    )
    def store_fault(self, fault, entry_index, rounds):
        faults = self.simulation.entries[entry_index].store.faults
        faults.set(**{fault: rounds})
        self.run_rounds(rounds)
        faults.clear()
        self.run_rounds(3)

    @rule(entry_index=st.integers(0, 1), pause_s=st.sampled_from([2.0, 5.0]))
    def pause_between_ticks(self, entry_index, pause_s):
        self.simulation.clock.advance(pause_s)
        self.simulation.sync()
        self.tick(entry_index)
        self.run_rounds(2)

    @rule(at_most_once=st.booleans(), team=st.sampled_from("ab"))
    def pause_before_write(self, at_most_once, team):
        """Pause a placer between its reads and its writes.

        Meanwhile its lease expires and the other entry takes control.
        """
        simulation = self.simulation
        self.submit("short", team, at_most_once, 12, 1)
        simulation.sync()
        for entry in simulation.entries:
            other = next(e for e in simulation.entries if e is not entry)
            fence = entry.holder.fence(POOL)
            if fence is None:
                continue

            def pause(other=other):
                simulation.clock.advance(5.0)
                simulation.state.expire_leases()
                # Only the other entry counts as alive during the pause.
                simulation.alive = [other.holder.name]
                self.submit("long", team, False, 3, 0)
                for _ in range(3):
                    simulation.clock.advance(0.5)
                    other.tick()
                self.check_records()

            entry.store.before_txn = pause
            entry.placer.tick(POOL, fence)
            entry.store.before_txn = None
            self.check_records()
            simulation.alive = [
                each.holder.name for each in simulation.entries
            ]
            break
        self.run_rounds(3)

    @rule(lost_answers=st.integers(1, 4), at_most_once=st.booleans())
    def lose_platform_answers(self, lost_answers, at_most_once):
        self.submit("short", "a", at_most_once, 3, 0)
        self.simulation.workers.lose_answers = lost_answers
        self.run_rounds(3)

    @rule(number=st.integers(0, 2), rounds=st.integers(1, 8))
    def disconnect_worker(self, number, rounds):
        self.simulation.workers.unreachable.add(f"w{number}")
        self.run_rounds(rounds)
        self.simulation.workers.unreachable.clear()
        self.run_rounds(3)

    @rule(kind=st.sampled_from(["store", "tasks"]))
    def expire_leases(self, kind):
        if kind == "store":
            self.simulation.state.expire_leases()
        else:
            self.simulation.workers.expire_leases(POOL)
        self.run_rounds(3)

    @rule(number=st.integers(0, 2))
    def fail_worker(self, number):
        failing = self.simulation.workers.failing
        failing[f"w{number}"] = 0.0
        self.submit("short", "a", False, 6, 0)
        self.submit("short", "b", False, 6, 0)
        self.run_rounds(12)
        failing.clear()

    @rule(number=st.integers(0, 2), rounds=st.integers(1, 9))
    def kill_worker(self, number, rounds):
        self.simulation.workers.kill(f"w{number}")
        self.run_rounds(rounds)
        self.simulation.workers.restore(f"w{number}")
        self.run_rounds(2)

    @rule(number=st.integers(0, 2))
    def drain_worker(self, number):
        self.simulation.set_instance_state(f"w{number}", "draining")
        self.run_rounds(4)
        self.simulation.set_instance_state(f"w{number}", "live")

    @rule(first=st.integers(0, 3), number=st.integers(2, 12))
    def cancel_jobs(self, first, number):
        self.submit("long", "b", False, 4, 0)
        self.run_rounds(2)
        placed = [
            job for job, each in self.simulation.jobs().items() if each.task
        ]
        self.simulation.job_store.cancel(POOL, placed[first : first + number])
        self.cancelled |= {
            job
            for job, each in self.simulation.jobs().items()
            if each.state == CANCELLED
        }
        self.run_without_faults(6)


PlacerMachine.TestCase.settings = hypothesis_settings(
    max_examples=RUNS, stateful_step_count=STEPS
)
TestPlacerMachine = PlacerMachine.TestCase


class CountingMachine(PlacerMachine):
    """Counts the job states, starts and quarantines of all runs."""

    totals: Counter = Counter()

    def teardown(self):
        if hasattr(self, "simulation"):
            self.totals.update(self.simulation.states())
            self.totals["started"] += len(self.simulation.workers.started)
            self.totals["quarantined"] += self.quarantines


def random_step(machine: PlacerMachine, rng: Random) -> None:
    """Apply one random rule of the machine with random arguments."""
    pick, count = rng.choice, rng.randint
    at_most_once, number, entry_index = (
        pick((True, False)),
        count(0, 2),
        count(0, 1),
    )
    pick(
        (
            lambda: machine.run_without_faults(count(3, 12)),
            lambda: machine.store_fault(
                pick(("lose_next", "down")), entry_index, count(1, 3)
            ),
            lambda: machine.pause_between_ticks(entry_index, pick((2.0, 5.0))),
            lambda: machine.pause_before_write(at_most_once, pick("ab")),
            lambda: machine.lose_platform_answers(count(1, 4), at_most_once),
            lambda: machine.disconnect_worker(number, count(1, 8)),
            lambda: machine.expire_leases(pick(("store", "tasks"))),
            lambda: machine.fail_worker(number),
            lambda: machine.kill_worker(number, count(1, 9)),
            lambda: machine.drain_worker(number),
            lambda: machine.cancel_jobs(count(0, 3), count(2, 12)),
        )
    )()


def test_state_machine_makes_progress():
    """Guards against invariants that hold because nothing ever starts.

    The steps are drawn here and not by hypothesis: it uses constants of all
    loaded modules, so that its runs change whenever one of them is edited.
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
    """Place jobs regardless of quota."""
    monkeypatch.setattr(placer_module, "within_quota", lambda *args: True)


def requeue_interrupted_jobs(monkeypatch):
    """Requeue interrupted jobs even if they must run at most once."""
    monkeypatch.setattr(
        TaskReconciler, "resolve_interrupted", TaskReconciler.requeue
    )


def skip_stop(monkeypatch):
    """Treat a stop as confirmed without sending it."""

    def mutant(self, task, worker):
        self.state.record_stopped(task)
        return True

    monkeypatch.setattr(TaskActions, "stop", mutant)


def ignore_control(monkeypatch):
    """Commit without comparing the control."""
    commit = JobStore.commit
    monkeypatch.setattr(
        JobStore,
        "commit",
        lambda self, batch, pool="", fence=0: commit(self, batch),
    )


def ignore_quarantine(monkeypatch):
    """Place new tasks on quarantined workers."""
    monkeypatch.setattr(
        PoolSnapshot, "quarantined_workers", lambda self: set()
    )


def ignore_allocations(monkeypatch):
    """Treat each worker as idle."""
    monkeypatch.setattr(
        "cyclamenscale.placing.placer_state.sum_allocations",
        lambda jobs: ({}, {}),
    )


def new_action_ids(monkeypatch):
    """Send each start with a new action id."""
    start = MemoryWorkers.start_task

    def mutant(self, worker, order, action_id, fence):
        action_id = f"{action_id}/{self.actions['sent']}"
        self.actions["sent"] += 1
        start(self, worker, order, action_id, fence)

    monkeypatch.setattr(MemoryWorkers, "start_task", mutant)


def start_before_claim(monkeypatch):
    """Start a task before its claim is written."""
    commit_batch = PlacerTick.commit_batch

    def mutant(self, batch):
        for change in batch:
            if change.after and change.after.state == "claimed":
                self.actions.start(change.after)
        commit_batch(self, batch)

    monkeypatch.setattr(PlacerTick, "commit_batch", mutant)


def release_cancelled_early(monkeypatch):
    """Release the quota of a cancelled job before its task is stopped."""
    cancelled = JobStore.cancelled_record
    monkeypatch.setattr(
        JobStore,
        "cancelled_record",
        lambda self, record: cancelled(self, record)._replace(task=None),
    )
    monkeypatch.setattr(
        TaskActions, "stop_unknown_tasks", lambda self, snapshot: None
    )


def keep_stale_index(monkeypatch):
    """Keep the free resources of the first tick."""
    refresh_index = PlacerState.refresh_index

    def mutant(self, snapshot):
        if not self.index.workers:
            refresh_index(self, snapshot)

    monkeypatch.setattr(PlacerState, "refresh_index", mutant)


@pytest.mark.parametrize(
    "mutate",
    [
        ignore_quota,
        requeue_interrupted_jobs,
        skip_stop,
        ignore_control,
        ignore_quarantine,
        ignore_allocations,
        new_action_ids,
        start_before_claim,
        release_cancelled_early,
        keep_stale_index,
    ],
)
def test_mutations_are_caught(monkeypatch, mutate):
    """Guards against invariants that hold even if the code is broken.

    Each mutation breaks one safeguard, and some check must then fail.
    """
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        check_jobs_run_to_their_end()
        run_state_machine_as_test(
            PlacerMachine,
            settings=hypothesis_settings(
                PlacerMachine.TestCase.settings,
                phases=[Phase.generate],
                max_examples=40,
            ),
        )
