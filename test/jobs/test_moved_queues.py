"""Tests of takeovers after a queue's pool has changed."""

import pytest

from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.model import Manifest, Pool, Recurrence, Step
from cyclamenscale.jobs.queue_history import MAX_VERSIONS, QueueHistory
from test.jobs.world import QUEUE, World

SMALL = Step(2, Resources(2.0, 4.0), estimate_ms=500.0)
POOLS = ("pool-a", "pool-b", "pool-c")

#: Time until a successor starts tasks of a worker that it does not reach,
#: and a margin.
SUCCESSOR_WAIT_S = 7.0


def queue_in(pool):
    """Return the queue with another pool."""
    return QUEUE._replace(pool=pool)


def world_with_runs(*steps, moves_before=()):
    """Return a world in which a job runs.

    :param moves_before: pools to which its queue moves before it starts.
    """
    world = World(workers=4, pools=POOLS)
    world.lead()
    world.run()
    for pool in moves_before:
        world.change_queues(queue_in(pool))
    world.submit("j1", *steps)
    world.run()
    return world


def take_over_without(world, cut):
    """Begin a term that does not reach some workers; let time pass."""
    world.take_over("e2")
    for name in cut:
        worker = world.workers.workers[name]
        worker.unreachable_by.add(world.coordinator.state.term.fence)
    world.run(SUCCESSOR_WAIT_S)


def workers_of(world, task):
    """Return the names of the workers that run a task."""
    return {worker for _, _, worker in world.running(task)}


@pytest.mark.parametrize(
    "step",
    [
        SMALL,
        SMALL._replace(gang=True),
        SMALL._replace(long_running=True),
        SMALL._replace(max_per_worker=1),
    ],
    ids=["short", "gang", "long_running", "spread"],
)
@pytest.mark.parametrize(
    ("before", "after"),
    [
        ((), ("pool-b",)),
        ((), ("pool-b", "pool-c")),
        ((), ("pool-b", "pool-a")),
        (("pool-b",), ("pool-c",)),
        (("pool-b",), ("pool-a",)),
        (("pool-b", "pool-a"), ("pool-b",)),
    ],
)
def test_a_takeover_waits_for_earlier_pools_of_a_queue(step, before, after):
    """Guards against a second run in the new pool of a moved queue.

    The first run is on a worker of an earlier pool, which the new leader
    does not reach.
    """
    world = world_with_runs(step, moves_before=before)
    cut = workers_of(world, "j1")
    assert cut
    for pool in after:
        world.change_queues(queue_in(pool))
    take_over_without(world, cut)
    assert not world.violations
    again = workers_of(world, "j1")
    assert {name[:6] for name in again} == {after[-1]}


def test_a_takeover_waits_for_the_pool_of_a_later_step():
    """Guards against a second run of a step that began after the move."""
    world = world_with_runs(SMALL, SMALL._replace(depends_on=(0,)))
    world.change_queues(queue_in("pool-b"))
    world.finish("j1.0.0")
    world.run()
    cut = workers_of(world, "j1.0.1")
    assert {name[:6] for name in cut} == {"pool-b"}
    world.change_queues(queue_in("pool-c"))
    take_over_without(world, cut)
    assert not world.violations
    assert len(world.running("j1.0.1")) == 2


def test_a_takeover_waits_for_the_pool_of_an_occurrence():
    """Guards against a second run of an occurrence of a recurring job."""
    world = World(workers=4, pools=POOLS)
    world.lead()
    world.run()
    first_ms = int(world.clock() * 1000)
    world.submit("j1", SMALL, recurrence=Recurrence(first_ms, 1000, 2))
    world.run(1.5)
    assert len(world.running("j1.1.")) == 2
    cut = workers_of(world, "j1")
    world.change_queues(queue_in("pool-b"))
    take_over_without(world, cut)
    assert not world.violations
    assert len(world.running("j1.0.")) == len(world.running("j1.1.")) == 2


def test_two_takeovers_in_a_row_wait_for_the_earlier_pool():
    """Guards against a second run after a leader that knew of no run."""
    world = world_with_runs(SMALL)
    cut = workers_of(world, "j1")
    world.change_queues(queue_in("pool-b"))
    world.take_over("e2")
    for name in cut:
        fence = world.coordinator.state.term.fence
        world.workers.workers[name].unreachable_by.add(fence)
    world.run(1.0)
    take_over_without(world, cut)
    assert not world.violations
    assert len(world.running("j1")) == 2


