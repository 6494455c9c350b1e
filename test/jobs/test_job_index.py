"""Tests of the index of all jobs."""

from cyclamenscale.jobs.job_index import JobIndex
from cyclamenscale.jobs.keys import LEADER, cancel_key, job_key, progress_key
from cyclamenscale.jobs.model import (
    CANCELLED,
    DONE,
    QUEUED,
    JobRecord,
    JobSpec,
    ProgressRecord,
)
from cyclamenscale.store.port import KeyValue
from cyclamenscale.util.codec import encode_record
from test.jobs.world import QUEUE

RECORD = JobRecord("j1", QUEUE, 1, 5, JobSpec("x", ()))


def item(key, record, revision):
    """Return a key as the store returns it."""
    value = record if isinstance(record, bytes) else encode_record(record)
    return KeyValue(key, value, revision, revision)


def test_older_progress_does_not_replace_newer():
    """Guards against a job reported as done and later as running."""
    index = JobIndex()
    index.apply(item(job_key("j1"), RECORD, 5), 1.0)
    index.update_progress("j1", ProgressRecord(DONE), 9, 1.0)
    index.apply(item(progress_key("j1"), ProgressRecord(QUEUED), 7), 1.0)
    assert index.jobs["j1"].state == DONE
    assert index.ended_before(2.0, 10) == ["j1"]


def test_a_cancelled_job_is_reported_as_cancelled_unless_done():
    """Guards against a cancellation that hides the end of a job."""
    index = JobIndex()
    index.apply(item(job_key("j1"), RECORD, 5), 1.0)
    index.apply(item(cancel_key("j1"), b"1", 6), 1.0)
    assert index.jobs["j1"].state == CANCELLED
    index.update_progress("j1", ProgressRecord(DONE), 9, 1.0)
    assert index.jobs["j1"].state == DONE


def test_a_full_read_keeps_newer_jobs():
    """Guards against a full read that drops a job accepted after it."""
    index = JobIndex()
    indexed = index.get_or_create("j2")
    indexed.record, indexed.revision = RECORD._replace(id="j2"), 12
    index.apply(item(job_key("old"), RECORD._replace(id="old"), 3), 1.0)
    index.replace([item(job_key("j1"), RECORD, 5)], 10, 1.0)
    assert set(index.jobs) == {"j1", "j2"}
    assert index.count_pending("replan") == 2


def test_the_leader_follows_its_key():
    """Guards against an election while an entry leads."""
    index = JobIndex()
    index.apply(item(LEADER, b"e1", 5), 1.0)
    assert (index.leader.node, index.leader.fence) == ("e1", 5)
    index.apply(KeyValue(LEADER, b"", 0, 6), 1.0)
    assert index.leader is None


def test_an_older_state_of_the_leader_key_does_not_replace_a_newer():
    """Guards against an election while an entry leads.

    A direct read of the key has overtaken the watch, or a full read.
    """
    index = JobIndex()
    index.apply(item(LEADER, b"e2", 9), 1.0)
    index.apply(item(LEADER, b"e1", 5), 1.0)
    index.apply(KeyValue(LEADER, b"", 0, 8), 1.0)
    index.replace([item(LEADER, b"e1", 5)], 7, 1.0)
    index.replace([], 8, 1.0)
    assert (index.leader.node, index.leader.fence) == ("e2", 9)
    index.replace([], 10, 1.0)
    assert index.leader is None
