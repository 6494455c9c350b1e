"""Tests of a job entry's terms."""

from concurrent.futures import Future
from random import Random
from types import SimpleNamespace

import pytest

from cyclamenscale.jobs.coordinator import Ports
from cyclamenscale.jobs.entry import (
    PERIOD_S,
    REMOVAL_INTERVAL_S,
    JobEntry,
)
from cyclamenscale.jobs.keys import (
    JOB,
    LEADER,
    PROGRESS,
    job_key,
    progress_key,
)
from cyclamenscale.jobs.model import (
    DONE,
    JobRecord,
    JobSpec,
    Manifest,
    ProgressRecord,
)
from cyclamenscale.metrics import Metrics
from cyclamenscale.store.port import KeyValue, RangeResult
from cyclamenscale.util.codec import encode_record
from test.jobs.world import QUEUE, World

RECORD = JobRecord("j1", QUEUE, 1, 5, JobSpec("x", ()))


@pytest.fixture
def entry():
    """Return an entry that does not lead; its loop runs nothing."""
    world = World()
    decoders = SimpleNamespace(
        operator_prefix="op/", worker_prefix="servers/", worker=None
    )
    loop = SimpleNamespace(
        clock=world.clock,
        call_later=lambda delay_s, run: None,
        call_soon=lambda run: None,
    )
    entry = JobEntry(
        world.settings,
        loop,
        Ports(world.workers, world.machines, world.store),
        decoders,
        world.events,
        Metrics(world.settings),
        Random(1),
        SimpleNamespace(connect=lambda addresses: None),
    )
    entry.manifest = world.manifest
    return entry


def job_item(revision):
    """Return an accepted job as the watch delivers it."""
    return KeyValue(job_key("j1"), encode_record(RECORD), revision, revision)


def test_a_change_from_before_the_term_does_not_end_it(entry, monkeypatch):
    """Guards against a leader that resigns right after its election.

    The watch delivers a job from before the election while the new leader
    reads all jobs; its index does not have the leader's key yet.
    """
    store = entry.ports.store
    monkeypatch.setattr(store, "read_range", lambda prefix: Future())
    entry.election.compete()
    fence = entry.election.term.fence
    entry.apply_jobs([job_item(fence - 1)], fence - 1)
    assert entry.election.term


def test_a_term_starts_once_the_watch_has_its_key(entry, monkeypatch):
    """Guards against a pause while all jobs are read a second time.

    The watch has delivered everything up to the election before the read of
    thousands of jobs ends.
    """
    reads = []

    def read_range(prefix):
        reads.append(Future())
        return reads[-1]

    monkeypatch.setattr(entry.ports.store, "read_range", read_range)
    entry.election.compete()
    fence = entry.election.term.fence
    entry.apply_jobs([job_item(fence - 1)], fence - 1)
    assert not entry.coordinator
    key = KeyValue(LEADER, entry.election.name.encode(), fence, fence)
    entry.apply_jobs([key], fence)
    assert list(entry.coordinator.state.jobs) == ["j1"]
    coordinator = entry.coordinator
    reads[0].set_result(RangeResult(fence, [job_item(fence - 1), key]))
    assert entry.coordinator is coordinator


def test_a_late_end_of_the_previous_term_does_not_end_the_next(entry):
    """Guards against a leader that resigns for its predecessor's key.

    The entry learned from a direct read that the key was gone; the watch
    delivers that later.
    """
    entry.election.compete()
    fence = entry.election.term.fence
    entry.apply_jobs([KeyValue(LEADER, b"", 0, fence - 1)], fence - 1)
    assert entry.election.term
    assert entry.job_index.leader.fence == fence


def test_a_full_read_from_before_the_term_does_not_end_it(entry):
    """Guards against a leader that resigns for a read that arrives late."""
    entry.election.compete()
    fence = entry.election.term.fence
    entry.replace_jobs([KeyValue(LEADER, b"e9", 3, 3)], fence - 1)
    entry.replace_jobs([job_item(5)], fence - 1)
    assert entry.election.term
    assert entry.job_index.leader.fence == fence


