"""Follows the tasks of a pool: what reports and answers mean for records."""

from cyclamenscale.fleet.ports import TaskReport
from cyclamenscale.metrics import Metrics
from cyclamenscale.placing.job_records import (
    CHECKPOINTED,
    CLAIMED,
    DONE,
    ENDED,
    FAILED,
    FAILED_ON_LIMIT,
    PLACED,
    QUEUED,
    RUNNING,
    JobRecord,
    TaskRecord,
)
from cyclamenscale.placing.jobs import Change
from cyclamenscale.placing.placer_state import PoolState, Seen
from cyclamenscale.placing.task_actions import STARTED, TaskActions


class TaskFollower:
    """Decides what becomes of the jobs that have a task.

    :param actions: starts and stops tasks.
    :param state: what is remembered of the pool.
    :param metrics: counters.
    :param seen: what this tick has read.
    """

    def __init__(
        self,
        actions: TaskActions,
        state: PoolState,
        metrics: Metrics,
        seen: Seen,
    ):
        """Keep the parts."""
        self.actions = actions
        self.state = state
        self.settings = state.settings
        self.metrics = metrics
        self.seen = seen
        self.now_s = seen.now_s

    def changes(self) -> list[Change]:
        """Follow all records, starting and stopping what they ask for.

        :returns: changes of the records, to be written.
        """
        reported = self.seen.tasks()
        changes = []
        for job in self.seen.jobs.jobs.values():
            record = job.record
            if record.task is None:
                age_s = self.now_s - record.ended_s
                if record.state in ENDED and age_s > self.settings.retention_s:
                    changes.append(Change(job, None))
                continue
            after = self.follow(record, reported.get(record.task.id))
            if after != record:
                changes.append(Change(job, after))
        return changes

    def follow(
        self, record: JobRecord, report: TaskReport | None
    ) -> JobRecord:
        """Return the record of a job with a task as it should be now."""
        task = record.task
        if record.state not in PLACED:
            stopped = self.actions.stop(task.id, task.worker)
            if stopped or self.is_lost(task, report):
                return record._replace(task=None)
            return record
        if report is not None and report.state != "running":
            return self.end(record, report)
        if task.id in self.state.stopped:
            return self.gone(record, f"task {task.id} was stopped")
        if record.state == CLAIMED:
            return self.claimed(record, report)
        if self.is_lost(task, report):
            return self.lost(record)
        if self.should_leave(record):
            self.actions.checkpoint(task.id, task.worker)
        return record

    def should_leave(self, record: JobRecord) -> bool:
        """Return whether a task should be saved and moved elsewhere."""
        return (
            record.spec.can_checkpoint
            and not record.spec.at_most_once
            and not self.seen.may_start(record.task.worker)
        )

    def claimed(
        self, record: JobRecord, report: TaskReport | None
    ) -> JobRecord:
        """Follow a task whose start is not recorded yet."""
        task = record.task
        if report is not None or task.id in self.state.started:
            return record.to(RUNNING)
        answer = self.actions.start(record)
        if answer == STARTED:
            return record.to(RUNNING)
        # The stop refuses a start that was delayed on its way; until it is
        # confirmed the job is not placed elsewhere.
        if answer and self.actions.stop(task.id, task.worker):
            reason = f"worker {task.worker} refused: {answer}"
            if answer == "stopped":
                return self.gone(record, reason)
            return self.again(record, reason)
        if self.is_lost(task, report):
            return self.lost(record)
        return record

    def again(self, record: JobRecord, reason: str) -> JobRecord:
        """Return a job to the queue, or to its checkpoint."""
        state = CHECKPOINTED if record.saved else QUEUED
        return record.to(state, task=None, reason=reason)

    def gone(self, record: JobRecord, reason: str) -> JobRecord:
        """Return the record of a job whose task started but runs no more."""
        if record.spec.at_most_once:
            return self.failed(record, reason)
        return self.again(record, reason)

    def failed(self, record: JobRecord, reason: str) -> JobRecord:
        """Return the record of a job that is not tried again."""
        return record.to(FAILED, task=None, reason=reason, ended_s=self.now_s)

    def is_lost(self, task: TaskRecord, report: TaskReport | None) -> bool:
        """Return whether a task has been missing for too long."""
        missing_s = self.state.missing_s
        if report is not None:
            missing_s.pop(task.id, None)
            return False
        since_s = missing_s.setdefault(task.id, self.now_s)
        return self.now_s - since_s >= self.settings.lost_s

    def lost(self, record: JobRecord) -> JobRecord:
        """Return the record of a job whose task is not reported."""
        self.metrics.incr("placer.lost")
        self.actions.stop(record.task.id, record.task.worker)
        return self.gone(record, f"no report of task {record.task.id}")

    def end(self, record: JobRecord, report: TaskReport) -> JobRecord:
        """Return the record of a job whose task has ended."""
        spec, task = record.spec, record.task
        if report.state == "done":
            return record.to(DONE, task=None, ended_s=self.now_s)
        if report.state == "checkpointed":
            return record.to(CHECKPOINTED, task=None, saved=True)
        reason = f"task {task.id} {report.state} on worker {task.worker}"
        if report.state == "failed":
            self.state.failures.add(task.worker, spec.id, spec.team)
            tried = dict.fromkeys((*record.failed_on, task.worker))
            record = record._replace(failed_on=tuple(tried)[-FAILED_ON_LIMIT:])
            if self.is_bad(record):
                self.state.failures.forget_job(spec.id)
                self.metrics.incr("placer.bad_jobs")
                names = ", ".join(record.failed_on)
                return self.failed(record, f"failed on workers {names}")
        return self.gone(record, reason)

    def is_bad(self, record: JobRecord) -> bool:
        """Return whether a job failed on several workers that are good."""
        failures = self.state.failures
        suspects = self.seen.quarantined() | {
            each for each in failures.failed if failures.is_bad_worker(each)
        }
        return failures.is_bad_job(record.failed_on, suspects)
