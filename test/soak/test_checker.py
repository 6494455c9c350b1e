"""Tests that each check of the soak can fail."""

import pytest

from cyclamenscale.util.clock import VirtualClock
from test.soak.checker import STABILITY_S, Checker, JobPlan, StepPlan

JOB = JobPlan("a" * 16, "pool-a", 2, (StepPlan(), StepPlan(after=(0,))))
COPIES = JobPlan("b" * 16, "pool-a", 2, (StepPlan(copies=True),))
LASTING = JobPlan("c" * 16, "pool-a", 2, (StepPlan(lasts=True),))
FIRST, SECOND = JOB.tasks()


class History(Checker):
    """A checker that is fed a history on a virtual clock."""

    def __init__(self):
        """Accept all jobs."""
        super().__init__(VirtualClock(100.0))
        self.number = 0
        for plan in (JOB, COPIES, LASTING):
            self.record_attempt(plan)
            self.record_response(plan.id, 200)

    def start(self, task=FIRST, life="w1", **options):
        """Start a task on a worker."""
        self.clock.advance(0.1)
        self.record_start(life, options.pop("pool", "pool-a"), task, **options)

    def end(self, task=FIRST, outcome="done", life="w1", noted=True):
        """End a run, by default with an acknowledgement."""
        self.clock.advance(0.1)
        self.number += 1
        self.record_end(life, self.number, task, outcome)
        if noted:
            self.record_acknowledged(life, self.number)

    def become_calm(self, for_s=10.0):
        """Let time without faults pass."""
        self.calm_s = self.clock()
        self.clock.advance(STABILITY_S + for_s)

    def rules(self):
        """Return the rules that were broken."""
        return [line.partition(":")[0] for line in self.violations]


@pytest.fixture
def history():
    return History()


def test_a_correct_history_breaks_no_rule(history):
    """Guards against checks that fail without a fault."""
    history.start()
    history.end(outcome="failed")
    history.start(life="w2")
    history.end(life="w2")
    history.start(SECOND)
    history.end(SECOND)
    history.record_state(JOB.id, 200, "completed")
    history.start(COPIES.tasks()[0])
    history.start(COPIES.tasks()[0], life="w2")
    history.start(LASTING.tasks()[0])
    history.become_calm()
    history.check_cancelled()
    history.check_lasting()
    history.check_rejected()
    assert history.violations == []
    assert history.open_jobs() == [COPIES.id]


def test_two_runs_at_once(history):
    """Guards against a check of TWICE that can't fail."""
    history.start()
    history.start(life="w2")
    assert history.rules() == ["TWICE"]


def test_runs_of_a_crashed_worker_have_ended(history):
    """Guards against a violation without a fault after a crash."""
    history.start()
    history.record_crash("w1")
    history.start(life="w2")
    assert history.violations == []


def test_a_start_after_an_acknowledged_end(history):
    """Guards against a check of TWICE that can't fail."""
    history.start()
    history.end()
    history.start()
    assert history.rules() == ["TWICE"]


def test_a_start_before_the_acknowledgement_of_an_end(history):
    """Guards against an end whose acknowledgement comes after a start."""
    history.start()
    history.end(noted=False)
    history.start(life="w2")
    assert history.violations == []
    history.record_acknowledged("w1", history.number)
    assert history.rules() == ["TWICE"]


def test_an_end_before_a_lapse_does_not_count(history):
    """Guards against a violation after a lease that expired."""
    history.start()
    history.end(noted=False)
    history.record_lapse("w1")
    history.start(life="w2")
    history.record_acknowledged("w1", history.number)
    assert history.violations == []


def test_a_copy_after_an_end_in_calm(history):
    """Guards against copies that start after an acknowledged end."""
    task = COPIES.tasks()[0]
    history.start(task)
    history.end(task)
    history.start(task)
    assert history.violations == []
    history.become_calm()
    history.start(task, life="w2")
    assert history.rules() == ["TWICE"]


def test_a_start_before_an_earlier_step(history):
    """Guards against a check of ORDER that can't fail."""
    history.start()
    history.start(SECOND)
    assert history.rules() == ["ORDER"]


def test_starts_after_too_many_failures(history):
    """Guards against a check of BUDGET that can't fail."""
    for _ in range(2):
        history.start()
        history.end(outcome="failed")
    history.start()
    assert history.rules() == ["BUDGET"]