@pytest.mark.parametrize("complete", [False, True])
def test_a_term_ends_with_the_leader_key(entry, complete):
    """Guards against a leader that goes on without its key."""
    entry.election.compete()
    revision = entry.election.term.fence + 1
    if complete:
        entry.replace_jobs([], revision)
    else:
        entry.apply_jobs([KeyValue(LEADER, b"", 0, revision)], revision)
    assert not entry.election.term
    assert not entry.coordinator


def test_a_full_read_of_a_newer_manifest_restarts_the_history(entry):
    """Guards against a pool of a queue that only a missed manifest named."""
    entry.manifest = None
    entry.decoders.manifest_key = "op/config"
    entry.decoders.manifest = lambda value: Manifest(
        int(value), {"replan": QUEUE}, {}
    )
    entry.replace_operator([KeyValue("op/config", b"3", 5, 5)], 5)
    entry.apply_operator([KeyValue("op/config", b"4", 5, 6)], 6)
    assert entry.queue_history.pools_since(QUEUE, 3) == {QUEUE.pool}
    entry.replace_operator([KeyValue("op/config", b"9", 5, 9)], 9)
    assert entry.queue_history.pools_since(QUEUE, 4) is None
    assert entry.queue_history.pools_since(QUEUE, 9) == {QUEUE.pool}


def leader_with_ended_jobs(entry, jobs):
    """Let an entry lead, with stored jobs whose retention has passed."""
    store, world = entry.ports.store, entry.ports.workers.world
    for number in range(jobs):
        name = f"j{number}"
        record = RECORD._replace(id=name)
        store.put(job_key(name), encode_record(record))
        progress = encode_record(ProgressRecord(DONE))
        store.put(progress_key(name), progress)
    entry.election.compete()
    items = list(store.items.values())
    entry.job_index.replace(items, store.revision, world.clock())
    world.clock.advance(entry.settings.jobs.retention_s + 1.0)
    return world


def remove_for(entry, world, for_s):
    """Let an entry remove ended jobs for a while; return how many stay."""
    end_s = world.clock() + for_s
    while world.clock() < end_s:
        entry.remove_ended_jobs()
        world.clock.advance(PERIOD_S)
    return sum(key.startswith(JOB) for key in entry.ports.store.items)


def test_ended_jobs_are_removed_faster_than_they_come(entry):
    """Guards against a store and entries that grow without an end.

    Ten jobs every two seconds were removed, and a queue of the smallest site
    alone gets as many in a second.
    """
    world = leader_with_ended_jobs(entry, 500)
    assert remove_for(entry, world, 6.0) == 0
    assert not entry.job_index.jobs
    assert not any(key.startswith(PROGRESS) for key in entry.ports.store.items)


def test_removals_wait_for_the_one_before(entry):
    """Guards against writes that pile up while the store does not answer."""
    world = leader_with_ended_jobs(entry, 50)
    entry.ports.store.mode = "silent"
    remove_for(entry, world, 10.0)
    assert len(entry.ports.store.unanswered) == 1
    entry.ports.store.mode = "up"
    entry.ports.store.expire()
    assert remove_for(entry, world, 10.0) == 0


def test_a_failed_removal_is_repeated_later(entry):
    """Guards against a busy loop of writes that the store refuses."""
    world = leader_with_ended_jobs(entry, 50)
    store = entry.ports.store
    calls = []
    txn = store.txn
    store.txn = lambda *args: calls.append(args) or txn(*args)
    store.mode = "down"
    assert remove_for(entry, world, 10.0) == 50
    assert len(calls) <= 10.0 / REMOVAL_INTERVAL_S + 1
    assert len(entry.job_index.jobs) == 50