def test_a_job_cancelled_after_the_move_is_not_run_again():
    """Guards against a run in the new pool after a cancellation."""
    world = world_with_runs(SMALL)
    cut = workers_of(world, "j1")
    world.change_queues(queue_in("pool-b"))
    world.take_over("e2")
    for name in cut:
        fence = world.coordinator.state.term.fence
        world.workers.workers[name].unreachable_by.add(fence)
    world.coordinator.cancel_job("j1")
    world.run(1.0)
    for name in cut:
        world.workers.workers[name].unreachable_by.clear()
    world.run(1.0)
    assert not world.running("j1")
    assert not world.violations


def test_an_entry_with_no_history_waits_for_all_pools():
    """Guards against a second run after a takeover by a new entry."""
    world = world_with_runs(SMALL)
    cut = workers_of(world, "j1")
    world.change_queues(queue_in("pool-b"))
    world.queue_history = QueueHistory(world.manifest)
    take_over_without(world, cut)
    assert not world.violations
    assert len(world.running("j1")) == 2


def test_an_entry_whose_manifest_may_be_old_waits_for_all_pools():
    """Guards against a second run if the previous leader knew more.

    It had moved the queue and started the job in the new pool; the new
    leader's watch delivers that manifest later.
    """
    world = world_with_runs(SMALL, moves_before=("pool-b",))
    cut = workers_of(world, "j1")
    assert {name[:6] for name in cut} == {"pool-b"}
    newest = world.manifest
    world.manifest = newest._replace(version=1, queues={"replan": QUEUE})
    world.queue_history = QueueHistory(world.manifest)
    world.take_over("e2")
    state = world.coordinator.state
    state.manifest_revision = lambda: state.term.fence - 1
    for name in cut:
        world.workers.workers[name].unreachable_by.add(state.term.fence)
    world.run(1.0)
    assert not world.violations
    assert workers_of(world, "j1") == cut


def test_a_job_does_not_wait_for_pools_it_was_never_in():
    """Guards against idle workers beside a silent one of another pool."""
    world = world_with_runs(SMALL)
    world.run(0.5)
    world.finish("j1", "lapsed")
    world.workers.workers["pool-b-0"].mode = "dark"
    world.take_over("e2")
    world.run(0.3)
    assert len(world.running("j1")) == 2


def test_a_job_does_not_wait_for_machines_that_are_off():
    """Guards against a wait for machines of the standby pool.

    They are listed as up, and have no worker.
    """
    world = world_with_runs(SMALL)
    world.finish("j1", "lapsed")
    standby = Pool("pool-c", standby=True)
    world.manifest = world.manifest._replace(
        version=5, pools={**world.manifest.pools, "pool-c": standby}
    )
    world.queue_history = QueueHistory(world.manifest)
    for name in [n for n in world.workers.workers if "pool-c" in n]:
        del world.workers.workers[name]
    world.take_over("e2")
    world.run(0.3)
    assert len(world.running("j1")) == 2


def manifest(version, **pools):
    """Return a manifest whose queues are in the given pools."""
    queues = {
        name: QUEUE._replace(name=name, prefix=f"/{name}/", pool=pool)
        for name, pool in pools.items()
    }
    return Manifest(version, queues, {})


def test_the_history_tells_the_pools_since_a_version():
    """Guards against a pool that is left out, or one that is in the way."""
    history = QueueHistory(manifest(3, q="a", other="x"))
    history.observe(manifest(5, q="a", other="y"))
    history.observe(manifest(9, q="b", other="y"))
    stored = QUEUE._replace(name="q", prefix="/q/", pool="a")
    assert history.pools_since(stored, 2) is None
    assert history.pools_since(stored, 3) == {"a", "b"}
    assert history.pools_since(stored, 8) == {"a", "b"}
    moved = stored._replace(pool="b")
    assert history.pools_since(moved, 9) == {"b"}
    assert history.pools_since(moved, 11) == {"b"}


def test_a_full_read_that_may_have_missed_manifests_restarts_the_history():
    """Guards against a pool that only a missed manifest named."""
    history = QueueHistory(manifest(3, q="a"))
    stored = QUEUE._replace(name="q", prefix="/q/", pool="a")
    history.observe(manifest(3, q="a"), complete=False)
    assert history.pools_since(stored, 3) == {"a"}
    history.observe(manifest(6, q="a"), complete=False)
    assert history.pools_since(stored, 3) is None
    assert history.pools_since(stored, 6) == {"a"}


def test_the_history_is_bounded():
    """Guards against a process that grows with each manifest."""
    history = QueueHistory()
    for version in range(1, 3 * MAX_VERSIONS):
        history.observe(manifest(version, q=f"pool-{version % 2}"))
    assert len(history.versions) == MAX_VERSIONS
    stored = QUEUE._replace(name="q", pool="pool-1")
    assert history.pools_since(stored, 1) is None
