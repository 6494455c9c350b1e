"""Tests of slow and stalled workers, with tasks that take time."""

from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.model import Step
from cyclamenscale.jobs.speeds import MOVES_LIMIT
from test.jobs.world import World

STEP = Step(6, Resources(8.0, 8.0), estimate_ms=600.0)
TICK_S = 0.05


class Workload:
    """Runs of a world that progress by the speed of their worker.

    :ivar speeds: factor by worker id, 1 if absent.
    :ivar long: tasks that take many times as long anywhere, by name.
    """

    def __init__(self, world, duration_s=0.6):
        """Keep the world and how long a task takes on a sound worker."""
        self.world = world
        self.duration_s = duration_s
        self.speeds = {}
        self.long = {}
        self.done = {}

    def run(self, for_s):
        """Let tasks progress, and end those that are done."""
        for _ in range(round(for_s / TICK_S)):
            self.world.run(TICK_S, TICK_S)
            for worker in self.world.workers.workers.values():
                for key in list(worker.runs):
                    self.progress(worker, key)

    def progress(self, worker, key):
        """Let one run progress by a tick."""
        task = key[0]
        speed = self.speeds.get(worker.entry.id, 1.0)
        duration_s = self.duration_s * self.long.get(task, 1.0)
        before = self.done.get(key, 0.0)
        self.done[key] = before + 100 * speed * TICK_S / duration_s
        self.world.at_work_share[task] = float(int(self.done[key]))
        if self.done[key] >= 100:
            self.world.ended_done.add(task)
            worker.end(key, "done")


def busy_world(**speeds):
    """Return a world with a workload of several jobs under way."""
    world = World(workers=4)
    world.lead()
    world.run()
    load = Workload(world)
    load.speeds = {f"pool-a-{n[1:]}": speed for n, speed in speeds.items()}
    return world, load


def submit(world, count, first=0, step=STEP):
    """Hand jobs in; return their ids."""
    names = [f"j{number}" for number in range(first, first + count)]
    for name in names:
        world.submit(name, step)
    return names


def test_jobs_are_done_in_time_beside_a_slow_worker():
    """Guards against each job waiting for its task on the slow worker.

    Pattern: one worker of a pool is many times slower for a while.
    """
    world, load = busy_world(w0=1 / 8)
    submit(world, 4)
    load.run(3.2)
    assert not world.coordinator.state.jobs
    assert not world.broken


def test_tasks_that_stand_still_are_started_elsewhere():
    """Guards against a job that waits until a stalled worker goes on.

    Pattern: tasks on a worker stand still, which answers like a sound one.
    """
    world, load = busy_world(w0=0.0)
    submit(world, 2)
    load.run(3.0)
    assert not world.coordinator.state.jobs
    assert not world.broken


def test_copies_are_started_beside_a_stalled_run():
    """Guards against a stop where a copy is allowed and faster."""
    world, load = busy_world(w0=0.0)
    submit(world, 2, step=STEP._replace(allows_copies=True))
    load.run(3.0)
    assert not world.coordinator.state.jobs


def test_a_long_task_is_no_sign_of_a_slow_worker():
    """Guards against work thrown away because a task takes long.

    Pattern: a few tasks run many times longer than the rest.
    """
    world, load = busy_world()
    load.long = {"j0.0.0.2": 9.0, "j1.0.0.4": 9.0}
    submit(world, 4)
    load.run(4.0)
    assert {task for task, _, _ in world.running()} == set(load.long)
    assert "jobs.stops" not in world.coordinator.state.metrics.snapshot()


def test_long_steps_on_all_workers_make_none_slow():
    """Guards against workers judged by jobs whose tasks all take long."""
    world, load = busy_world()
    load.long = {f"j{job}.0.0.{n}": 9.0 for job in (0, 1) for n in range(6)}
    submit(world, 3)
    load.run(4.0)
    assert "jobs.stops" not in world.coordinator.state.metrics.snapshot()


def test_estimates_that_are_all_off_make_no_worker_slow():
    """Guards against a pool whose workers are all taken for slow."""
    world, load = busy_world()
    load.duration_s = 6.0
    submit(world, 4)
    load.run(4.0)
    workers = world.coordinator.state.workers.values()
    assert not any(worker.slow for worker in workers)


def test_a_worker_that_has_recovered_gets_work_again():
    """Guards against a worker that stays out after its slow time."""
    world, load = busy_world(w0=0.0)
    submit(world, 2)
    load.run(3.0)
    load.speeds = {}
    # More than the others hold, so that it is tried.
    submit(world, 6, first=2)
    load.run(2.0)
    submit(world, 6, first=8)
    load.run(0.3)
    runs = [row for row in world.running() if row[2] == "pool-a-0"]
    assert len(runs) > 1


def test_a_stalled_worker_gets_one_run_at_a_time_until_one_progresses():
    """Guards against new work for a stalled worker once it is emptied."""
    world, load = busy_world(w0=0.0)
    submit(world, 2)
    load.run(1.5)
    submit(world, 4, first=2)
    for _ in range(10):
        load.run(0.1)
        runs = [row for row in world.running() if row[2] == "pool-a-0"]
        assert len(runs) <= 1


def test_a_task_that_is_slow_everywhere_is_not_moved_for_ever():
    """Guards against a task that is stopped again and again."""
    world, load = busy_world(w0=0.0, w1=0.0, w2=0.0, w3=0.0)
    submit(world, 1)
    load.run(12.0)
    runs = [run for task, run, _ in world.running() if task == "j0.0.0.0"]
    tasks = world.coordinator.state.jobs["j0"].tasks()
    assert runs
    assert all(task.moves <= MOVES_LIMIT for task in tasks)
