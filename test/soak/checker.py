"""Checks the promises of the job entries from what callers and workers see.

Each violation begins with the name of its rule on the users' pages. Rules
with a time bound are checked only after all faults have ended.
"""

from collections import Counter, defaultdict
from threading import RLock
from typing import NamedTuple

from cyclamenscale.util.clock import Clock

#: Time after the last fault from which bounds hold, ``stability-ms``.
STABILITY_S = 3.0

#: Bounds of the users' pages: ``cancel_ms``, ``stop-ms``, ``visible_ms``.
CANCEL_S = 3.0
STOP_S = 0.2
VISIBLE_S = 3.0

#: Time after the last fault until work goes on, ``recovery-s``.
RECOVERY_S = 12.0

#: Time after that until accepted jobs have ended, ``finish_s``.
FINISH_S = 14.0

#: Time for which a job may have nothing running in calm while under half of
#: its pool is in use.
STILL_S = 3.0

#: Time after which a task that lasts runs again.
LASTING_AWAY_S = 6.0

#: Longest time between two checks that see what happens between them.
STILL_GAP_S = 0.3

#: A copy may start until this long after an end was acknowledged.
COPY_SLACK_S = 1.0

#: Statuses which promise that a job is not stored and never runs.
REJECTED = (404, 429, 503)


class StepPlan(NamedTuple):
    """A step of a submitted job and how its tasks behave.

    :ivar run_ms: how long a run takes until its end.
    :ivar failures: number of first runs of each task that fail.
    :ivar label: label that its workers need.
    :ivar max_away: number of its tasks that may be interrupted at once, 0
        for any.
    """

    count: int = 1
    cpu: int = 500
    after: tuple[int, ...] = ()
    run_ms: int = 100
    failures: int = 0
    copies: bool = False
    lasts: bool = False
    label: str = ""
    max_away: int = 0


class JobPlan(NamedTuple):
    """A submitted job.

    :ivar attempts: failed runs of a task after which the job has failed.
    """

    id: str
    pool: str
    attempts: int
    steps: tuple[StepPlan, ...]

    @property
    def hopeless(self) -> bool:
        """Return whether no worker has the labels that it needs."""
        return any(step.label for step in self.steps)

    def tasks(self) -> list[str]:
        """Return the names of all tasks."""
        return [
            f"{self.id}.0.{step}.{index}"
            for step, plan in enumerate(self.steps)
            for index in range(plan.count)
        ]


class CallerView:
    """What callers have been told about a job.

    :ivar statuses: response to each attempt to submit it, 0 for none.
    :ivar cancel_sent: whether its cancellation was requested.
    :ivar cancelled_s: when the cancellation was acknowledged.
    """

    def __init__(self, plan: JobPlan):
        self.plan = plan
        self.statuses: list[int] = []
        self.accepted_s: float | None = None
        self.cancel_sent = False
        self.cancelled_s: float | None = None
        self.completed_s: float | None = None
        self.started = False

    @property
    def accepted(self) -> bool:
        """Return whether its submission was acknowledged."""
        return self.accepted_s is not None


class UnacknowledgedEnd(NamedTuple):
    """An end that its worker still lists."""

    number: int
    task: str
    outcome: str
    ended_s: float