def test_a_start_before_the_last_failure_is_acknowledged(history):
    """Guards against a failure whose acknowledgement comes after a start."""
    history.start()
    history.end(outcome="failed")
    history.start()
    history.end(outcome="failed", noted=False)
    history.start(life="w2")
    history.record_acknowledged("w1", history.number)
    assert history.rules() == ["BUDGET"]


def test_starts_that_nobody_asked_for(history):
    """Guards against checks of UNASKED, LIMIT and ROUTE that can't fail."""
    history.start("d" * 16 + ".0.0.0")
    history.start(pool="pool-b")
    history.start(LASTING.tasks()[0], fits=False)
    assert history.rules() == ["UNASKED", "ROUTE", "LIMIT"]


def test_a_cancelled_job_that_starts_or_runs_on(history):
    """Guards against a check of UNASKED that can't fail."""
    history.start()
    history.record_cancel(JOB.id)
    history.record_cancel(JOB.id, 200)
    history.check_cancelled()
    assert history.violations == []
    history.become_calm()
    history.check_cancelled()
    history.start(COPIES.tasks()[0])
    history.record_cancel(COPIES.id, 200)
    history.clock.advance(10.0)
    history.start(COPIES.tasks()[0], life="w2")
    assert history.rules() == ["UNASKED", "UNASKED"]


def test_lost_jobs(history):
    """Guards against a check of LOST that can't fail."""
    history.record_state(JOB.id, 410, "")
    assert history.violations == []
    history.become_calm()
    history.record_state(JOB.id, 410, "")
    history.record_state(JOB.id, 200, "cancelled")
    history.record_state(JOB.id, 200, "failed")
    history.check_lasting()
    assert history.rules() == ["LOST"] * 4
    assert history.open_jobs() == [JOB.id, COPIES.id]


def test_a_job_is_completed_before_its_last_task(history):
    """Guards against a check of MIXED that can't fail."""
    history.start()
    history.end()
    history.record_state(JOB.id, 200, "completed")
    assert history.rules() == ["MIXED"]


def test_a_rejected_job_runs(history):
    """Guards against a check of REFUSED that can't fail."""
    rejected = JobPlan("e" * 16, "pool-a", 2, (StepPlan(),))
    history.record_attempt(rejected)
    history.record_response(rejected.id, 503)
    history.check_rejected()
    assert history.violations == []
    history.start(rejected.tasks()[0])
    history.check_rejected()
    assert history.rules() == ["REFUSED"]


def check_still(history, used_share, interval_s=0.1, for_s=7.0):
    """Check a pool again and again in calm; return the broken rules."""
    history.become_calm(0.0)
    for _ in range(round(for_s / interval_s)):
        history.clock.advance(interval_s)
        history.check_still("pool-a", used_share)
        history.check_still("pool-b", 0.0)
    return set(history.rules())


def test_a_job_that_has_nothing_running(history):
    """Guards against accepted jobs that wait beside idle workers."""
    assert check_still(history, 0.4) == {"LOST"}


def test_a_job_that_waits_for_room(history):
    """Guards against a check that fails while a pool works off its queue."""
    assert check_still(history, 0.5) == set()


def test_a_job_that_is_seen_too_seldom(history):
    """Guards against a check that takes two glances for all that passes."""
    assert check_still(history, 0.4, interval_s=1.0, for_s=10.0) == set()


def test_a_hopeless_job_may_wait(history):
    """Guards against a check that wants the impossible."""
    for job in list(history.jobs):
        del history.jobs[job]
    plan = JobPlan("d" * 16, "pool-a", 2, (StepPlan(label="none"),))
    history.record_attempt(plan)
    history.record_response(plan.id, 200)
    assert check_still(history, 0.0) == set()
    history.check_lasting()
    assert not history.rules()


def test_a_job_that_has_run_waits_for_nothing(history):
    """Guards against a check that takes a job for idle before it is read."""
    for task in (*JOB.tasks(), *COPIES.tasks()):
        history.start(task)
        history.end(task)
    assert check_still(history, 0.0) == set()


def test_a_job_that_waits_for_less_than_the_bound(history):
    """Guards against a check that counts from the end of the faults."""
    assert check_still(history, 0.5, for_s=20.0) == set()
    for _ in range(25):
        history.clock.advance(0.1)
        history.check_still("pool-a", 0.0)
    assert not history.rules()
    for _ in range(10):
        history.clock.advance(0.1)
        history.check_still("pool-a", 0.0)
    assert set(history.rules()) == {"LOST"}
