"""In-memory workers with tasks, delayed lists and usage reports, and faults.

Tests and benchmarks advance its clock. A function gives the actual usage and
the end of each task, so that declared sizes can be wrong. It counts the starts
of each job and records all starts and actions.
"""

from collections import Counter, defaultdict
from collections.abc import Callable
from math import inf
from typing import NamedTuple

from cyclamenscale.errors import (
    NotFoundError,
    PlatformUnavailableError,
    StaleFenceError,
    TaskRefusedError,
)
from cyclamenscale.fleet.ports import (
    PlatformWorker,
    Resources,
    TaskOrder,
    TaskReport,
    WorkerPlatform,
    WorkerReport,
)
from cyclamenscale.util.clock import Clock

#: Tolerance for rounding in sums of allocations.
ROUNDING_SLACK = 1e-6


class TaskBehaviour(NamedTuple):
    """Actual behaviour of a task when it runs.

    :ivar used: resources that it uses.
    :ivar run_s: run time in seconds.
    :ivar fails: whether it fails on every worker.
    """

    used: Resources
    run_s: float
    fails: bool = False


class MemoryTask:
    """A task on a worker."""

    def __init__(
        self, order: TaskOrder, behaviour: TaskBehaviour, started_s: float
    ):
        """Initialise as running."""
        self.order = order
        self.behaviour = behaviour
        self.started_s = started_s
        self.end_s = started_s + behaviour.run_s
        self.end_state = "failed" if behaviour.fails else "done"
        self.removed_s = inf
        self.share = 1.0

    def end(self, at_s: float, state: str) -> None:
        """End the task if it is still running."""
        if at_s < self.end_s:
            self.end_s = at_s
            self.end_state = state

    def running(self, at_s: float) -> bool:
        """Return whether the task runs at a time."""
        return self.started_s <= at_s < min(self.end_s, self.removed_s)

    def report(self, at_s: float) -> TaskReport | None:
        """Return the worker's report of the task at a time."""
        if not self.started_s <= at_s < self.removed_s:
            return None
        state = "running" if at_s < self.end_s else self.end_state
        used = self.behaviour.used
        used = used._replace(processors=used.processors * self.share)
        return TaskReport(self.order.task, state, used, self.share)


class MemoryWorker:
    """State of one worker."""

    def __init__(self, listed: PlatformWorker, added_s: float):
        """Initialise with no tasks."""
        self.listed = listed
        self.added_s = added_s
        self.leaving_s = inf
        self.removed_s = inf
        self.tasks: dict[str, MemoryTask] = {}
        self.actions: set[str] = set()
        self.stopped: set[str] = set()
        self.fences: dict[str, int] = {}

    def allocated(self, at_s: float) -> Resources:
        """Return the resources allocated to its running tasks."""
        total = Resources()
        for task in self.tasks.values():
            if task.running(at_s):
                total = total.plus(task.order.allocated)
        return total

    def used(self, at_s: float) -> Resources:
        """Return the resources that its running tasks use."""
        total = Resources()
        for task in self.tasks.values():
            if task.running(at_s):
                total = total.plus(task.report(at_s).used)
        return total


