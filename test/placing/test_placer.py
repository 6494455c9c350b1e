"""Tests of placers: jobs from submission to their end."""

import pytest

from cyclamenscale.fleet.ports import Resources
from cyclamenscale.placing.job_records import (
    DONE,
    FAILED,
    QUEUED,
    REJECTED,
)
from cyclamenscale.placing.jobs import sum_allocations
from cyclamenscale.standin.workers import TaskBehaviour
from test.placing.simulation import CAPACITY, POOL, PoolSimulation


def test_jobs_run_to_their_end():
    """Guards against jobs that are never started or never end."""
    simulation = PoolSimulation()
    for number in range(60):
        simulation.submit(f"j{number}")
    simulation.run(30)
    assert simulation.states() == {DONE: 60}
    assert sum(simulation.workers.starts.values()) == 60
    assert not simulation.workers.running()


def test_urgent_job_starts_in_time_behind_a_long_queue():
    """Guards against urgent jobs delayed by the writes of queued jobs."""
    simulation = PoolSimulation(size=40, writes_burst=3)
    simulation.job_store.set_quota(POOL, "t1", Resources(100, 1000))
    for number in range(2000):
        simulation.submit(f"j{number}", declared=Resources(0.5, 1))
    simulation.run(2)
    submitted_s = simulation.clock()
    simulation.submit("now", urgency=0, team="t2")
    simulation.run(4)
    at_s = [s for s, task, _ in simulation.workers.started if "/now/" in task][
        0
    ]
    assert at_s - submitted_s <= 2.6


def test_urgent_jobs_are_placed_first():
    """Guards against placement in the order of submission."""
    simulation = PoolSimulation(size=1)
    for number in range(4):
        simulation.submit(
            f"j{number}", declared=Resources(8, 1), urgency=4 - number
        )
    simulation.run(3)
    assert simulation.workers.started[0][1] == "north/j3/1"


def test_impossible_job_is_rejected_at_once():
    """Guards against jobs that wait forever or end without a reason."""
    simulation = PoolSimulation()
    simulation.submit("wide", declared=Resources(9, 4))
    simulation.submit("fine")
    simulation.run(2)
    found = simulation.jobs()
    assert found["wide"].state == REJECTED
    assert (
        "9.0 of processors, the largest worker has 8.0" in found["wide"].reason
    )
    assert found["fine"].state != REJECTED


def test_bad_worker_is_quarantined_and_bad_job_fails():
    """Guards against bad workers in use and good ones in quarantine."""
    simulation = PoolSimulation(size=10)
    simulation.workers.failing["w3"] = 0.0
    simulation.behaviours["bad"] = TaskBehaviour(
        Resources(1, 1), 1.0, fails=True
    )
    simulation.submit("poison", kind="bad", team="t9")
    for number in range(120):
        simulation.submit(f"j{number}", team=f"t{number % 5}")
    simulation.run(60)
    found = simulation.jobs()
    assert found.pop("poison").state == FAILED
    assert {each.state for each in found.values()} == {DONE}
    decided = [d for entry in simulation.entries for d in entry.decisions]
    assert ("worker_quarantined", "w3") in decided
    assert {d for d in decided if d[0] == "worker_quarantined"} == {
        ("worker_quarantined", "w3")
    }


def test_bulk_cancellation_releases_tasks_and_quota():
    """Guards against leftover tasks or quota, and superlinear cost."""
    costs = []
    for size in (100, 200, 400):
        simulation = PoolSimulation(size=40, writes_burst=100)
        simulation.behaviours["k1"] = TaskBehaviour(Resources(1, 1), 1000.0)
        for number in range(size):
            simulation.submit(f"j{number}", declared=Resources(0.5, 0.5))
        simulation.run(5)
        assert len(simulation.workers.running()) == size
        before = sum(simulation.admin.call_counts().values())
        assert (
            simulation.job_store.cancel(POOL, [f"j{n}" for n in range(size)])
            == size
        )
        costs.append(sum(simulation.admin.call_counts().values()) - before)
        simulation.run(1)
        assert not simulation.workers.running()
        simulation.run(3)
        assert sum_allocations(
            simulation.job_store.read_jobs(POOL).values()
        ) == ({}, {})
    assert costs[2] - costs[1] <= 2 * (costs[1] - costs[0]) + 1


@pytest.mark.parametrize(
    "used, kind",
    [
        (Resources(6, 2), "throttle"),
        (Resources(1, 20), "checkpoint"),
    ],
)
def test_overload_of_a_worker_is_resolved(used, kind):
    """Guards against lasting overload due to wrong declared sizes."""
    simulation = PoolSimulation(size=1)
    simulation.behaviours["k1"] = TaskBehaviour(used, 500.0)
    simulation.submit("urgent", urgency=0)
    simulation.submit("later", urgency=5, can_checkpoint=True)
    simulation.run(15)
    assert simulation.workers.actions[kind]
    worker = simulation.workers.workers["w0"]
    assert worker.used(simulation.clock()).fits(CAPACITY)
    tasks = simulation.workers.running()
    assert any("/urgent/" in task for task in tasks)


def test_draining_worker_gets_no_new_tasks():
    """Guards against new tasks on a worker that drains or moves."""
    simulation = PoolSimulation(size=2)
    simulation.behaviours["k1"] = TaskBehaviour(Resources(1, 1), 1000.0)
    simulation.submit("stays")
    simulation.submit("moves", can_checkpoint=True)
    simulation.run(4)
    drained = simulation.workers.running()["north/moves/1"]
    simulation.set_instance_state(drained, "draining")
    drain_s = simulation.clock()
    for number in range(5):
        simulation.submit(f"j{number}", declared=Resources(0.5, 0.5))
    simulation.run(20)
    assert simulation.workers.running()["north/moves/2"] != drained
    assert not [
        task
        for at_s, task, worker in simulation.workers.started
        if worker == drained and at_s > drain_s
    ]


def test_claim_compares_the_instance_revision():
    """Guards against a claim that races with the start of a drain.

    Both entries decide on a view in which the worker is still live.
    """
    simulation = PoolSimulation(size=1)
    simulation.submit("late")
    simulation.run(0)
    for entry in simulation.entries:
        entry.store.before_txn = lambda: None
        entry.holder.tick([POOL])
    simulation.set_instance_state("w0", "draining")
    for entry in simulation.entries:
        entry.tick()
    assert not simulation.workers.running()
    assert simulation.jobs()["late"].state == QUEUED
