"""Stateful test: jobs through message losses, takeovers and outages.

The doubles check the platform's rules at each start (TWICE, ORDER, BUDGET,
UNASKED, DRAIN) and each order about a machine (AVAIL). At the end all faults
are cleared, and every job must end.
"""

import pytest
from hypothesis import HealthCheck, Phase
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.coordinator import Coordinator
from cyclamenscale.jobs.keys import cancel_key
from cyclamenscale.jobs.model import FINAL_STATES, Step
from cyclamenscale.jobs.placement import Placement
from cyclamenscale.jobs.worker import Worker
from test.jobs.world import World

NEED = Resources(8.0, 8.0)
JOBS_LIMIT = 6

STEPS = {
    "short": (Step(2, NEED), Step(1, NEED, depends_on=(0,))),
    "copies": (Step(2, NEED, allows_copies=True),),
    "lasting": (Step(2, NEED, long_running=True, max_unavailable=1),),
}


class JobsMachine(RuleBasedStateMachine):
    """Drives a world of three workers and one coordinator at a time."""

    @initialize()
    def begin(self):
        """Begin the first term."""
        self.world = World(workers=3)
        self.names = sorted(self.world.workers.workers)
        self.terms = 1
        self.jobs = 0
        self.old = []
        self.world.lead("e1")
        self.world.run(0.2)

    @precondition(lambda self: self.jobs < JOBS_LIMIT)
    @rule(kind=st.sampled_from(sorted(STEPS)))
    def submit(self, kind):
        """Accept a job."""
        self.jobs += 1
        self.world.submit(f"j{self.jobs}", *STEPS[kind])

    @rule(for_s=st.sampled_from((0.05, 0.3, 1.0, 4.0)))
    def wait(self, for_s):
        """Let time pass."""
        self.world.run(for_s)

    @rule(pick=st.integers(0, 50), how=st.sampled_from(("done", "failed")))
    def finish(self, pick, how):
        """End a run."""
        running = sorted(self.world.running())
        if running:
            task = running[pick % len(running)][0]
            job, _, step, _ = task.split(".")
            if not self.world.steps[job][int(step)].long_running:
                self.world.finish(task, how)

    @rule(
        pick=st.integers(0, 2),
        mode=st.sampled_from(("up", "dark", "late", "lost")),
    )
    def disturb(self, pick, mode):
        """Change how a worker answers."""
        worker = self.world.workers.workers.get(self.names[pick])
        if worker:
            worker.mode = mode

    @rule()
    def carry_out_late(self):
        """Carry out the delayed orders and writes."""
        self.world.workers.release()
        self.world.store.release()

    @rule(mode=st.sampled_from(("up", "down", "lost", "late")))
    def disturb_store(self, mode):
        """Change how the store answers."""
        self.world.store.mode = mode

    @rule(pick=st.integers(0, 2))
    def restart_worker(self, pick):
        """Start a new incarnation of a worker under the same id."""
        name = self.names[pick]
        old = self.world.workers.workers[name]
        entry = old.entry._replace(started_ms=old.entry.started_ms + 1)
        restarted = type(old)(entry, self.world.clock)
        self.world.workers.workers[name] = restarted
        self.world.coordinator.register_worker(entry)

    @rule()
    def take_over(self):
        """Start a new term; the superseded coordinator may still act."""
        self.terms += 1
        self.old = [self.world.coordinator]
        self.world.take_over(f"e{self.terms}")

    @precondition(lambda self: self.old)
    @rule(pick=st.integers(0, 2))
    def cut_from_new(self, pick):
        """Make a worker unreachable for the new coordinator only."""
        worker = self.world.workers.workers[self.names[pick]]
        worker.unreachable_by.add(self.world.coordinator.state.term.fence)

    @rule(pick=st.integers(0, 2))
    def register(self, pick):
        """Let a worker write to the registry."""
        worker = self.world.workers.workers[self.names[pick]]
        self.world.coordinator.register_worker(worker.entry)

    @precondition(lambda self: self.old)
    @rule()
    def act_as_before(self):
        """Let the superseded coordinator make its decisions once more."""
        if not self.old[0].state.superseded:
            self.old[0].run_once()

    @precondition(lambda self: self.jobs)
    @rule(pick=st.integers(1, JOBS_LIMIT))
    def cancel(self, pick):
        """Cancel a job."""
        job = f"j{min(pick, self.jobs)}"
        self.world.store.put(cancel_key(job), b"1")
        self.world.cancelled.setdefault(job, self.world.clock())
        self.world.coordinator.cancel_job(job)

    @invariant()
    def rules_hold(self):
        """Check that the doubles have found no violation."""
        if hasattr(self, "world"):
            assert not self.world.violations

    def teardown(self):
        """Clear all faults; every job that ends by itself must end."""
        if not hasattr(self, "world"):
            return
        world = self.world
        world.store.mode = "up"
        for worker in world.workers.workers.values():
            worker.mode = "up"
            worker.unreachable_by.clear()
        world.workers.release()
        world.store.release()
        if world.coordinator.state.superseded:
            world.take_over("last")
        for _ in range(30):
            world.run(0.5)
            for task, _, _ in world.running():
                job, _, step, _ = task.split(".")
                if not world.steps[job][int(step)].long_running:
                    world.finish(task)
        assert not world.violations
        left = {
            name: job.state
            for name, job in world.coordinator.state.jobs.items()
            if job.state not in FINAL_STATES and not job.long_running
        }
        assert not left


def run_machine(examples=200, steps=40, phases=tuple(Phase)):
    """Run the state machine."""
    run_state_machine_as_test(
        JobsMachine,
        settings=hypothesis_settings(
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            derandomize=True,
            phases=phases,
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_rules_hold_through_combined_faults():
    """Guards against violations that need several faults at once."""
    run_machine()


def test_a_mutant_that_expires_leases_at_once_is_caught(monkeypatch):
    """Guards against a state machine that can't detect a second run."""
    monkeypatch.setattr(Worker, "lease_expiry_s", lambda worker: 0.0)
    with pytest.raises(AssertionError, match="TWICE|ORDER"):
        run_machine(phases=[Phase.generate])


def test_a_mutant_that_ignores_unpolled_workers_is_caught(monkeypatch):
    """Guards against a state machine that can't detect an early takeover."""
    monkeypatch.setattr(Placement, "may_run_unpolled", lambda *args: False)
    with pytest.raises(AssertionError, match="TWICE|ORDER"):
        run_machine(phases=[Phase.generate])


def test_a_mutant_that_starts_cancelled_jobs_is_caught(monkeypatch):
    """Guards against a state machine that can't detect a lost cancellation."""
    monkeypatch.setattr(Coordinator, "cancel_job", lambda *args: None)
    with pytest.raises(AssertionError, match="UNASKED"):
        run_machine(phases=[Phase.generate])
