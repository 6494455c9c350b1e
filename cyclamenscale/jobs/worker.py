"""The coordinator's belief about one worker.

A run is dropped only once it is certain that it has ended: the worker
listed its end, the worker answers from a later life, or its hold has run
out on the worker's own clock. Pure: times are given.
"""

from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.model import RunReport, WorkerRecord
from cyclamenscale.jobs.steps import Task

#: A worker's clock may be this much slow (the platform's figure is 2%).
CLOCK_SLOWNESS = 0.97

#: Time for a worker to kill what runs when its hold ends.
LAPSE_MARGIN_S = 0.3

#: Rounding of sums of resources.
EPSILON = 1e-6

#: Time over which the progress of a run is measured. Shares are told in
#: whole percent, and a run of 30 s progresses by two in this time.
RATE_SPAN_S = 0.5

#: Phases of a run.
STARTING = "starting"
DOUBTFUL = "doubtful"
RUNNING = "running"
STOPPING = "stopping"


class Run:
    """A run that is, or may be, on a worker.

    :ivar task: its task, None if the job is unknown or has ended.
    :ivar phase: what was ordered and answered.
    :ivar confirmed_ms: worker's clock when it last showed it, or stopped it.
    :ivar percent: share of the work done, as last shown.
    :ivar rate: percent of its work a second of late, None if not known.
    :ivar mark_percent: share at the beginning of that measurement.
    :ivar mark_s: time of that, 0 before the first report.
    :ivar tries: starts or stops sent without an answer.
    :ivar adopted: whether another term started it, so that its time is not
        known.
    :ivar in_flight: whether an order for it has no answer yet.
    """

    __slots__ = (
        "adopted",
        "confirmed_ms",
        "fills",
        "in_flight",
        "mark_percent",
        "mark_s",
        "name",
        "need",
        "number",
        "paced",
        "percent",
        "phase",
        "rate",
        "started_s",
        "task",
        "tries",
        "usage",
        "worker",
    )

    def __init__(
        self,
        name: str,
        number: int,
        task: Task | None,
        worker: "Worker",
        now_s: float,
    ):
        """Start as ordered but not answered."""
        self.name = name
        self.number = number
        self.task = task
        self.worker = worker
        spec = task.step.spec if task else None
        self.need = spec.need if spec else Resources()
        self.fills = bool(spec and spec.best_effort)
        self.phase = STARTING
        self.started_s = now_s
        self.confirmed_ms = 0
        self.percent = 0.0
        self.rate: float | None = None
        self.mark_percent = 0.0
        self.mark_s = 0.0
        self.usage = 0.0
        self.paced = 100
        self.tries = 0
        self.adopted = False
        self.in_flight = False

    @property
    def at_work(self) -> bool:
        """Return whether a lasting task's run was last shown at work."""
        working = self.phase == RUNNING and self.percent >= 100
        return working and not self.worker.condemned

    @property
    def key(self) -> tuple[str, int]:
        """Return the key of the run on its worker."""
        return self.name, self.number

    def measure(self, now_s: float) -> None:
        """Measure the progress between reports that are far enough apart."""
        span_s = now_s - self.mark_s
        if self.mark_s and span_s < RATE_SPAN_S:
            return
        if self.mark_s:
            self.rate = (self.percent - self.mark_percent) / span_s
        self.mark_percent = self.percent
        self.mark_s = now_s


