"""Tests of jobs in the store: changes of state, groups, lost answers."""

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
    ALLOWED,
    CANCELLED,
    CLAIMED,
    DONE,
    ENDED,
    QUEUED,
    JobRecord,
    JobSpec,
    TaskRecord,
    job_key,
)
from cyclamenscale.placing.jobs import Change, JobBook, allocations, groups
from cyclamenscale.settings import Settings
from cyclamenscale.standin.memory import MemoryStore
from cyclamenscale.standin.state import StoreState
from cyclamenscale.store.port import Compare, Put

POOL = "north"


def spec_of(job: str) -> JobSpec:
    return JobSpec(job, POOL, "t1", "k1", Resources(1, 2))


@pytest.fixture
def store():
    return MemoryStore(StoreState())


@pytest.fixture
def book(store):
    return JobBook(store, Metrics(Settings()), lambda: 1000.0)


def fill(book: JobBook, count: int) -> list[str]:
    """Submit some jobs."""
    ids = [f"j{number:04}" for number in range(count)]
    for job in ids:
        book.submit(spec_of(job))
    return ids


def claim(book: JobBook, job: str) -> Change:
    """Return a change that claims a worker for a job."""
    stored = book.read_jobs(POOL)[job]
    task = TaskRecord(f"{POOL}/{job}/1", "w1", Resources(1, 2), 1, 0.0)
    return Change(stored, stored.record.to(CLAIMED, task=task))


def test_ended_jobs_stay_ended():
    """Guards against a job that comes back after its end."""
    for state in ENDED:
        assert not ALLOWED[state]
    done = JobRecord(spec_of("j"), CLAIMED).to(DONE)
    with pytest.raises(JobStateError):
        done.to(QUEUED)


def test_submit_survives_a_lost_answer(store, book):
    """Guards against a job that is added twice, or not at all."""
    store.faults.set(lose_next=1)
    book.submit(spec_of("j"))
    first = book.read_jobs(POOL)["j"]
    book.submit(spec_of("j"))
    assert book.read_jobs(POOL)["j"] == first
    with pytest.raises(ConflictError):
        book.submit(spec_of("j")._replace(team="t2"))


def test_submit_reports_an_unknown_outcome(store, book):
    """Guards against a job taken for added without an answer."""
    store.faults.set(lose_next=100)
    with pytest.raises(OutcomeUnknownError):
        book.submit(spec_of("j"))


def test_cancel_costs_one_write_for_each_full_group(store, book):
    """Guards against one write for each job of a burst."""
    ids = fill(book, 1280)
    before = store.call_counts()["txn"]
    assert book.cancel(POOL, ids) == 1280
    assert store.call_counts()["txn"] - before == 10


def test_cancel_survives_lost_answers_and_concurrent_changes(store, book):
    """Guards against jobs that a burst leaves out."""
    ids = fill(book, 300)
    change = claim(book, ids[5])
    store.faults.set(lose_next=2)
    assert book.cancel(POOL, ids) == 300
    # A claim that was decided on before does not undo the cancellation.
    assert book.commit([change]) == []
    assert book.read_jobs(POOL)[ids[5]].record.state == CANCELLED


def test_cancelled_job_keeps_task_and_quota_until_it_is_stopped(book):
    """Guards against quota that is given out while a task still runs."""
    (job,) = fill(book, 1)
    assert book.commit([claim(book, job)])
    book.cancel(POOL, [job])
    teams, workers = allocations(book.read_jobs(POOL).values())
    assert teams == {"t1": Resources(1, 2)}
    assert workers == {"w1": Resources(1, 2)}


def test_one_conflict_does_not_hold_up_the_group(book):
    """Guards against a busy job that blocks all changes beside it."""
    ids = fill(book, 10)
    changes = [claim(book, job) for job in ids]
    book.cancel(POOL, ids[:3])
    assert book.commit(changes) == changes[3:]


def test_commit_needs_the_control(store, book):
    """Guards against a paused placer that writes after its lease ended."""
    (job,) = fill(book, 1)
    key = CONTROL_PREFIX + POOL
    fence = store.txn([], [Put(key, b"[]")]).revision
    change = claim(book, job)
    with pytest.raises(ControlLostError):
        book.commit([change], POOL, fence - 1)
    assert book.commit([change], POOL, fence) == [change]


def test_groups_fit_the_store(book):
    """Guards against transactions that the store refuses."""
    ids = fill(book, 200)
    stored = book.read_jobs(POOL)
    changes = [
        Change(
            stored[job],
            stored[job].record.to(CANCELLED),
            (Compare(f"config/instance/w{number}", 0),),
        )
        for number, job in enumerate(ids)
    ]
    found = list(groups(changes, 1))
    assert [one for group in found for one in group] == changes
    assert max(map(len, found)) == 63
    for group in found:
        assert book.commit(group) == group


def test_reading_page_by_page_finds_each_job(book, monkeypatch):
    """Guards against jobs that are lost between two pages."""
    ids = fill(book, 25)
    monkeypatch.setattr("cyclamenscale.placing.jobs.PAGE", 10)
    assert list(book.read_jobs(POOL)) == ids
    assert book.read_jobs(POOL)[ids[0]].key == job_key(POOL, ids[0])
