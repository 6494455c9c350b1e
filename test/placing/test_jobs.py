"""Tests of stored jobs: transitions, batches, lost responses, conflicts."""

import pytest

from cyclamenscale.errors import (
    ConflictError,
    ControlLostError,
    JobStateError,
    OutcomeUnknownError,
)
from cyclamenscale.fleet.budget import CONTROL_PREFIX
from cyclamenscale.fleet.ports import Resources
from cyclamenscale.metrics import Metrics
from cyclamenscale.placing.job_records import (
    ALLOWED_TRANSITIONS,
    CANCELLED,
    CLAIMED,
    DONE,
    ENDED_STATES,
    QUEUED,
    JobRecord,
    JobSpec,
    TaskRecord,
    job_key,
)
from cyclamenscale.placing.jobs import (
    JobChange,
    JobStore,
    batch_changes,
    sum_allocations,
)
from cyclamenscale.settings import Settings
from cyclamenscale.standin.memory import MemoryStore
from cyclamenscale.standin.state import StoreState
from cyclamenscale.store.port import Compare, Put

POOL = "north"


def job_spec(job: str) -> JobSpec:
    return JobSpec(job, POOL, "t1", "k1", Resources(1, 2))


@pytest.fixture
def store():
    return MemoryStore(StoreState())


@pytest.fixture
def job_store(store):
    return JobStore(store, Metrics(Settings()), lambda: 1000.0)


def submit_jobs(job_store: JobStore, count: int) -> list[str]:
    """Submit a number of jobs and return their ids."""
    ids = [f"j{number:04}" for number in range(count)]
    for job in ids:
        job_store.submit(job_spec(job))
    return ids


def claim_change(job_store: JobStore, job: str) -> JobChange:
    """Return a change that claims a worker for a job."""
    stored = job_store.read_jobs(POOL)[job]
    task = TaskRecord(f"{POOL}/{job}/1", "w1", Resources(1, 2), 1, 0.0)
    return JobChange(stored, stored.record.transition(CLAIMED, task=task))


def test_ended_jobs_stay_ended():
    """Guards against a transition out of a final state."""
    for state in ENDED_STATES:
        assert not ALLOWED_TRANSITIONS[state]
    done = JobRecord(job_spec("j"), CLAIMED).transition(DONE)
    with pytest.raises(JobStateError):
        done.transition(QUEUED)


def test_submit_survives_a_lost_response(store, job_store):
    """Guards against a job that is added twice or lost.

    The store applies the transaction, but its response is lost, so that the
    submission is sent again.
    """
    store.faults.set(lose_next=1)
    job_store.submit(job_spec("j"))
    first = job_store.read_jobs(POOL)["j"]
    job_store.submit(job_spec("j"))
    assert job_store.read_jobs(POOL)["j"] == first
    with pytest.raises(ConflictError):
        job_store.submit(job_spec("j")._replace(team="t2"))


def test_submit_reports_an_unknown_outcome(store, job_store):
    """Guards against reporting success without any response."""
    store.faults.set(lose_next=100)
    with pytest.raises(OutcomeUnknownError):
        job_store.submit(job_spec("j"))


def test_cancel_sends_one_transaction_per_full_batch(store, job_store):
    """Guards against one transaction for each cancelled job."""
    ids = submit_jobs(job_store, 1280)
    before = store.call_counts()["txn"]
    assert job_store.cancel(POOL, ids) == 1280
    assert store.call_counts()["txn"] - before == 10


def test_cancel_survives_lost_responses_and_conflicts(store, job_store):
    """Guards against jobs that a bulk cancellation omits."""
    ids = submit_jobs(job_store, 300)
    change = claim_change(job_store, ids[5])
    store.faults.set(lose_next=2)
    assert job_store.cancel(POOL, ids) == 300
    # A claim based on the older record does not undo the cancellation.
    assert job_store.commit([change]) == []
    assert job_store.read_jobs(POOL)[ids[5]].record.state == CANCELLED


def test_cancelled_job_keeps_task_and_quota_until_it_is_stopped(job_store):
    """Guards against quota that is released while a task still runs."""
    (job,) = submit_jobs(job_store, 1)
    assert job_store.commit([claim_change(job_store, job)])
    job_store.cancel(POOL, [job])
    teams, workers = sum_allocations(job_store.read_jobs(POOL).values())
    assert teams == {"t1": Resources(1, 2)}
    assert workers == {"w1": Resources(1, 2)}


def test_conflicts_do_not_block_the_rest_of_a_batch(job_store):
    """Guards against a conflict that rejects all changes of a batch."""
    ids = submit_jobs(job_store, 10)
    changes = [claim_change(job_store, job) for job in ids]
    job_store.cancel(POOL, ids[:3])
    assert job_store.commit(changes) == changes[3:]


def test_commit_needs_the_control(store, job_store):
    """Guards against writes of a placer whose control has been lost.

    It happens if the placer is paused until its lease has expired.
    """
    (job,) = submit_jobs(job_store, 1)
    key = CONTROL_PREFIX + POOL
    fence = store.txn([], [Put(key, b"[]")]).revision
    change = claim_change(job_store, job)
    with pytest.raises(ControlLostError):
        job_store.commit([change], POOL, fence - 1)
    assert job_store.commit([change], POOL, fence) == [change]


def test_batches_fit_into_one_transaction(job_store):
    """Guards against transactions that exceed the limits of the store."""
    ids = submit_jobs(job_store, 200)
    stored = job_store.read_jobs(POOL)
    changes = [
        JobChange(
            stored[job],
            stored[job].record.transition(CANCELLED),
            (Compare(f"config/instance/w{number}", 0),),
        )
        for number, job in enumerate(ids)
    ]
    found = list(batch_changes(changes, 1))
    assert [change for batch in found for change in batch] == changes
    assert max(map(len, found)) == 63
    for batch in found:
        assert job_store.commit(batch) == batch


def test_paged_reads_return_each_job(job_store, monkeypatch):
    """Guards against jobs that are omitted between two pages."""
    ids = submit_jobs(job_store, 25)
    monkeypatch.setattr("cyclamenscale.placing.jobs.PAGE_SIZE", 10)
    assert list(job_store.read_jobs(POOL)) == ids
    assert job_store.read_jobs(POOL)[ids[0]].key == job_key(POOL, ids[0])
