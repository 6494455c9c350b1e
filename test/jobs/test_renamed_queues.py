"""Tests of jobs whose queue gets another name, address or pool."""

import pytest

from cyclamenscale.errors import NoJobError
from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.calls import JobCalls
from cyclamenscale.jobs.model import DONE, Manifest, ProgressRecord, Step
from cyclamenscale.jobs.queue_history import QueueHistory
from cyclamenscale.jobs.relay import ABSENT, PeerResponse
from cyclamenscale.jobs.watches import MAX_LAG_S
from test.jobs.test_notices import SPEC, Entries
from test.jobs.world import QUEUE, World

SMALL = Step(2, Resources(2.0, 4.0), estimate_ms=500.0)
RENAMED = QUEUE._replace(name="replan-2")

#: Queues of the manifests after the first one, each in turn.
CHANGES = {
    "name": [RENAMED],
    "two names in a row": [RENAMED, QUEUE._replace(name="replan-3")],
    "name and back": [RENAMED, QUEUE],
    "name and pool": [RENAMED._replace(pool="pool-b")],
    "prefix": [QUEUE._replace(prefix="/q/")],
    "name, then prefix": [RENAMED, RENAMED._replace(prefix="/q/")],
    "prefix, then name": [
        QUEUE._replace(prefix="/q/"),
        RENAMED._replace(prefix="/q/"),
    ],
}


def manifest(version, *queues):
    """Return a manifest with some queues."""
    return Manifest(version, {queue.name: queue for queue in queues}, {})


@pytest.fixture
def entries():
    """Return two entries that have seen the first manifest."""
    entries = Entries("e1", "e2")
    for entry in entries.entries.values():
        entry.queue_history.observe(entries.world.manifest)
    entries.elect("e1")
    return entries


def change_queues(entries, queues):
    """Let all entries apply manifests with one queue each."""
    for version, queue in enumerate(queues, 2):
        for entry in entries.entries.values():
            found = manifest(version, queue)
            entry.queue_history.observe(found)
            entry.set_manifest(found)


@pytest.mark.parametrize("queues", CHANGES.values(), ids=CHANGES)
def test_a_job_is_known_at_the_address_of_its_queue(entries, queues):
    """Guards against a 410 for an accepted job.

    A manifest has given the queue another name or address since then.
    """
    entries.submit("e1", "j1")
    entries.submit("e2", "j2")
    change_queues(entries, queues)
    for entry in entries.entries.values():
        calls = JobCalls(entry)
        for job in ("j1", "j2"):
            assert calls.state(queues[-1], job).result(0) == "queued"


@pytest.mark.parametrize("queues", CHANGES.values(), ids=CHANGES)
def test_a_job_can_be_cancelled_at_the_address_of_its_queue(entries, queues):
    """Guards against a task that runs on after a DELETE was answered 410."""
    entries.submit("e2", "j1")
    change_queues(entries, queues)
    cancelled = JobCalls(entries.entries["e2"]).cancel(queues[-1], "j1", 2.0)
    entries.loop.advance(0.0)
    cancelled.result(0)
    assert entries.entries["e1"].coordinator.state.jobs["j1"].cancelled


@pytest.mark.parametrize("queues", CHANGES.values(), ids=CHANGES)
def test_waiting_jobs_count_for_the_queue_that_took_over(entries, queues):
    """Guards against a number of pending jobs that leaves out older ones."""
    entries.submit("e2", "j1")
    change_queues(entries, queues)
    assert JobCalls(entries.entries["e2"]).count_pending(queues[-1]) == 1


@pytest.mark.parametrize("queues", CHANGES.values(), ids=CHANGES)
def test_a_repeated_submission_stays_one_job(entries, queues):
    """Guards against a second job of one id in the renamed queue."""
    entries.submit("e1", "j1")
    change_queues(entries, queues)
    entries.entries["e2"].job_index.jobs.clear()
    accepted = JobCalls(entries.entries["e2"]).submit(
        queues[-1], "j1", SPEC, 2.0
    )
    entries.loop.advance(0.0)
    assert accepted.result(0) is None
    record = entries.entries["e2"].job_index.jobs["j1"].record
    assert record.queue.name == QUEUE.name


@pytest.mark.parametrize("queues", CHANGES.values(), ids=CHANGES)
def test_a_leader_tells_the_state_of_a_renamed_queue_to_peers(entries, queues):
    """Guards against a 410 from an entry that asks the leader."""
    entries.submit("e2", "j1")
    change_queues(entries, queues)
    leader = entries.entries["e1"]
    leader.record_progress("j1", ProgressRecord(DONE), 1 << 40)
    entries.loop.clock.advance(MAX_LAG_S + 0.01)
    state = JobCalls(entries.entries["e2"]).state(queues[-1], "j1")
    assert state.result(0) == DONE


def test_a_peer_that_lacks_a_stored_job_is_not_believed(entries, monkeypatch):
    """Guards against a 410 while entries of an older build compare names."""
    entries.submit("e2", "j1")
    entries.loop.clock.advance(MAX_LAG_S + 0.01)
    entry = entries.entries["e2"]
    monkeypatch.setattr(
        entry.relay,
        "request",
        lambda kind, key, frame, settle: settle(PeerResponse(ABSENT), False),
    )
    assert JobCalls(entry).state(QUEUE, "j1").result(0) == "queued"


def test_a_job_that_nobody_submitted_is_unknown(entries):
    """Guards against a state for an id that was never accepted."""
    change_queues(entries, [RENAMED])
    entries.submit("e1", "j1")
    with pytest.raises(NoJobError):
        JobCalls(entries.entries["e1"]).state(RENAMED, "j2").result(0)


@pytest.mark.parametrize("queues", CHANGES.values(), ids=CHANGES)
def test_a_running_job_follows_its_queue(queues):
    """Guards against a job that keeps the settings of a renamed queue.

    A takeover comes after the change; the tasks of a silent worker start
    again, in the pool that the queue has now.
    """
    world = World(workers=4, pools=("pool-a", "pool-b"))
    world.lead()
    world.run()
    world.submit("j1", SMALL)
    world.run()
    for queue in queues:
        world.change_queues(queue._replace(priority=3))
    assert world.coordinator.state.jobs["j1"].queue.priority == 3
    cut = {worker for _, _, worker in world.running()}
    world.take_over("e2")
    fence = world.coordinator.state.term.fence
    for name in cut:
        world.workers.workers[name].unreachable_by.add(fence)
    world.run(7.0)
    assert not world.violations
    again = {worker[:6] for _, _, worker in world.running("j1")}
    assert again == {queues[-1].pool}


def test_a_queue_at_an_address_goes_before_one_of_its_name():
    """Guards against jobs that are mixed up when queues swap their names."""
    other = QUEUE._replace(name="survey", prefix="/s/", pool="pool-b")
    history = QueueHistory(manifest(1, QUEUE, other))
    swapped = QUEUE._replace(name="survey"), other._replace(name="replan")
    history.observe(manifest(2, *swapped))
    assert history.find(QUEUE, 1) == swapped[0]
    assert history.find(other, 1) == swapped[1]


def test_a_removed_queue_keeps_its_settings():
    """Guards against an error for jobs whose queue is gone."""
    other = QUEUE._replace(name="survey", prefix="/s/")
    history = QueueHistory(manifest(1, QUEUE, other))
    history.observe(manifest(2, other))
    assert history.find(QUEUE, 1) == QUEUE
    newer = QUEUE._replace(priority=7)
    history.observe(manifest(3, newer, other))
    assert history.find(QUEUE, 1) == newer
