"""Reconciles job records with usage reports and the results of actions."""

from cyclamenscale.fleet.ports import TaskReport
from cyclamenscale.metrics import Metrics
from cyclamenscale.placing.job_records import (
    CHECKPOINTED,
    CLAIMED,
    DONE,
    ENDED_STATES,
    FAILED,
    MAX_FAILED_ON,
    PLACED_STATES,
    QUEUED,
    RUNNING,
    JobRecord,
    TaskRecord,
)
from cyclamenscale.placing.jobs import JobChange
from cyclamenscale.placing.placer_state import PlacerState, PoolSnapshot
from cyclamenscale.placing.task_actions import STARTED, TaskActions


class TaskReconciler:
    """Reconciles the records of jobs with the state of their tasks.

    :param actions: sends actions to the workers.
    :param state: state of the pool.
    :param metrics: counters.
    :param snapshot: inputs of the tick.
    """

    def __init__(
        self,
        actions: TaskActions,
        state: PlacerState,
        metrics: Metrics,
        snapshot: PoolSnapshot,
    ):
        """Initialise for one tick."""
        self.actions = actions
        self.state = state
        self.settings = state.settings
        self.metrics = metrics
        self.snapshot = snapshot
        self.now_s = snapshot.now_s

    def job_changes(self) -> list[JobChange]:
        """Reconcile all job records, starting and stopping tasks.

        Ended jobs are deleted after the retention time.

        :returns: changes of the records, not written yet.
        """
        reported = self.snapshot.reported_tasks()
        changes = []
        for job in self.snapshot.records.jobs.values():
            record = job.record
            if record.task is None:
                age_s = self.now_s - record.ended_s
                if (
                    record.state in ENDED_STATES
                    and age_s > self.settings.retention_s
                ):
                    changes.append(JobChange(job, None))
                continue
            after = self.reconcile(record, reported.get(record.task.id))
            if after != record:
                changes.append(JobChange(job, after))
        return changes

    def reconcile(
        self, record: JobRecord, report: TaskReport | None
    ) -> JobRecord:
        """Return the updated record of a job that has a task."""
        task = record.task
        if record.state not in PLACED_STATES:
            stopped = self.actions.stop(task.id, task.worker)
            if stopped or self.is_lost(task, report):
                return record._replace(task=None)
            return record
        if report is not None and report.state != "running":
            return self.resolve_ended(record, report)
        if task.id in self.state.stopped_tasks:
            return self.resolve_interrupted(
                record, f"task {task.id} was stopped"
            )
        if record.state == CLAIMED:
            return self.reconcile_claimed(record, report)
        if self.is_lost(task, report):
            return self.resolve_lost(record)
        if self.should_migrate(record):
            self.actions.request_checkpoint(task.id, task.worker)
        return record

    def should_migrate(self, record: JobRecord) -> bool:
        """Return whether a task should be checkpointed to leave its worker."""
        return (
            record.spec.can_checkpoint
            and not record.spec.at_most_once
            and not self.snapshot.accepts_tasks(record.task.worker)
        )

    def reconcile_claimed(
        self, record: JobRecord, report: TaskReport | None
    ) -> JobRecord:
        """Return the updated record of a job whose start is not recorded."""
        task = record.task
        if report is not None or task.id in self.state.started_tasks:
            return record.transition(RUNNING)
        result = self.actions.start(record)
        if result == STARTED:
            return record.transition(RUNNING)
        # The start may have been delayed on the network. After a confirmed
        # stop the worker refuses it; until then the job is not placed
        # elsewhere.
        if result and self.actions.stop(task.id, task.worker):
            reason = f"worker {task.worker} refused: {result}"
            if result == "stopped":
                return self.resolve_interrupted(record, reason)
            return self.requeue(record, reason)
        if self.is_lost(task, report):
            return self.resolve_lost(record)
        return record

    def requeue(self, record: JobRecord, reason: str) -> JobRecord:
        """Return the record as queued, or as checkpointed if it was saved."""
        state = CHECKPOINTED if record.saved else QUEUED
        return record.transition(state, task=None, reason=reason)

    def resolve_interrupted(self, record: JobRecord, reason: str) -> JobRecord:
        """Return the record as requeued or, if at-most-once, as failed."""
        if record.spec.at_most_once:
            return self.fail(record, reason)
        return self.requeue(record, reason)

    def fail(self, record: JobRecord, reason: str) -> JobRecord:
        """Return the record of a job that has failed and is not retried."""
        return record.transition(
            FAILED, task=None, reason=reason, ended_s=self.now_s
        )

    def is_lost(self, task: TaskRecord, report: TaskReport | None) -> bool:
        """Return whether a task has been missing for ``lost_s`` or longer."""
        missing_since_s = self.state.missing_since_s
        if report is not None:
            missing_since_s.pop(task.id, None)
            return False
        since_s = missing_since_s.setdefault(task.id, self.now_s)
        return self.now_s - since_s >= self.settings.lost_s

    def resolve_lost(self, record: JobRecord) -> JobRecord:
        """Stop a lost task and return the updated record of its job."""
        self.metrics.incr("placer.lost")
        self.actions.stop(record.task.id, record.task.worker)
        return self.resolve_interrupted(
            record, f"no report of task {record.task.id}"
        )

    def resolve_ended(
        self, record: JobRecord, report: TaskReport
    ) -> JobRecord:
        """Return the updated record of a job whose task has ended."""
        spec, task = record.spec, record.task
        if report.state == "done":
            return record.transition(DONE, task=None, ended_s=self.now_s)
        if report.state == "checkpointed":
            return record.transition(CHECKPOINTED, task=None, saved=True)
        reason = f"task {task.id} {report.state} on worker {task.worker}"
        if report.state == "failed":
            self.state.failures.record_failure(task.worker, spec.id, spec.team)
            workers = dict.fromkeys((*record.failed_on, task.worker))
            record = record._replace(failed_on=tuple(workers)[-MAX_FAILED_ON:])
            if self.is_bad_job(record):
                self.state.failures.discard_job(spec.id)
                self.metrics.incr("placer.bad_jobs")
                names = ", ".join(record.failed_on)
                return self.fail(record, f"failed on workers {names}")
        return self.resolve_interrupted(record, reason)

    def is_bad_job(self, record: JobRecord) -> bool:
        """Return whether a job failed on enough workers that are not bad."""
        failures = self.state.failures
        bad_workers = self.snapshot.quarantined_workers() | {
            each for each in failures.by_worker if failures.is_bad_worker(each)
        }
        return failures.is_bad_job(record.failed_on, bad_workers)
