"""A job in the coordinator's memory: its state and its occurrences.

Pure: no I/O, and the time is a parameter.
"""

from cyclamenscale.jobs.model import (
    CANCELLED,
    DONE,
    END_DONE,
    END_FAILED,
    FAILED,
    FINAL_STATES,
    QUEUED,
    RUNNING,
    JobRecord,
    ProgressRecord,
    Queue,
)
from cyclamenscale.jobs.steps import (
    DEFAULT_ESTIMATE_MS,
    Occurrence,
    StepState,
    Task,
    estimate_critical_path_ms,
    restore_step,
    step_progress,
)

#: Added to the stored highest run number after a takeover, since runs whose
#: start was not stored may have higher numbers.
TAKEOVER_RUN_GAP = 64

#: A job is of use to its caller for this many times its objective.
USELESS_FACTOR = 3


class Job:
    """A job with its progress.

    :param record: the job as stored.
    :param queue: current configuration of its queue.
    :param accepted_s: time of acceptance on this coordinator's clock.
    """

    def __init__(self, record: JobRecord, queue: Queue, accepted_s: float):
        """Initialise with no progress."""
        self.record = record
        self.queue = queue
        self.accepted_s = accepted_s
        self.state = QUEUED
        self.cancelled = False
        self.highest_run = 0
        self.first_unfinished = 0
        self.finished_out_of_order: set[int] = set()
        self.occurrences: dict[int, Occurrence] = {}
        self.stored = ProgressRecord()
        self.stored_revision = 0
        self.dirty = False
        #: Whether other jobs can be done in time only if this one is late.
        self.deferred = False
        #: Whether the job was added while the lease was not confirmed. A
        #: coordinator that has taken over meanwhile may treat it as new.
        self.needs_confirmed_lease = False
        #: Until when a worker that was not polled yet may have a run of the
        #: job, 0 if the job was accepted in this term.
        self.unpolled_until_s = 0.0
        self.critical_path_ms = estimate_critical_path_ms(record.spec.steps)
        #: Estimated processor seconds of one occurrence.
        self.estimated_work = sum(
            step.count * step.need.processors * step.estimate_ms / 1000
            for step in record.spec.steps
        )
        recurrence = record.spec.recurrence
        self.occurrence_count = recurrence.count if recurrence else 1
        if not recurrence:
            self.occurrences[0] = Occurrence(self, 0, accepted_s)

    @property
    def long_running(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.long_running for step in self.record.spec.steps)

    @property
    def objective_s(self) -> float:
        """Return the time within which the job should be done."""
        critical_path_ms = self.critical_path_ms * self.queue.stretch
        return (critical_path_ms + self.queue.target_ms) / 1000

    @property
    def due_s(self) -> float:
        """Return when the earliest open occurrence should be done."""
        opened_s = min(
            (found.opened_s for found in self.occurrences.values()),
            default=self.accepted_s,
        )
        return opened_s + self.objective_s

    @property
    def useless_s(self) -> float:
        """Return when the job has taken so long that nobody waits for it."""
        return self.due_s + (USELESS_FACTOR - 1) * self.objective_s

    @property
    def ended(self) -> bool:
        """Return whether no further task of the job may start."""
        return self.cancelled or self.state in FINAL_STATES

    def restore(
        self, record: ProgressRecord, revision: int, now_s: float
    ) -> None:
        """Load stored progress after a change of coordinator."""
        self.stored = record
        self.stored_revision = revision
        self.state = record.state
        self.highest_run = record.highest_run + TAKEOVER_RUN_GAP
        self.first_unfinished = record.first_unfinished
        self.finished_out_of_order = set(record.finished_out_of_order)
        recurring = bool(self.record.spec.recurrence)
        if recurring or self.first_unfinished:
            self.occurrences.clear()
        for number, steps in record.occurrences:
            opened_s = now_s if recurring else self.accepted_s
            occurrence = Occurrence(self, number, opened_s)
            self.occurrences[number] = occurrence
            for step, stored in zip(occurrence.steps, steps, strict=True):
                restore_step(step, stored)

    def due_ms(self, number: int) -> int:
        """Return the wall-clock time when an occurrence is due."""
        recurrence = self.record.spec.recurrence
        return recurrence.first_ms + number * recurrence.interval_ms

    def open_due_occurrences(self, wall_ms: float, now_s: float) -> None:
        """Open the occurrences that are due.

        :param wall_ms: current wall-clock time.
        :param now_s: current time of the coordinator's clock.
        """
        recurrence = self.record.spec.recurrence
        if not recurrence or self.ended:
            return
        for number in range(self.first_unfinished, recurrence.count):
            if self.due_ms(number) > wall_ms:
                return
            is_open = number in self.occurrences
            if not is_open and number not in self.finished_out_of_order:
                self.occurrences[number] = Occurrence(self, number, now_s)

    def open_started_occurrence(self, number: int, now_s: float) -> None:
        """Open an occurrence that another coordinator has found due.

        Wall clocks of entries differ and may jump.
        """
        recurrence = self.record.spec.recurrence
        if not recurrence or self.ended or number in self.occurrences:
            return
        finished = (
            number < self.first_unfinished
            or number in self.finished_out_of_order
        )
        if not finished and number < recurrence.count:
            self.occurrences[number] = Occurrence(self, number, now_s)

    def open_steps(self) -> list[StepState]:
        """Return the steps that may run now, of all open occurrences."""
        if self.ended:
            return []
        return [
            step
            for occurrence in self.occurrences.values()
            for step in occurrence.open_steps()
        ]

    def remaining_ms(self) -> float:
        """Return the estimated critical path of the unfinished steps."""
        longest = 0.0
        for occurrence in self.occurrences.values():
            ends: list[float] = []
            for step in occurrence.steps:
                before = max(
                    (ends[n] for n in step.spec.depends_on), default=0.0
                )
                own_ms = step.spec.estimate_ms or DEFAULT_ESTIMATE_MS
                ends.append(before + (0.0 if step.done else own_ms))
            longest = max(longest, *ends)
        return longest

    def tasks(self) -> list[Task]:
        """Return all tasks of the open occurrences."""
        return [
            task
            for occurrence in self.occurrences.values()
            for step in occurrence.steps
            for task in step.tasks
        ]

    def find_task(self, occurrence: int, step: int, index: int) -> Task | None:
        """Return a task of an open occurrence."""
        found = self.occurrences.get(occurrence)
        if not found or step >= len(found.steps):
            return None
        tasks = found.steps[step].tasks
        return tasks[index] if index < len(tasks) else None

    def next_run_number(self) -> int:
        """Assign a run number that is higher than all before."""
        self.highest_run += 1
        return self.highest_run

    def mark_start_sent(self) -> None:
        """Have the highest run number stored; no run may have begun yet."""
        if self.state == QUEUED:
            self.dirty = True

    def mark_running(self) -> bool:
        """Mark the job as running, as a worker has begun one of its tasks.

        :returns: whether it was queued.
        """
        if self.state != QUEUED:
            return False
        self.state = RUNNING
        self.dirty = True
        return True

    def record_end(
        self, task: Task, run: int, outcome: str, checkpoint: str
    ) -> None:
        """Record the end of a run that was already removed from its task.

        :param run: number of the run.
        :param outcome: one of the ways in which a run ends.
        :param checkpoint: last checkpoint, or empty.
        """
        if checkpoint:
            task.checkpoint = checkpoint
        if task.done or self.state in FINAL_STATES:
            return
        long_running = task.step.spec.long_running
        if outcome == END_DONE and not long_running:
            self.mark_done(task)
            if task.step.spec.gang:
                # The tasks of a gang end together, so one end applies to all.
                for member in task.step.tasks:
                    if not member.done:
                        self.mark_done(member)
        elif outcome == END_FAILED:
            self.record_failure(task, run)
        if not task.done and not task.runs:
            self.requeue(task)

    def record_failure(self, task: Task, run: int) -> None:
        """Count a failed run; long-running tasks have no limit."""
        if task.step.spec.long_running:
            return
        task.failed_runs.add(run)
        self.dirty = True
        failed = task.failed_runs
        if task.step.spec.gang:
            # Failed runs of all tasks count, since a gang fails as a whole.
            failed = set().union(*(t.failed_runs for t in task.step.tasks))
        if len(failed) >= self.queue.attempts:
            self.state = FAILED

    def requeue(self, task: Task) -> None:
        """Add a task to the waiting tasks of its step."""
        if task not in task.step.waiting:
            task.step.waiting.append(task)

    def mark_done(self, task: Task) -> None:
        """Mark a task as done, and its occurrence and job if complete."""
        step = task.step
        task.done = True
        step.remaining -= 1
        if task in step.waiting:
            step.waiting.remove(task)
        self.dirty = True
        occurrence = self.occurrences[step.occurrence]
        if not occurrence.done:
            return
        del self.occurrences[step.occurrence]
        self.finished_out_of_order.add(step.occurrence)
        while self.first_unfinished in self.finished_out_of_order:
            self.finished_out_of_order.remove(self.first_unfinished)
            self.first_unfinished += 1
        if self.first_unfinished >= self.occurrence_count:
            self.state = DONE

    def cancel(self) -> None:
        """Record the caller's cancellation."""
        if not self.ended:
            self.cancelled = True

    def complete_cancellation(self) -> None:
        """Set the final state of a cancelled job without runs."""
        if self.cancelled and self.state not in FINAL_STATES:
            self.state = CANCELLED
            self.dirty = True

    def progress_record(self) -> ProgressRecord:
        """Return the progress to store."""
        occurrences = ()
        if self.state not in FINAL_STATES:
            occurrences = tuple(
                (number, tuple(map(step_progress, found.steps)))
                for number, found in self.occurrences.items()
            )
        return ProgressRecord(
            self.state,
            self.highest_run,
            occurrences,
            self.first_unfinished,
            tuple(sorted(self.finished_out_of_order)),
        )
