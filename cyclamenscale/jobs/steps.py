"""Steps and tasks of a job: what is open, done and running.

Pure: no input or output, and times are given.
"""

from typing import TYPE_CHECKING

from cyclamenscale.jobs.model import Step, StepProgress, task_name

if TYPE_CHECKING:
    from cyclamenscale.jobs.job import Job
    from cyclamenscale.jobs.worker import Run

#: A task whose estimate is missing counts as this long.
ESTIMATE_DEFAULT_MS = 500.0

#: Times of ended runs of a step that are kept.
RAN_LIMIT = 15


class Task:
    """One task.

    :ivar failed_runs: numbers of the runs that ended failed; an end may be
        told twice.
    :ivar runs: runs that are, or may be, on workers.
    :ivar checkpoint: last progress saved, or empty.
    :ivar avoid: workers on which it failed.
    :ivar moves: how often it was moved off a slow worker.
    """

    __slots__ = (
        "avoid",
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
        """Start without runs."""
        self.step = step
        self.index = index
        job = step.job.record.id
        self.name = task_name(job, step.occurrence, step.number, index)
        self.failed_runs: set[int] = set()
        self.runs: list[Run] = []
        self.checkpoint = ""
        self.done = False
        self.avoid: set[str] = set()
        self.moves = 0

    @property
    def job(self) -> "Job":
        """Return the task's job."""
        return self.step.job


class StepState:
    """One step of one occurrence.

    :ivar waiting: tasks that have no run and are not done.
    :ivar left: tasks that are not done.
    :ivar ran_s: times of the latest runs that were done.
    """

    __slots__ = (
        "job",
        "left",
        "number",
        "occurrence",
        "ran_s",
        "spec",
        "tasks",
        "waiting",
    )

    def __init__(self, job: "Job", occurrence: int, number: int, spec: Step):
        """Start with all tasks waiting."""
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec = spec
        self.tasks = [Task(self, index) for index in range(spec.count)]
        self.waiting = list(self.tasks)
        self.left = spec.count
        self.ran_s: list[float] = []

    @property
    def done(self) -> bool:
        """Return whether all tasks are done."""
        return not self.left

    @property
    def estimate_s(self) -> float:
        """Return the estimated time of a task."""
        return (self.spec.estimate_ms or ESTIMATE_DEFAULT_MS) / 1000

    def note_ran(self, ran_s: float) -> None:
        """Note how long a run took that was done."""
        self.ran_s.append(ran_s)
        del self.ran_s[:-RAN_LIMIT]

    def away(self) -> int:
        """Return how many tasks are not known to be at work."""
        return sum(not any(r.at_work for r in t.runs) for t in self.tasks)


class Occurrence:
    """One occurrence of a job.

    :ivar number: its number, from 0.
    :ivar opened_s: when it became due, as this coordinator saw it.
    """

    __slots__ = ("number", "opened_s", "steps")

    def __init__(self, job: "Job", number: int, opened_s: float):
        """Make the states of all steps."""
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
    """Put stored progress into a fresh step."""
    for index, runs in stored.failures:
        step.tasks[index].failed_runs = set(runs)
    for index, checkpoint in stored.checkpoints:
        step.tasks[index].checkpoint = checkpoint
    for task in step.tasks:
        if stored.done >> task.index & 1:
            task.done = True
            step.left -= 1
    step.waiting = [task for task in step.tasks if not task.done]


def step_progress(step: StepState) -> StepProgress:
    """Return the progress of a step to store."""
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


def longest_chain_ms(steps: tuple[Step, ...]) -> float:
    """Return the longest chain of estimated task times.

    :raises IndexError: if a step is after a later one.
    """
    ends: list[float] = []
    for step in steps:
        before = max((ends[n] for n in step.depends_on), default=0.0)
        ends.append(before + (step.estimate_ms or ESTIMATE_DEFAULT_MS))
    return max(ends, default=0.0)