class Worker:
    """One life of a worker.

    :ivar fence: fencing token that it has confirmed, 0 before that.
    :ivar deadline_ms: latest end of hold that it may have been given.
    :ivar applied: number of the last end that was applied.
    :ivar acknowledged: number of the last end whose effect is stored.
    :ivar listed: whether the registry shows it.
    :ivar registered_s: when it last wrote to the registry in this term.
    :ivar cordoned: reason why nothing may be started on it, or empty.
    :ivar condemned: whether an order that ends its runs may be under way.
    :ivar blocked_until_s: no starts before this time.
    :ivar probe_due_s: when a look that does not wait is made because an
        order had no answer, 0 if none did; no starts until it is answered.
    :ivar reported_ms: worker's clock in the newest report.
    :ivar demerits: failed runs since the last that was done.
    :ivar slow: whether its runs take much longer than elsewhere.
    :ivar slow_since_s: when they last did.
    """

    def __init__(self, entry: WorkerRecord, now_s: float):
        """Start without knowledge of its runs."""
        self.entry = entry
        self.fence = 0
        self.clock_ms = 0
        self.clock_at_s = 0.0
        self.deadline_ms = 0
        self.first_seen_s = now_s
        self.answered_s = -1e9
        self.failed_looks = 0
        self.look_in_flight = False
        self.look_due_s = now_s
        self.probe_due_s = 0.0
        self.probe_in_flight = False
        self.reported_ms = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self.applied = 0
        self.acknowledged = 0
        self.listed = True
        self.registered_s = -1e9
        self.unlisted_s = 0.0
        self.cordoned = ""
        self.condemned = False
        self.blocked_until_s = 0.0
        self.demerits = 0
        self.failed_jobs: set[str] = set()
        self.slow = False
        self.slow_since_s = 0.0
        self.orders_in_flight = 0
        self.used = Resources()
        self.gone = False

    @property
    def id(self) -> str:
        """Return the id of the worker."""
        return self.entry.id

    def now_ms(self, now_s: float) -> float:
        """Return a lower bound of the worker's clock."""
        passed_s = (now_s - self.clock_at_s) * CLOCK_SLOWNESS
        return self.clock_ms + passed_s * 1000

    def note_clock(self, clock_ms: int, now_s: float) -> None:
        """Note the clock in an answer that has just arrived."""
        unknown = not self.clock_ms
        if clock_ms and (unknown or clock_ms >= self.now_ms(now_s)):
            self.clock_ms = clock_ms
            self.clock_at_s = now_s

    def lapse_s(self) -> float:
        """Return when its last hold has certainly run out."""
        left_ms = self.deadline_ms - self.clock_ms
        return (
            self.clock_at_s + left_ms / 1000 / CLOCK_SLOWNESS + LAPSE_MARGIN_S
        )

    def ask_probe(self, now_s: float) -> None:
        """Have a look made at once, beside the one that may be waiting."""
        if not self.probe_due_s:
            self.probe_due_s = now_s

    def add(self, run: Run) -> None:
        """Count a run and its resources."""
        self.runs[run.key] = run
        self.count_used()

    def identify(self, run: Run, task: Task) -> None:
        """Note the task of a run that was not known."""
        run.task = task
        run.need = task.step.spec.need
        run.fills = task.step.spec.best_effort
        self.count_used()

    def remove(self, run: Run) -> None:
        """Drop a run that has certainly ended."""
        self.runs.pop(run.key, None)
        if run.task and run in run.task.runs:
            run.task.runs.remove(run)
        self.count_used()

    def count_used(self) -> None:
        """Add up what the runs use; filling ones count their memory."""
        processors = memory = 0.0
        accelerators = 0
        for run in self.runs.values():
            if not run.fills:
                processors += run.need.processors
            memory += run.need.memory_gb
            accelerators += run.need.accelerators
        self.used = Resources(processors, memory, accelerators)

    def has_room(self, need: Resources, fills: bool) -> bool:
        """Return whether a task fits beside the runs.

        What a run of an unknown job takes is not known, so that nothing
        fits before it has ended.
        """
        if any(run.task is None for run in self.runs.values()):
            return False
        capacity = self.entry.capacity
        used = self.used
        return (
            (
                fills
                or used.processors + need.processors
                <= capacity.processors + EPSILON
            )
            and used.memory_gb + need.memory_gb <= capacity.memory_gb + EPSILON
            and used.accelerators + need.accelerators <= capacity.accelerators
        )

    @property
    def free_share(self) -> float:
        """Return the share of its processors that is not set aside."""
        capacity = self.entry.capacity.processors
        return 1 - self.used.processors / capacity if capacity else 0.0

    def update_run(self, run: Run, shown: RunReport, clock_ms: int, now_s):
        """Note what the worker shows of a run."""
        if run.phase in (STARTING, DOUBTFUL):
            run.phase = RUNNING
        run.confirmed_ms = max(run.confirmed_ms, clock_ms)
        run.percent = shown.percent
        run.measure(now_s)
        run.usage = shown.usage
        if shown.checkpoint and run.task:
            run.task.checkpoint = shown.checkpoint
