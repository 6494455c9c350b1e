"""Actions of a placer on the tasks of one pool.

Each action carries the fencing token of the pool's control and an id under
which the worker carries it out once.
"""

from cyclamenscale.errors import (
    NotFoundError,
    PlatformUnavailableError,
    TaskRefusedError,
)
from cyclamenscale.fleet.ports import TaskOrder, WorkerPlatform
from cyclamenscale.metrics import Metrics
from cyclamenscale.placing.job_records import JobRecord
from cyclamenscale.placing.overload import (
    CHECKPOINT,
    STOP,
    OverloadAction,
    choose_overload_actions,
    choose_throttle_to_lift,
    is_overloaded,
    total_usage,
)
from cyclamenscale.placing.placer_state import PlacerState, PoolSnapshot

#: Renewals in the time of a task's lease.
RENEWALS_PER_LEASE = 10
#: Answer of :meth:`TaskActions.start` for a task that has started.
STARTED = "started"


class TaskActions:
    """Sends actions to the workers of one pool.

    :param workers: the platform's workers.
    :param state: what is remembered of the pool.
    :param metrics: counters.
    :param pool: name of the pool.
    :param fence: fencing token of its control.
    """

    def __init__(
        self,
        workers: WorkerPlatform,
        state: PlacerState,
        metrics: Metrics,
        pool: str,
        fence: int,
    ):
        """Keep the parts."""
        self.workers = workers
        self.state = state
        self.settings = state.settings
        self.metrics = metrics
        self.pool = pool
        self.fence = fence

    def send(self, action, *arguments) -> bool:
        """Send an action.

        :returns: whether it was confirmed.
        :raises StaleFenceError: if the control has moved on.
        """
        try:
            action(*arguments, self.fence)
        except (NotFoundError, PlatformUnavailableError):
            self.metrics.incr("placer.actions_failed")
            return False
        return True

    def renew_leases(self, now_s: float) -> None:
        """Renew the tasks' leases when it is time."""
        state = self.state
        interval_s = self.settings.task_lease_s / RENEWALS_PER_LEASE
        last_s = state.leases_renewed_s
        if last_s is not None and now_s - last_s < interval_s:
            return
        if self.send(self.workers.renew_tasks, self.pool):
            state.leases_renewed_s = now_s

    def start(self, record: JobRecord) -> str:
        """Start a claimed task; sent again, it changes nothing.

        :returns: :data:`STARTED`, the reason of a refusal, or nothing if
            there was no answer.
        """
        task = record.task
        order = TaskOrder(
            task.id,
            record.spec.kind,
            task.allocated,
            record.saved,
            self.settings.task_lease_s,
        )
        try:
            done = self.send(
                self.workers.start_task, task.worker, order, f"{task.id}/start"
            )
        except TaskRefusedError as error:
            self.metrics.incr("placer.starts_refused")
            return error.reason
        if not done:
            return ""
        self.state.started_tasks.add(task.id)
        return STARTED

    def stop(self, task: str, worker: str) -> bool:
        """Stop a task, or drop an ended one from the reports.

        :returns: whether it certainly does not run and never will.
        """
        done = self.send(self.workers.stop_task, worker, task, f"{task}/stop")
        if done:
            self.state.record_stopped(task)
        return done

    def request_checkpoint(self, task: str, worker: str) -> None:
        """Ask for a checkpoint until it is confirmed."""
        if task in self.state.checkpoint_requested:
            return
        self.metrics.incr("placer.checkpoints")
        if self.send(
            self.workers.checkpoint_task, worker, task, f"{task}/checkpoint"
        ):
            self.state.checkpoint_requested.add(task)

    def stop_unknown_tasks(self, seen: PoolSnapshot) -> None:
        """Stop reported tasks of this pool that no record has."""
        known = seen.recorded_task_ids()
        for report in seen.reports.values():
            for each in report.tasks:
                if (
                    each.task.startswith(f"{self.pool}/")
                    and each.task not in known
                    and each.task not in self.state.stopped_tasks
                ):
                    self.metrics.incr("placer.unknown_tasks")
                    self.stop(each.task, report.worker)

    def resolve_overload(self, seen: PoolSnapshot) -> None:
        """Act on workers that use too much, and lift old throttles."""
        share = self.settings.overload_share
        for name, tasks in self.state.running_tasks(seen).items():
            worker = seen.platform_workers.get(name)
            report = seen.reports[name]
            if worker is None:
                continue
            last_s = self.state.overload_action_s.get(name)
            if (
                last_s is not None
                and report.taken_s - last_s < self.settings.settle_s
            ):
                continue
            used = total_usage(report.tasks)
            if is_overloaded(used, worker.capacity, share):
                self.metrics.incr("placer.overloaded")
                actions = choose_overload_actions(
                    tasks, used, worker.capacity, share
                )
            else:
                actions = choose_throttle_to_lift(tasks, used, worker.capacity)
            for each in actions:
                self.send_overload_action(each, name, report.taken_s)
            if actions:
                self.state.overload_action_s[name] = report.taken_s

    def send_overload_action(
        self, relief: OverloadAction, worker: str, taken_s: float
    ) -> None:
        """Send one action; a stopped task's job is queued again later."""
        if relief.kind == CHECKPOINT:
            self.request_checkpoint(relief.task, worker)
        elif relief.kind == STOP:
            self.metrics.incr("placer.stopped_for_room")
            self.stop(relief.task, worker)
        else:
            self.metrics.incr("placer.throttles")
            self.send(
                self.workers.throttle_task,
                worker,
                relief.task,
                relief.share,
                f"{relief.task}/throttle/{relief.share}/{taken_s:.3f}",
            )
