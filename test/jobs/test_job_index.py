"""Tests of an entry's knowledge of all jobs."""

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
    """Return a key as the store shows it."""
    value = record if isinstance(record, bytes) else encode_record(record)
    return KeyValue(key, value, revision, revision)


def test_older_progress_does_not_replace_newer():
    """Guards against a job that is shown as done and then as running."""
    board = JobIndex()
    board.apply(item(job_key("j1"), RECORD, 5), 1.0)
    board.update_progress("j1", ProgressRecord(DONE), 9, 1.0)
    board.apply(item(progress_key("j1"), ProgressRecord(QUEUED), 7), 1.0)
    assert board.jobs["j1"].state == DONE
    assert board.ended_before(2.0, 10) == ["j1"]


def test_a_cancelled_job_is_shown_so_unless_it_was_done():
    """Guards against a cancellation that hides the end of a job."""
    board = JobIndex()
    board.apply(item(job_key("j1"), RECORD, 5), 1.0)
    board.apply(item(cancel_key("j1"), b"1", 6), 1.0)
    assert board.jobs["j1"].state == CANCELLED
    board.update_progress("j1", ProgressRecord(DONE), 9, 1.0)
    assert board.jobs["j1"].state == DONE


def test_a_full_reading_keeps_what_is_newer_than_it():
    """Guards against a job that is forgotten right after its acceptance."""
    board = JobIndex()
    indexed = board.get_or_create("j2")
    indexed.record, indexed.revision = RECORD._replace(id="j2"), 12
    board.apply(item(job_key("old"), RECORD._replace(id="old"), 3), 1.0)
    board.replace([item(job_key("j1"), RECORD, 5)], 10, 1.0)
    assert set(board.jobs) == {"j1", "j2"}
    assert board.count_pending("replan") == 2


def test_the_leader_follows_its_key():
    """Guards against an election while somebody leads."""
    board = JobIndex()
    board.apply(item(LEADER, b"e1", 5), 1.0)
    assert (board.leader.node, board.leader.fence) == ("e1", 5)
    board.apply(KeyValue(LEADER, b"", 0, 6), 1.0)
    assert board.leader is None
