"""Tests of placers: tasks on workers, from queue to end."""

import pytest

from cyclamenscale.fleet.ports import Resources
from cyclamenscale.placing.job_records import (
    DONE,
    FAILED,
    QUEUED,
    REJECTED,
)
from cyclamenscale.placing.jobs import allocations
from cyclamenscale.standin.workers import TaskBehaviour
from test.placing.world import CAPACITY, POOL, World


def test_jobs_run_to_their_end():
    """Guards against jobs that are never started or never end."""
    world = World()
    for number in range(60):
        world.submit(f"j{number}")
    world.run(30)
    assert world.states() == {DONE: 60}
    assert sum(world.workers.starts.values()) == 60
    assert not world.workers.running()


def test_urgent_job_starts_in_time_behind_a_long_queue():
    """Guards against urgent work that waits for the queue's writes."""
    world = World(size=40, writes_burst=3)
    world.book.set_quota(POOL, "t1", Resources(100, 1000))
    for number in range(2000):
        world.submit(f"j{number}", declared=Resources(0.5, 1))
    world.run(2)
    submitted_s = world.clock()
    world.submit("now", urgency=0, team="t2")
    world.run(4)
    at_s = [s for s, task, _ in world.workers.started if "/now/" in task][0]
    assert at_s - submitted_s <= 2.6


def test_urgent_jobs_are_placed_first():
    """Guards against an order of placement by arrival."""
    world = World(size=1)
    for number in range(4):
        world.submit(
            f"j{number}", declared=Resources(8, 1), urgency=4 - number
        )
    world.run(3)
    assert world.workers.started[0][1] == "north/j3/1"


def test_impossible_job_is_rejected_at_once():
    """Guards against jobs that wait for ever, or end without a reason."""
    world = World()
    world.submit("wide", declared=Resources(9, 4))
    world.submit("fine")
    world.run(2)
    found = world.jobs()
    assert found["wide"].state == REJECTED
    assert (
        "9.0 of processors, the largest worker has 8.0" in found["wide"].reason
    )
    assert found["fine"].state != REJECTED


def test_bad_worker_is_quarantined_and_bad_job_is_held():
    """Guards against bad workers that run on and good ones that do not."""
    world = World(size=10)
    world.workers.failing["w3"] = 0.0
    world.truths["bad"] = TaskBehaviour(Resources(1, 1), 1.0, fails=True)
    world.submit("poison", kind="bad", team="t9")
    for number in range(120):
        world.submit(f"j{number}", team=f"t{number % 5}")
    world.run(60)
    found = world.jobs()
    assert found.pop("poison").state == FAILED
    assert {each.state for each in found.values()} == {DONE}
    decided = [d for entry in world.entries for d in entry.decisions]
    assert ("worker_quarantined", "w3") in decided
    assert {d for d in decided if d[0] == "worker_quarantined"} == {
        ("worker_quarantined", "w3")
    }


def test_cancelled_burst_leaves_no_task_and_no_quota():
    """Guards against leftovers, and a cost that outgrows the burst."""
    costs = []
    for size in (100, 200, 400):
        world = World(size=40, writes_burst=100)
        world.truths["k1"] = TaskBehaviour(Resources(1, 1), 1000.0)
        for number in range(size):
            world.submit(f"j{number}", declared=Resources(0.5, 0.5))
        world.run(5)
        assert len(world.workers.running()) == size
        before = sum(world.admin.counts().values())
        assert world.book.cancel(POOL, [f"j{n}" for n in range(size)]) == size
        costs.append(sum(world.admin.counts().values()) - before)
        world.run(1)
        assert not world.workers.running()
        world.run(3)
        assert allocations(world.book.read_jobs(POOL).values()) == ({}, {})
    assert costs[2] - costs[1] <= 2 * (costs[1] - costs[0]) + 1


@pytest.mark.parametrize(
    "used, kind",
    [
        (Resources(6, 2), "throttle"),
        (Resources(1, 20), "checkpoint"),
    ],
)
def test_overloaded_worker_is_relieved(used, kind):
    """Guards against workers that stay overloaded by wrong sizes."""
    world = World(size=1)
    world.truths["k1"] = TaskBehaviour(used, 500.0)
    world.submit("urgent", urgency=0)
    world.submit("later", urgency=5, can_checkpoint=True)
    world.run(15)
    assert world.workers.actions[kind]
    worker = world.workers.workers["w0"]
    assert worker.used(world.clock()).fits(CAPACITY)
    tasks = world.workers.running()
    assert any("/urgent/" in task for task in tasks)


def test_draining_worker_gets_nothing_new():
    """Guards against new tasks on a worker that drains or moves."""
    world = World(size=2)
    world.truths["k1"] = TaskBehaviour(Resources(1, 1), 1000.0)
    world.submit("stays")
    world.submit("moves", can_checkpoint=True)
    world.run(4)
    drained = world.workers.running()["north/moves/1"]
    world.set_state(drained, "draining")
    drain_s = world.clock()
    for number in range(5):
        world.submit(f"j{number}", declared=Resources(0.5, 0.5))
    world.run(20)
    assert world.workers.running()["north/moves/2"] != drained
    assert not [
        task
        for at_s, task, worker in world.workers.started
        if worker == drained and at_s > drain_s
    ]


def test_revision_of_the_worker_is_compared():
    """Guards against a claim that races with the start of a drain."""
    world = World(size=1)
    world.submit("late")
    world.run(0)
    for entry in world.entries:
        entry.store.pause = lambda: None
        entry.holder.tick([POOL])
    world.set_state("w0", "draining")
    for entry in world.entries:
        entry.tick()
    assert not world.workers.running()
    assert world.jobs()["late"].state == QUEUED
