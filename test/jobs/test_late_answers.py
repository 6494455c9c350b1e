"""Tests of answers to the acceptance of a job that are late at the leader."""

from concurrent.futures import Future

import pytest

from cyclamenscale.jobs.calls import JobCalls
from cyclamenscale.jobs.keys import cancel_key, job_key, progress_key
from cyclamenscale.jobs.model import CANCELLED, DONE, RUNNING, ProgressRecord
from test.jobs.test_coordinator import SMALL as SHORT
from test.jobs.test_coordinator import stored
from test.jobs.test_notices import SPEC, Entries
from test.jobs.world import QUEUE, World


class LateAnswer:
    """A job that is stored at the leader, whose answer is still on its way.

    The watch delivers the job meanwhile, on another connection.
    """

    def __init__(self):
        """Submit the job and deliver its record."""
        entries = Entries("e1", "e2")
        self.leader = entries.elect("e1")
        self.store = entries.world.store
        self.answer: Future = Future()
        self.store.txn = self.hold_answer
        self.accepted = JobCalls(self.leader).submit(QUEUE, "j1", SPEC, 2.0)
        entries.loop.advance(0.0)
        del self.store.txn
        self.deliver(job_key("j1"))
        assert "j1" in self.jobs

    def hold_answer(self, compares, writes) -> Future:
        """Apply a transaction and keep its answer."""
        self.result = self.store.apply_txn(compares, writes)
        return self.answer

    def deliver(self, key: str) -> None:
        """Deliver a key by the watch."""
        item = self.store.items[key]
        self.leader.apply_jobs([item], item.mod_revision)

    @property
    def jobs(self) -> dict:
        """Return the jobs that the leader works on."""
        return self.leader.coordinator.state.jobs

    def arrive(self) -> None:
        """Let the answer arrive."""
        self.answer.set_result(self.result)
        self.accepted.result(0)


@pytest.mark.parametrize("state", [DONE, CANCELLED])
def test_an_ended_job_is_not_added_by_a_late_answer(state):
    """Guards against tasks that run again after their job has ended."""
    late = LateAnswer()
    late.leader.record_progress("j1", ProgressRecord(state), 1 << 40)
    late.jobs.clear()
    late.arrive()
    assert "j1" not in late.jobs


def test_a_cancelled_job_is_not_run_by_a_late_answer():
    """Guards against tasks of a job whose cancelling was acknowledged."""
    late = LateAnswer()
    late.jobs.clear()
    late.store.put(cancel_key("j1"), b"1")
    late.deliver(cancel_key("j1"))
    late.arrive()
    assert "j1" not in late.jobs or late.jobs["j1"].cancelled


def test_an_open_job_is_added_by_its_answer():
    """Guards against a job that waits for the watch to deliver it."""
    late = LateAnswer()
    late.leader.record_progress("j1", ProgressRecord(RUNNING), 1 << 40)
    late.jobs.clear()
    late.arrive()
    assert "j1" in late.jobs


def test_an_end_whose_answer_was_lost_is_indexed():
    """Guards against a job that the watch adds again after its end.

    The write of its end had no response; the repeat finds the record.
    """
    world = World()
    indexed = {}
    world.lead()
    world.coordinator.ledger.on_stored = lambda job, record, revision: (
        indexed.update({job: (record.state, revision)})
    )
    world.run()
    world.submit("j1", SHORT)
    world.run()
    world.store.mode = "lost"
    world.finish("j1")
    world.run(0.1)
    world.store.mode = "up"
    world.run(1.0)
    assert "j1" not in world.coordinator.state.jobs
    assert stored(world, "j1").state == DONE
    revision = world.store.items[progress_key("j1")].mod_revision
    assert indexed["j1"] == (DONE, revision)