class Checker:
    """Receives what callers and workers see and collects violations.

    :param clock: time in seconds.
    :ivar lock: orders the events of all workers and callers.
    :ivar calm_s: when the last fault ended, None during faults.
    """

    def __init__(self, clock: Clock):
        """Initialise with no jobs."""
        self.clock = clock
        self.lock = RLock()
        self.violations: list[str] = []
        self.jobs: dict[str, CallerView] = {}
        self.calm_s: float | None = None
        #: Life of the worker of each run in progress, by task.
        self.running: dict[str, list[str]] = defaultdict(list)
        self.starts_s: dict[str, list[float]] = defaultdict(list)
        self.done: set[str] = set()
        self.done_noted_s: dict[str, float] = {}
        #: When each job last had something running, or had to wait.
        self.still_since_s: dict[str, float] = {}
        #: When a run of each task last ended.
        self.stopped_s: dict[str, float] = {}
        #: When the jobs of each pool were last checked for that.
        self.still_checked_s: dict[str, float] = {}
        self.failures: Counter[str] = Counter()
        self.failures_noted_s: dict[str, list[float]] = defaultdict(list)
        self.unacknowledged: dict[str, list[UnacknowledgedEnd]] = defaultdict(
            list
        )

    def report(self, rule: str, text: str) -> None:
        """Record a violation once."""
        line = f"{rule}: {text}"
        if line not in self.violations:
            self.violations.append(line)

    def settled(self, bound_s: float, since_s: float = 0.0) -> bool:
        """Return whether a bound that runs in calm has passed."""
        if self.calm_s is None:
            return False
        return self.clock() > max(self.calm_s + STABILITY_S, since_s) + bound_s

    def plan_of(self, task: str) -> tuple[CallerView | None, StepPlan | None]:
        """Return the job and the step of a task."""
        job, _, step, _ = task.split(".")
        view = self.jobs.get(job)
        return (view, view.plan.steps[int(step)]) if view else (None, None)

    # What callers see.

    def record_attempt(self, plan: JobPlan) -> None:
        """Record that a job is about to be submitted."""
        with self.lock:
            self.jobs.setdefault(plan.id, CallerView(plan))

    def record_response(self, job: str, status: int) -> None:
        """Record the response to a submission, 0 for none."""
        with self.lock:
            view = self.jobs[job]
            view.statuses.append(status)
            if 200 <= status < 300 and not view.accepted:
                view.accepted_s = self.clock()
            elif status == 400:
                self.report("REFUSED", f"{job} is malformed")

    def record_cancel(self, job: str, status: int | None = None) -> None:
        """Record a cancellation that is sent, or the response to it."""
        with self.lock:
            view = self.jobs[job]
            view.cancel_sent = True
            if status and 200 <= status < 300 and view.cancelled_s is None:
                view.cancelled_s = self.clock()

    def record_state(self, job: str, status: int, state: str) -> None:
        """Record a job's state as shown to a caller."""
        with self.lock:
            view = self.jobs[job]
            if status == 410 and view.accepted and not view.cancel_sent:
                if self.settled(0.0, view.accepted_s + VISIBLE_S):
                    self.report("LOST", f"{job} is not known")
            if status != 200:
                return
            tasks = view.plan.tasks()
            if state == "completed":
                view.completed_s = view.completed_s or self.clock()
                missing = [task for task in tasks if task not in self.done]
                if missing:
                    self.report("MIXED", f"{job} completed without {missing}")
            if state == "cancelled" and not view.cancel_sent:
                self.report("LOST", f"{job} is shown as cancelled")
            worst = max(self.failures[task] for task in tasks)
            if state == "failed" and worst < view.plan.attempts:
                self.report("LOST", f"{job} failed after {worst} failures")

    # What workers see.

    def record_start(
        self, life: str, pool: str, task: str, fits: bool = True
    ) -> None:
        """Record a start that a worker carries out.

        :param life: the worker's incarnation.
        :param fits: whether the worker has the capacity for it.
        """
        with self.lock:
            now_s = self.clock()
            where = f"{task} at {life}"
            view, step = self.plan_of(task)
            if not view:
                self.report("UNASKED", f"{where} was never submitted")
                return
            view.started = True
            if pool != view.plan.pool:
                self.report("ROUTE", f"{where} in {pool}")
            if not fits:
                self.report("LIMIT", f"{where} is over its capacity")
            if not step.copies:
                self.check_repeated(task, life)
            elif task in self.done_noted_s or view.completed_s:
                done_s = self.done_noted_s.get(task, view.completed_s)
                if self.settled(0.0, done_s + COPY_SLACK_S):
                    self.report("TWICE", f"{where}, a copy after the end")
            for before in step.after:
                if not self.done.issuperset(
                    f"{view.plan.id}.0.{before}.{index}"
                    for index in range(view.plan.steps[before].count)
                ):
                    self.report("ORDER", f"{where} before step {before}")
            if view.cancelled_s and self.settled(CANCEL_S, view.cancelled_s):
                self.report("UNASKED", f"{where} after its cancellation")
            self.running[task].append(life)
            self.starts_s[task].append(now_s)

    def check_repeated(self, task: str, life: str) -> None:
        """Check that a task without copies may start."""
        view, step = self.plan_of(task)
        if self.running[task]:
            others = self.running[task]
            self.report("TWICE", f"{task} at {life} beside {others}")
        if task in self.done_noted_s:
            self.report("TWICE", f"{task} at {life} after its end")
        if len(self.failures_noted_s[task]) >= view.plan.attempts:
            if not step.lasts:
                self.report("BUDGET", f"{task} at {life}")

    def record_end(
        self, life: str, number: int, task: str, outcome: str
    ) -> None:
        """Record the end of a run."""
        with self.lock:
            self.running[task].remove(life)
            self.stopped_s[task] = self.clock()
            self.unacknowledged[life].append(
                UnacknowledgedEnd(number, task, outcome, self.clock())
            )
            if outcome == "done":
                self.done.add(task)
            if outcome == "failed":
                self.failures[task] += 1

    def record_acknowledged(self, life: str, up_to: int) -> None:
        """Record that ends up to a number were taken note of."""
        with self.lock:
            listed = self.unacknowledged[life]
            self.unacknowledged[life] = [e for e in listed if e.number > up_to]
            for end in listed:
                if end.number <= up_to:
                    self.note_end(end)

    def note_end(self, end: UnacknowledgedEnd) -> None:
        """Check starts between an end and its acknowledgement."""
        view, step = self.plan_of(end.task)
        last_start_s = max(self.starts_s[end.task], default=0.0)
        if not view:
            return
        if end.outcome == "done":
            self.done_noted_s.setdefault(end.task, self.clock())
            if last_start_s > end.ended_s and not step.copies:
                self.report("TWICE", f"{end.task} starts after its end")
        if end.outcome == "failed" and not step.lasts:
            noted_s = self.failures_noted_s[end.task]
            noted_s.append(end.ended_s)
            attempts = view.plan.attempts
            if len(noted_s) >= attempts and not step.copies:
                if last_start_s > sorted(noted_s)[attempts - 1]:
                    self.report("BUDGET", f"{end.task} after its last end")

    def record_lapse(self, life: str) -> None:
        """Record that a worker's lease expired; its ends never count."""
        with self.lock:
            self.unacknowledged[life] = []

    def record_crash(self, life: str) -> None:
        """Record that a worker's incarnation ended, and all its runs."""
        with self.lock:
            self.unacknowledged.pop(life, None)
            for task, lives in self.running.items():
                while life in lives:
                    lives.remove(life)
                    self.stopped_s[task] = self.clock()

    # After the faults.

    def check_cancelled(self) -> None:
        """Check that no task of a cancelled job runs on."""
        with self.lock:
            for task, lives in self.running.items():
                view, _ = self.plan_of(task)
                if not lives or not view or view.cancelled_s is None:
                    continue
                if self.settled(CANCEL_S + STOP_S, view.cancelled_s):
                    self.report("UNASKED", f"{task} runs on at {lives}")

    def check_interrupted(self, life: str) -> None:
        """Check that a worker may be taken down with what runs on it."""
        with self.lock:
            for task, lives in list(self.running.items()):
                view, step = self.plan_of(task)
                if life not in lives or not step or not step.max_away:
                    continue
                if view.cancel_sent:
                    continue
                prefix = task.rpartition(".")[0]
                away = sum(
                    not self.running[f"{prefix}.{index}"]
                    for index in range(step.count)
                )
                if away >= step.max_away:
                    self.report("AVAIL", f"{task} at {life}, {away} away")

    def check_lasting(self) -> None:
        """Check that accepted tasks that last are running.

        One that was interrupted may take some seconds to run elsewhere.
        """
        with self.lock:
            now_s = self.clock()
            for view in self.jobs.values():
                if not view.accepted or view.cancel_sent:
                    continue
                if view.plan.hopeless:
                    continue
                for task in view.plan.tasks():
                    _, step = self.plan_of(task)
                    away_s = now_s - self.stopped_s.get(task, 0.0)
                    if step.lasts and not self.running[task]:
                        if away_s > LASTING_AWAY_S:
                            self.report("LOST", f"{task} does not run")

    def check_still(self, pool: str, used_share: float) -> None:
        """Check that accepted jobs of a pool have something running.

        Call it often: what happens between two calls that are far apart is
        not known, and the time before counts for nothing then.

        :param used_share: share of the pool's processors that is in use.
        """
        if self.calm_s is None:
            return
        with self.lock:
            now_s = self.clock()
            gap_s = now_s - self.still_checked_s.get(pool, now_s)
            self.still_checked_s[pool] = now_s
            for job in self.open_jobs():
                view = self.jobs[job]
                if view.plan.pool != pool:
                    continue
                if self.done.issuperset(view.plan.tasks()):
                    # It has run; its caller has not been told yet.
                    continue
                works = any(map(self.running.get, view.plan.tasks()))
                if works or used_share >= 0.5 or gap_s > STILL_GAP_S:
                    self.still_since_s[job] = now_s
                since_s = self.still_since_s.setdefault(job, now_s)
                if self.settled(STILL_S, since_s):
                    self.report("LOST", f"{job} has nothing running")

    def check_rejected(self) -> None:
        """Check that no job ran whose every attempt was rejected."""
        with self.lock:
            for job, view in self.jobs.items():
                answers = view.statuses
                if view.started and answers and set(answers) <= set(REJECTED):
                    self.report("REFUSED", f"{job} runs after {answers}")

    def open_jobs(self) -> list[str]:
        """Return accepted jobs that should end and were not shown ended."""
        with self.lock:
            return [
                job
                for job, view in self.jobs.items()
                if view.accepted
                and not view.completed_s
                and not view.cancel_sent
                and not view.plan.hopeless
                and not any(step.lasts for step in view.plan.steps)
                and not any(
                    self.failures[task] >= view.plan.attempts
                    for task in view.plan.tasks()
                )
            ]