class MemoryWorkers(WorkerPlatform):
    """In-memory implementation of the worker port.

    :param clock: time in seconds, for tasks, list and reports.
    :param behaviour: returns the behaviour of a task from its order.
    :param lag_s: age of the list and of the reports.
    """

    def __init__(
        self,
        clock: Clock,
        behaviour: Callable[[TaskOrder], TaskBehaviour],
        lag_s: float = 2.0,
    ):
        """Initialise with no workers."""
        self.clock = clock
        self.behaviour = behaviour
        self.lag_s = lag_s
        self.workers: dict[str, MemoryWorker] = {}
        self.renewed_s: dict[str, float] = defaultdict(lambda: -inf)
        #: Starts by job, ``POOL/JOB``, excluding resumed checkpoints.
        self.starts: Counter[str] = Counter()
        #: Time, task and worker of each start, in order.
        self.started: list[tuple[float, str, str]] = []
        self.actions: Counter[str] = Counter()
        self.down = False
        self.lose_answers = 0
        self.unreachable: set[str] = set()
        #: Time from which a worker fails every task, by worker.
        self.failing: dict[str, float] = {}

    def add(self, listed: PlatformWorker) -> MemoryWorker:
        """Add a running worker."""
        found = MemoryWorker(listed, self.clock())
        self.workers[listed.name] = found
        return found

    def set_leaving(self, name: str) -> None:
        """Mark a worker as about to stop."""
        self.workers[name].leaving_s = self.clock()

    def kill(self, name: str) -> None:
        """Remove a worker and fail its tasks."""
        worker = self.workers[name]
        worker.removed_s = self.clock()
        for task in worker.tasks.values():
            task.end(self.clock(), "failed")
        worker.tasks = {}

    def restore(self, name: str) -> None:
        """Bring back a killed worker, without tasks."""
        self.workers[name].removed_s = inf

    def expire_leases(self, pool: str) -> None:
        """End all tasks of a pool as if their leases had expired."""
        for worker in self.workers.values():
            for name, task in worker.tasks.items():
                if name.startswith(f"{pool}/"):
                    task.end(self.clock(), "lapsed")

    def running(self, pool: str = "") -> dict[str, str]:
        """Return the worker of each running task, by task."""
        now_s = self.clock()
        return {
            name: worker.listed.name
            for worker in self.workers.values()
            for name, task in worker.tasks.items()
            if task.running(now_s) and name.startswith(pool)
        }

    def check_available(self, operation: str) -> None:
        """Fail before the call takes effect if the platform is down."""
        if self.down:
            raise PlatformUnavailableError(operation, "down")

    def check_response(self, operation: str) -> None:
        """Fail after the call has taken effect if its response is lost."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise PlatformUnavailableError(operation, "answer lost")

    def list_workers(self) -> list[PlatformWorker]:
        """Return the list as it was ``lag_s`` ago."""
        self.check_available("list_workers")
        at_s = self.clock() - self.lag_s
        return [
            each.listed._replace(leaving=each.leaving_s <= at_s)
            for each in self.workers.values()
            if each.added_s <= at_s < each.removed_s
        ]

    def usage(self, workers: list[str]) -> list[WorkerReport]:
        """Return the reports as they were ``lag_s`` ago."""
        self.check_available("usage")
        at_s = self.clock() - self.lag_s
        reports = []
        for name in workers:
            worker = self.workers.get(name)
            if worker is None or at_s >= worker.removed_s:
                continue
            worker.tasks = {
                task: each
                for task, each in worker.tasks.items()
                if each.removed_s > at_s
            }
            found = [task.report(at_s) for task in worker.tasks.values()]
            tasks = tuple(each for each in found if each)
            reports.append(WorkerReport(name, at_s, tasks))
        return reports

    def renew_tasks(self, pool: str, fence: int) -> None:
        """Renew the unexpired leases of a pool's tasks and end the others."""
        self.check_available("renew_tasks")
        now_s = self.clock()
        for worker in self.workers.values():
            for name, task in worker.tasks.items():
                if name.startswith(f"{pool}/"):
                    since_s = max(self.renewed_s[pool], task.started_s)
                    lease_end_s = since_s + task.order.lease_s
                    if lease_end_s < now_s:
                        task.end(lease_end_s, "lapsed")
        self.renewed_s[pool] = now_s
        self.check_response("renew_tasks")

    def find_worker(
        self, operation: str, worker: str, task: str, fence: int
    ) -> MemoryWorker:
        """Return the worker of an action, after the checks of all actions."""
        self.check_available(operation)
        found = self.workers.get(worker)
        if found is None or found.removed_s < inf:
            raise NotFoundError("worker", worker)
        if worker in self.unreachable:
            raise PlatformUnavailableError(operation, f"{worker} is cut off")
        pool = task.partition("/")[0]
        if fence < found.fences.get(pool, 0):
            raise StaleFenceError(pool, fence)
        found.fences[pool] = fence
        return found

    def start_task(
        self, worker: str, order: TaskOrder, action_id: str, fence: int
    ) -> None:
        """Start a task, once for each action id."""
        found = self.find_worker("start_task", worker, order.task, fence)
        if action_id not in found.actions:
            self.check_admission(found, order)
            found.actions.add(action_id)
            now_s = self.clock()
            task = MemoryTask(order, self.behaviour(order), now_s)
            if worker in self.failing:
                task.end(now_s + 1.0, "failed")
            found.tasks[order.task] = task
            if not order.resume:
                self.starts[order.task.rpartition("/")[0]] += 1
            self.started.append((now_s, order.task, worker))
            self.actions["start"] += 1
        self.check_response("start_task")

    def check_admission(self, found: MemoryWorker, order: TaskOrder) -> None:
        """Refuse a task that is stopped or that the worker can't run."""
        name = found.listed.name
        if order.task in found.stopped:
            raise TaskRefusedError(name, order.task, "stopped")
        if found.leaving_s < inf:
            raise TaskRefusedError(name, order.task, "leaving")
        slack = Resources(ROUNDING_SLACK, ROUNDING_SLACK, 0)
        capacity = found.listed.capacity.plus(slack)
        total = found.allocated(self.clock()).plus(order.allocated)
        if not total.fits(capacity):
            raise TaskRefusedError(name, order.task, "full")

    def checkpoint_task(
        self, worker: str, task: str, action_id: str, fence: int
    ) -> None:
        """Checkpoint a task and end it."""
        found = self.find_worker("checkpoint_task", worker, task, fence)
        if task in found.tasks and action_id not in found.actions:
            found.actions.add(action_id)
            found.tasks[task].end(self.clock(), "checkpointed")
            self.actions["checkpoint"] += 1
        self.check_response("checkpoint_task")

    def throttle_task(
        self, worker: str, task: str, share: float, action_id: str, fence: int
    ) -> None:
        """Throttle a task to a share of its processors."""
        found = self.find_worker("throttle_task", worker, task, fence)
        if task in found.tasks and action_id not in found.actions:
            found.actions.add(action_id)
            found.tasks[task].share = share
            self.actions["throttle"] += 1
        self.check_response("throttle_task")

    def stop_task(
        self, worker: str, task: str, action_id: str, fence: int
    ) -> None:
        """End a task and refuse to start it later."""
        found = self.find_worker("stop_task", worker, task, fence)
        found.stopped.add(task)
        if task in found.tasks:
            ended = found.tasks[task]
            ended.removed_s = min(ended.removed_s, self.clock())
            self.actions["stop"] += 1
        self.check_response("stop_task")
