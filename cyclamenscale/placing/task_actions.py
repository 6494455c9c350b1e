"""Actions of a placer on the tasks of one pool.

Each action contains the fencing token of the pool's control. Actions on one
task also contain an id, under which the worker performs them only once.
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

#: Lease renewals per duration of a task lease.
RENEWALS_PER_LEASE = 10
#: Result of :meth:`TaskActions.start` for a task that has started.
STARTED = "started"


class TaskActions:
    """Sends actions to the workers of one pool.

    :param workers: interface to the platform's workers.
    :param state: state of the pool.
    :param metrics: counters.
    :param pool: name of the pool.
    :param fence: fencing token of the pool's control.
    """

    def __init__(
        self,
        workers: WorkerPlatform,
        state: PlacerState,
        metrics: Metrics,
        pool: str,
        fence: int,
    ):
        """Initialise for one pool and fencing token."""
        self.workers = workers
        self.state = state
        self.settings = state.settings
        self.metrics = metrics
        self.pool = pool
        self.fence = fence

    def send(self, action, *arguments) -> bool:
        """Send an action to the platform.

        :param action: method of the platform interface.
        :param arguments: arguments of the method before the fencing token.
        :returns: whether the action was confirmed.
        :raises StaleFenceError: if the fencing token is superseded.
        """
        try:
            action(*arguments, self.fence)
        except (NotFoundError, PlatformUnavailableError):
            self.metrics.incr("placer.actions_failed")
            return False
        return True

    def renew_leases(self, now_s: float) -> None:
        """Renew the leases of the pool's tasks when a renewal is due."""
        state = self.state
        interval_s = self.settings.task_lease_s / RENEWALS_PER_LEASE
        last_s = state.leases_renewed_s
        if last_s is not None and now_s - last_s < interval_s:
            return
        if self.send(self.workers.renew_tasks, self.pool):
            state.leases_renewed_s = now_s

    def start(self, record: JobRecord) -> str:
        """Start a claimed task; starting it again has no effect.

        :returns: :data:`STARTED`, the reason for a refusal, or an empty
            string if the start was not confirmed.
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
            confirmed = self.send(
                self.workers.start_task, task.worker, order, f"{task.id}/start"
            )
        except TaskRefusedError as error:
            self.metrics.incr("placer.starts_refused")
            return error.reason
        if not confirmed:
            return ""
        self.state.started_tasks.add(task.id)
        return STARTED

    def stop(self, task: str, worker: str) -> bool:
        """Stop a task, or remove an ended one from the reports.

        :returns: whether the stop is confirmed, so that the task does not
            run and cannot start later.
        """
        confirmed = self.send(
            self.workers.stop_task, worker, task, f"{task}/stop"
        )
        if confirmed:
            self.state.record_stopped(task)
        return confirmed

    def request_checkpoint(self, task: str, worker: str) -> None:
        """Request a checkpoint unless a request was already confirmed."""
        if task in self.state.checkpoint_requested:
            return
        self.metrics.incr("placer.checkpoints")
        if self.send(
            self.workers.checkpoint_task, worker, task, f"{task}/checkpoint"
        ):
            self.state.checkpoint_requested.add(task)

    def stop_unknown_tasks(self, snapshot: PoolSnapshot) -> None:
        """Stop reported tasks of this pool that are in no job record."""
        recorded = snapshot.recorded_task_ids()
        for report in snapshot.reports.values():
            for each in report.tasks:
                if (
                    each.task.startswith(f"{self.pool}/")
                    and each.task not in recorded
                    and each.task not in self.state.stopped_tasks
                ):
                    self.metrics.incr("placer.unknown_tasks")
                    self.stop(each.task, report.worker)

    def resolve_overload(self, snapshot: PoolSnapshot) -> None:
        """Send actions for overloaded workers; lift throttles elsewhere."""
        share = self.settings.overload_share
        for name, tasks in self.state.running_tasks(snapshot).items():
            worker = snapshot.platform_workers.get(name)
            report = snapshot.reports[name]
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
        self, action: OverloadAction, worker: str, taken_s: float
    ) -> None:
        """Send one action; the job of a stopped task is requeued later."""
        if action.kind == CHECKPOINT:
            self.request_checkpoint(action.task, worker)
        elif action.kind == STOP:
            self.metrics.incr("placer.stopped_for_room")
            self.stop(action.task, worker)
        else:
            self.metrics.incr("placer.throttles")
            self.send(
                self.workers.throttle_task,
                worker,
                action.task,
                action.share,
                f"{action.task}/throttle/{action.share}/{taken_s:.3f}",
            )
