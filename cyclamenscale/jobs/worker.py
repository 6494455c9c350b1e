"""The coordinator's belief about one worker.

A run is dropped only once it is certain that it has ended: the worker
listed its end, the worker answers from a later life, or its hold has run
out on the worker's own clock. Pure: times are given.
"""

from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.model import RunReport, WorkerEntry
from cyclamenscale.jobs.steps import Task

#: A worker's clock may be this much slow (the platform's figure is 2%).
MIN_CLOCK_RATE = 0.97

#: Time for a worker to kill what runs when its hold ends.
LEASE_EXPIRY_MARGIN_S = 0.3

#: Rounding of sums of resources.
EPSILON = 1e-6

#: Time over which the progress of a run is measured. Shares are told in
#: whole percent, and a run of 30 s progresses by two in this time.
RATE_INTERVAL_S = 0.5

#: Phases of a run.
STARTING = "starting"
UNCONFIRMED = "doubtful"
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
        self.fills = bool(spec and spec.fills)
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
    def serving(self) -> bool:
        """Return whether a lasting task's run was last shown at work."""
        working = self.phase == RUNNING and self.percent >= 100
        return working and not self.worker.termination_pending

    @property
    def key(self) -> tuple[str, int]:
        """Return the key of the run on its worker."""
        return self.name, self.number

    def update_rate(self, now_s: float) -> None:
        """Measure the progress between reports that are far enough apart."""
        span_s = now_s - self.mark_s
        if self.mark_s and span_s < RATE_INTERVAL_S:
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

    def __init__(self, entry: WorkerEntry, now_s: float):
        """Start without knowledge of its runs."""
        self.entry = entry
        self.fence = 0
        self.clock_ms = 0
        self.clock_received_s = 0.0
        self.lease_deadline_ms = 0
        self.first_seen_s = now_s
        self.last_answer_s = -1e9
        self.failed_polls = 0
        self.poll_in_flight = False
        self.poll_due_s = now_s
        self.immediate_poll_due_s = 0.0
        self.immediate_poll_in_flight = False
        self.reported_ms = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self.last_applied_end = 0
        self.last_acknowledged_end = 0
        self.in_registry = True
        self.registered_s = -1e9
        self.left_registry_s = 0.0
        self.cordon_reason = ""
        self.termination_pending = False
        self.blocked_until_s = 0.0
        self.consecutive_failures = 0
        self.failed_jobs: set[str] = set()
        self.slow = False
        self.slow_since_s = 0.0
        self.orders_in_flight = 0
        self.allocated = Resources()
        self.terminated = False

    @property
    def id(self) -> str:
        """Return the id of the worker."""
        return self.entry.id

    def min_clock_ms(self, now_s: float) -> float:
        """Return a lower bound of the worker's clock."""
        passed_s = (now_s - self.clock_received_s) * MIN_CLOCK_RATE
        return self.clock_ms + passed_s * 1000

    def record_clock(self, clock_ms: int, now_s: float) -> None:
        """Note the clock in an answer that has just arrived."""
        first = not self.clock_ms
        if clock_ms and (first or clock_ms >= self.min_clock_ms(now_s)):
            self.clock_ms = clock_ms
            self.clock_received_s = now_s

    def lease_expiry_s(self) -> float:
        """Return when its last hold has certainly run out."""
        remaining_ms = self.lease_deadline_ms - self.clock_ms
        return (
            self.clock_received_s
            + remaining_ms / 1000 / MIN_CLOCK_RATE
            + LEASE_EXPIRY_MARGIN_S
        )

    def request_immediate_poll(self, now_s: float) -> None:
        """Have a look made at once, beside the one that may be waiting."""
        if not self.immediate_poll_due_s:
            self.immediate_poll_due_s = now_s

    def add_run(self, run: Run) -> None:
        """Count a run and its resources."""
        self.runs[run.key] = run
        self.update_allocated()

    def set_task(self, run: Run, task: Task) -> None:
        """Note the task of a run that was not known."""
        run.task = task
        run.need = task.step.spec.need
        run.fills = task.step.spec.fills
        self.update_allocated()

    def remove_run(self, run: Run) -> None:
        """Drop a run that has certainly ended."""
        self.runs.pop(run.key, None)
        if run.task and run in run.task.runs:
            run.task.runs.remove(run)
        self.update_allocated()

    def update_allocated(self) -> None:
        """Add up what the runs use; filling ones count their memory."""
        processors = memory = 0.0
        accelerators = 0
        for run in self.runs.values():
            if not run.fills:
                processors += run.need.processors
            memory += run.need.memory_gb
            accelerators += run.need.accelerators
        self.allocated = Resources(processors, memory, accelerators)

    def has_capacity(self, need: Resources, fills: bool) -> bool:
        """Return whether a task fits beside the runs.

        What a run of an unknown job takes is not known, so that nothing
        fits before it has ended.
        """
        if any(run.task is None for run in self.runs.values()):
            return False
        capacity = self.entry.capacity
        used = self.allocated
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
        return 1 - self.allocated.processors / capacity if capacity else 0.0

    def update_run(self, run: Run, report: RunReport, clock_ms: int, now_s):
        """Note what the worker shows of a run."""
        if run.phase in (STARTING, UNCONFIRMED):
            run.phase = RUNNING
        run.confirmed_ms = max(run.confirmed_ms, clock_ms)
        run.percent = report.percent
        run.update_rate(now_s)
        run.usage = report.usage
        if report.checkpoint and run.task:
            run.task.checkpoint = report.checkpoint
