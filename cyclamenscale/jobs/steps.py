"""Steps and tasks of a job: which are waiting, running and done.

Pure: no I/O, and times are passed in.
"""

from typing import TYPE_CHECKING

from cyclamenscale.jobs.model import Step, StepProgress, task_name

if TYPE_CHECKING:
    from cyclamenscale.jobs.job import Job
    from cyclamenscale.jobs.worker import Run

#: Estimated duration of a task whose step has no estimate.
DEFAULT_ESTIMATE_MS = 500.0

#: Number of durations of finished runs that a step keeps.
DURATIONS_LIMIT = 15


class Task:
    """One task of a step.

    :ivar failed_runs: numbers of the runs that failed; a set, since the
        same end may be reported twice.
    :ivar runs: runs that are, or may be, on workers.
    :ivar checkpoint: latest saved checkpoint, or empty.
    :ivar avoided_workers: ids of workers on which it failed or was slow.
    :ivar moves: number of times it was moved off a slow worker.
    """

    __slots__ = (
        "avoided_workers",
        "checkpoint",
        "done",
        "failed_runs",
        "index",
        "moves",
        "name",
        "runs",
        "step",
    )

    def __init__(self, step: "StepState", index: int):
        """Initialise with no runs."""
        self.step = step
        self.index = index
        job = step.job.record.id
        self.name = task_name(job, step.occurrence, step.number, index)
        self.failed_runs: set[int] = set()
        self.runs: list[Run] = []
        self.checkpoint = ""
        self.done = False
        self.avoided_workers: set[str] = set()
        self.moves = 0

    @property
    def job(self) -> "Job":
        """Return the job that the task belongs to."""
        return self.step.job


class StepState:
    """The state of one step in one occurrence of a job.

    :ivar waiting: tasks that have no run and are not done.
    :ivar remaining: number of tasks that are not done.
    :ivar durations_s: durations of the latest successful runs.
    """

    __slots__ = (
        "durations_s",
        "job",
        "number",
        "occurrence",
        "remaining",
        "spec",
        "tasks",
        "waiting",
    )

    def __init__(self, job: "Job", occurrence: int, number: int, spec: Step):
        """Initialise with all tasks waiting."""
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec = spec
        self.tasks = [Task(self, index) for index in range(spec.count)]
        self.waiting = list(self.tasks)
        self.remaining = spec.count
        self.durations_s: list[float] = []

    @property
    def done(self) -> bool:
        """Return whether all tasks are done."""
        return not self.remaining

    @property
    def estimate_s(self) -> float:
        """Return the estimated duration of a task."""
        return (self.spec.estimate_ms or DEFAULT_ESTIMATE_MS) / 1000

    def record_duration(self, duration_s: float) -> None:
        """Record the duration of a successful run."""
        self.durations_s.append(duration_s)
        del self.durations_s[:-DURATIONS_LIMIT]

    def count_unavailable(self) -> int:
        """Return the number of tasks not known to be serving."""
        return sum(not any(r.serving for r in t.runs) for t in self.tasks)


class Occurrence:
    """One occurrence of a job.

    :ivar number: its number, from 0.
    :ivar opened_s: when it became due, on this coordinator's clock.
    """

    __slots__ = ("number", "opened_s", "steps")

    def __init__(self, job: "Job", number: int, opened_s: float):
        """Create the states of all steps."""
        self.number = number
        self.opened_s = opened_s
        self.steps = [
            StepState(job, number, index, spec)
            for index, spec in enumerate(job.record.spec.steps)
        ]

    @property
    def done(self) -> bool:
        """Return whether all steps are done."""
        return all(step.done for step in self.steps)

    def open_steps(self) -> list[StepState]:
        """Return the steps that may run now and have waiting tasks."""
        return [
            step
            for step in self.steps
            if step.waiting
            and all(self.steps[n].done for n in step.spec.depends_on)
        ]


def restore_step(step: StepState, stored: StepProgress) -> None:
    """Restore stored progress into a newly created step."""
    for index, runs in stored.failures:
        step.tasks[index].failed_runs = set(runs)
    for index, checkpoint in stored.checkpoints:
        step.tasks[index].checkpoint = checkpoint
    for task in step.tasks:
        if stored.done >> task.index & 1:
            task.done = True
            step.remaining -= 1
    step.waiting = [task for task in step.tasks if not task.done]


def step_progress(step: StepState) -> StepProgress:
    """Return the progress of a step in the form that is stored."""
    done = 0
    for task in step.tasks:
        if task.done:
            done |= 1 << task.index
    return StepProgress(
        done,
        tuple(
            (task.index, tuple(sorted(task.failed_runs)))
            for task in step.tasks
            if task.failed_runs and not task.done
        ),
        tuple(
            (task.index, task.checkpoint)
            for task in step.tasks
            if task.checkpoint and not task.done
        ),
    )


def estimate_critical_path_ms(steps: tuple[Step, ...]) -> float:
    """Return the estimated duration of the critical path of the steps.

    :raises IndexError: if a step depends on a later one.
    """
    ends: list[float] = []
    for step in steps:
        start_ms = max((ends[n] for n in step.depends_on), default=0.0)
        ends.append(start_ms + (step.estimate_ms or DEFAULT_ESTIMATE_MS))
    return max(ends, default=0.0)
