"""Follows the tasks of a pool: what reports and answers mean for records."""

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
    """Decides what becomes of the jobs that have a task.

    :param actions: starts and stops tasks.
    :param state: what is remembered of the pool.
    :param metrics: counters.
    :param seen: what this tick has read.
    """

    def __init__(
        self,
        actions: TaskActions,
        state: PlacerState,
        metrics: Metrics,
        seen: PoolSnapshot,
    ):
        """Keep the parts."""
        self.actions = actions
        self.state = state
        self.settings = state.settings
        self.metrics = metrics
        self.seen = seen
        self.now_s = seen.now_s

    def job_changes(self) -> list[JobChange]:
        """Follow all records, starting and stopping what they ask for.

        :returns: changes of the records, to be written.
        """
        reported = self.seen.reported_tasks()
        changes = []
        for job in self.seen.records.jobs.values():
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
        """Return the record of a job with a task as it should be now."""
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
        """Return whether a task should be saved and moved elsewhere."""
        return (
            record.spec.can_checkpoint
            and not record.spec.at_most_once
            and not self.seen.accepts_tasks(record.task.worker)
        )

    def reconcile_claimed(
        self, record: JobRecord, report: TaskReport | None
    ) -> JobRecord:
        """Follow a task whose start is not recorded yet."""
        task = record.task
        if report is not None or task.id in self.state.started_tasks:
            return record.transition(RUNNING)
        answer = self.actions.start(record)
        if answer == STARTED:
            return record.transition(RUNNING)
        # The stop refuses a start that was delayed on its way; until it is
        # confirmed the job is not placed elsewhere.
        if answer and self.actions.stop(task.id, task.worker):
            reason = f"worker {task.worker} refused: {answer}"
            if answer == "stopped":
                return self.resolve_interrupted(record, reason)
            return self.requeue(record, reason)
        if self.is_lost(task, report):
            return self.resolve_lost(record)
        return record

    def requeue(self, record: JobRecord, reason: str) -> JobRecord:
        """Return a job to the queue, or to its checkpoint."""
        state = CHECKPOINTED if record.saved else QUEUED
        return record.transition(state, task=None, reason=reason)

    def resolve_interrupted(self, record: JobRecord, reason: str) -> JobRecord:
        """Return the record of a job whose task started but runs no more."""
        if record.spec.at_most_once:
            return self.fail(record, reason)
        return self.requeue(record, reason)

    def fail(self, record: JobRecord, reason: str) -> JobRecord:
        """Return the record of a job that is not tried again."""
        return record.transition(
            FAILED, task=None, reason=reason, ended_s=self.now_s
        )

    def is_lost(self, task: TaskRecord, report: TaskReport | None) -> bool:
        """Return whether a task has been missing for too long."""
        missing_s = self.state.missing_since_s
        if report is not None:
            missing_s.pop(task.id, None)
            return False
        since_s = missing_s.setdefault(task.id, self.now_s)
        return self.now_s - since_s >= self.settings.lost_s

    def resolve_lost(self, record: JobRecord) -> JobRecord:
        """Return the record of a job whose task is not reported."""
        self.metrics.incr("placer.lost")
        self.actions.stop(record.task.id, record.task.worker)
        return self.resolve_interrupted(
            record, f"no report of task {record.task.id}"
        )

    def resolve_ended(
        self, record: JobRecord, report: TaskReport
    ) -> JobRecord:
        """Return the record of a job whose task has ended."""
        spec, task = record.spec, record.task
        if report.state == "done":
            return record.transition(DONE, task=None, ended_s=self.now_s)
        if report.state == "checkpointed":
            return record.transition(CHECKPOINTED, task=None, saved=True)
        reason = f"task {task.id} {report.state} on worker {task.worker}"
        if report.state == "failed":
            self.state.failures.record_failure(task.worker, spec.id, spec.team)
            tried = dict.fromkeys((*record.failed_on, task.worker))
            record = record._replace(failed_on=tuple(tried)[-MAX_FAILED_ON:])
            if self.is_bad_job(record):
                self.state.failures.discard_job(spec.id)
                self.metrics.incr("placer.bad_jobs")
                names = ", ".join(record.failed_on)
                return self.fail(record, f"failed on workers {names}")
        return self.resolve_interrupted(record, reason)

    def is_bad_job(self, record: JobRecord) -> bool:
        """Return whether a job failed on several workers that are good."""
        failures = self.state.failures
        suspects = self.seen.quarantined_workers() | {
            each for each in failures.by_worker if failures.is_bad_worker(each)
        }
        return failures.is_bad_job(record.failed_on, suspects)
