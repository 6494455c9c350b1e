"""The coordinator's record of a worker and its runs.

A run is dropped only once it has certainly ended: the worker listed its
end, the worker responds as a later incarnation, or the task lease has
expired on the worker's own clock. An expired lease does not tell whether the
run was done before, which only the worker's report does. Pure: times are
passed in.
"""

from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.model import RunReport, Step, WorkerRecord
from cyclamenscale.jobs.steps import Task

#: Lowest assumed rate of a worker's clock; the platform's bound is 2% slow.
MIN_CLOCK_RATE = 0.97

#: Time for a worker to kill its runs once their lease has expired.
LEASE_EXPIRY_MARGIN_S = 0.3

#: A call without a response may be carried out this much later; orders were
#: 2 to 12 s late on the users' bench.
MAX_CALL_DELAY_S = 12.0

#: Time within which polls sent to an incarnation that has ended reach the
#: next one: the transport repeats a call on a broken connection until its
#: timeout, which is 1.25 s for a poll.
REPEATED_CALL_DELAY_S = 1.5

#: Largest error of an estimate of a worker's clock in an order's response,
#: which may be on its way for as long as an order may take.
CLOCK_ESTIMATE_ERROR_MS = 1000

#: Tolerance for rounding errors in sums of resources.
EPSILON = 1e-6

#: Shortest time over which the rate of a run is measured. Progress is
#: reported in whole percent, and a run of 30 s gains two percent in it.
RATE_INTERVAL_S = 0.5

#: Number of times that a start is sent before its run is stopped.
MAX_START_TRIES = 2

#: Phases of a run.
STARTING = "starting"
UNCONFIRMED = "doubtful"
RUNNING = "running"
STOPPING = "stopping"


class Run:
    """A run that is, or may be, on a worker.

    :ivar task: its task, None if the job is unknown or has ended.
    :ivar best_effort: whether its task is best-effort.
    :ivar phase: state of the orders to start and stop it.
    :ivar confirmed_ms: the worker's clock when it last reported the run or
        accepted an order for it.
    :ivar percent: share of its work done, as last reported.
    :ivar rate: percent of its work per second, recently measured, None if
        unknown.
    :ivar baseline_percent: percent at the start of the current measurement
        of the rate.
    :ivar baseline_s: when that measurement started, 0 before the first
        report.
    :ivar throttle_percent: percent of full speed it was throttled to, -1 if
        unknown.
    :ivar ticket: placement ticket that its start carries, or empty.
    :ivar tries: starts or stops sent without a response, -1 once a stop was
        accepted.
    :ivar reported: whether its worker's current incarnation has listed it.
    :ivar inherited: whether another term started it, so that its start time
        is unknown.
    :ivar in_flight: whether an order for it has no response yet.
    :ivar unanswered_s: a poll sent after this time tells what became of its
        latest order; 0 if that had a response.
    """

    __slots__ = (
        "baseline_percent",
        "baseline_s",
        "best_effort",
        "confirmed_ms",
        "in_flight",
        "inherited",
        "name",
        "need",
        "number",
        "percent",
        "phase",
        "rate",
        "reported",
        "started_s",
        "task",
        "throttle_percent",
        "ticket",
        "tries",
        "unanswered_s",
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
        """Initialise a run whose start has no response yet."""
        self.name = name
        self.number = number
        self.task = task
        self.worker = worker
        spec = task.step.spec if task else None
        self.need = spec.need if spec else Resources()
        self.best_effort = bool(spec and spec.best_effort)
        self.phase = STARTING
        self.started_s = now_s
        self.confirmed_ms = 0
        self.percent = 0.0
        self.rate: float | None = None
        self.baseline_percent = 0.0
        self.baseline_s = 0.0
        self.usage = 0.0
        self.throttle_percent = 100
        self.ticket = ""
        self.tries = 0
        self.inherited = False
        self.reported = False
        self.in_flight = False
        self.unanswered_s = 0.0

    @property
    def serving(self) -> bool:
        """Return whether a run of a long-running task was last serving."""
        working = self.phase == RUNNING and self.percent >= 100
        return working and not self.worker.termination_pending

    @property
    def may_be_done(self) -> bool:
        """Return whether starting its task again may repeat finished work."""
        task = self.task
        if not task or task.done or task.job.ended:
            return False
        spec = task.step.spec
        return not spec.long_running and not spec.allows_copies

    @property
    def key(self) -> tuple[str, int]:
        """Return the key of the run on its worker."""
        return self.name, self.number

    def update_rate(self, now_s: float) -> None:
        """Update the rate from reports that are far enough apart."""
        span_s = now_s - self.baseline_s
        if self.baseline_s and span_s < RATE_INTERVAL_S:
            return
        if self.baseline_s:
            self.rate = (self.percent - self.baseline_percent) / span_s
        self.baseline_percent = self.percent
        self.baseline_s = now_s


class Worker:
    """One incarnation of a worker.

    :ivar record: its latest registration.
    :ivar fence: fencing token that it has confirmed, 0 before that.
    :ivar fence_confirmed_s: when the latest poll that confirmed it was sent.
    :ivar clock_ms: its clock in the response that gives the best lower bound.
    :ivar clock_received_s: when that response arrived.
    :ivar lease_deadline_ms: latest end of the lease of its runs that it may
        have been given, on its own clock.
    :ivar lease_extended_s: when an order or poll that extends that lease was
        last sent.
    :ivar foreign_lease_until_s: until when a lease may hold that a call
        meant for an earlier incarnation has given it. Such a deadline is a
        time of another clock; the worker shortens it to the platform's
        maximum, which may be longer than ``lease_deadline_ms``.
    :ivar unanswered_starts: when starts were sent whose response was lost,
        by run; they may still be carried out, also by a later incarnation.
    :ivar last_response_s: when it last responded to a poll with a report.
    :ivar expiry_logged: whether the expiry of its runs' lease was logged
        since its last report.
    :ivar failed_polls: polls without a report since then.
    :ivar poll_due_s: when the next long poll is due.
    :ivar immediate_poll_due_s: when an immediate poll is due because an
        order had no response, 0 if none is; nothing starts until the worker
        has responded to a poll.
    :ivar reported_ms: its clock in the newest report.
    :ivar last_applied_end: number of the last end that was applied.
    :ivar last_acknowledged_end: number of the last end whose effect is
        stored.
    :ivar forgotten_end: number up to which it has certainly forgotten ends.
    :ivar ends_truncated: whether its latest report had as many ends as one
        holds, so that it may lack later ones.
    :ivar in_registry: whether it is registered, or was until recently.
    :ivar registered_s: when it last wrote to the registry in this term.
    :ivar left_registry_s: when it left the registry, 0 if it has not.
    :ivar cordon_reason: why nothing may start on it, or empty.
    :ivar termination_pending: whether an order that ends its runs may be
        in progress.
    :ivar blocked_until_s: nothing starts before this time.
    :ivar consecutive_failures: failed runs of different jobs, and starts
        refused as unhealthy, since the last run that was done.
    :ivar slow: whether its runs take much longer than elsewhere.
    :ivar slow_since_s: when this was last observed.
    :ivar allocated: resources that its runs need.
    :ivar long_running: the part of them that long-running tasks need.
    :ivar unknown_runs: number of runs whose job is not known, so that their
        needs aren't either.
    :ivar terminated: whether this incarnation has certainly ended.
    """

    def __init__(self, record: WorkerRecord, now_s: float):
        """Initialise with no runs and no responses."""
        self.record = record
        self.fence = 0
        self.fence_confirmed_s = -1e9
        self.clock_ms = 0
        self.clock_received_s = 0.0
        self.lease_deadline_ms = 0
        self.lease_extended_s = 0.0
        self.foreign_lease_until_s = 0.0
        self.unanswered_starts: dict[tuple[str, int], float] = {}
        self.first_seen_s = now_s
        self.last_response_s = -1e9
        self.expiry_logged = False
        self.failed_polls = 0
        self.poll_in_flight = False
        self.poll_due_s = now_s
        self.immediate_poll_due_s = 0.0
        self.immediate_poll_in_flight = False
        self.reported_ms = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self.last_applied_end = 0
        self.last_acknowledged_end = 0
        self.forgotten_end = 0
        self.ends_truncated = False
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
        self.long_running = Resources()
        self.unknown_runs = 0
        self.terminated = False

    @property
    def id(self) -> str:
        """Return the id of the worker."""
        return self.record.id

    def min_clock_ms(self, now_s: float) -> float:
        """Return a lower bound of the worker's clock."""
        passed_s = (now_s - self.clock_received_s) * MIN_CLOCK_RATE
        return self.clock_ms + passed_s * 1000

    def record_clock(self, clock_ms: int, now_s: float) -> None:
        """Record the worker's clock from a response that has just arrived."""
        first = not self.clock_ms
        if clock_ms and (first or clock_ms >= self.min_clock_ms(now_s)):
            self.clock_ms = clock_ms
            self.clock_received_s = now_s

    def is_plausible_clock(self, clock_ms: int, now_s: float) -> bool:
        """Return whether a clock in a response is that of this incarnation.

        An order may have reached a later incarnation, whose clock differs by
        any amount.
        """
        if not clock_ms or not self.clock_ms:
            return True
        expected_ms = self.clock_ms + (now_s - self.clock_received_s) * 1000
        error_ms = CLOCK_ESTIMATE_ERROR_MS + (1 - MIN_CLOCK_RATE) * max(
            expected_ms - self.clock_ms, 0.0
        )
        return abs(clock_ms - expected_ms) <= error_ms

    def record_unanswered_start(
        self, key: tuple[str, int], now_s: float
    ) -> None:
        """Record a start that may still be carried out."""
        self.unanswered_starts[key] = now_s
        self.unanswered_starts = self.late_starts(now_s)

    def late_starts(self, now_s: float) -> dict[tuple[str, int], float]:
        """Return the unanswered starts that may still be carried out."""
        since_s = now_s - MAX_CALL_DELAY_S
        return {
            key: sent_s
            for key, sent_s in self.unanswered_starts.items()
            if sent_s > since_s
        }

    def lease_expiry_s(self) -> float:
        """Return when the lease of its runs has certainly expired."""
        return max(self.own_lease_expiry_s(), self.foreign_lease_until_s)

    def own_lease_expiry_s(self) -> float:
        """Return when the lease that it was meant to have has expired."""
        remaining_ms = self.lease_deadline_ms - self.clock_ms
        return (
            self.clock_received_s
            + remaining_ms / 1000 / MIN_CLOCK_RATE
            + LEASE_EXPIRY_MARGIN_S
        )

    def request_immediate_poll(self, now_s: float) -> None:
        """Request an immediate poll beside a pending long poll."""
        if not self.immediate_poll_due_s:
            self.immediate_poll_due_s = now_s

    def add_run(self, run: Run) -> None:
        """Add a run and its resources."""
        self.runs[run.key] = run
        self.update_allocated()

    def set_task(self, run: Run, task: Task) -> None:
        """Set the task of a run whose job was unknown."""
        run.task = task
        run.need = task.step.spec.need
        run.best_effort = task.step.spec.best_effort
        self.update_allocated()

    def remove_run(self, run: Run) -> None:
        """Drop a run that has certainly ended."""
        self.runs.pop(run.key, None)
        if run.task and run in run.task.runs:
            run.task.runs.remove(run)
        self.update_allocated()

    def hand_over_runs(self, successor: "Worker") -> list[Run]:
        """Move the remaining runs to the next incarnation.

        Nothing that was known of them holds there. Those that it does not
        list are stopped: it may be of another kind, and tickets and room
        were those of the earlier one.
        """
        runs, self.runs = list(self.runs.values()), {}
        for run in runs:
            run.worker = successor
            run.confirmed_ms = 0
            run.reported = False
            run.tries = 0 if run.phase == STOPPING else MAX_START_TRIES
            successor.runs[run.key] = run
        successor.update_allocated()
        return runs

    def update_allocated(self) -> None:
        """Sum the needs of the runs; best-effort runs need no processors."""
        allocated, long_running = [0.0, 0.0, 0], [0.0, 0.0, 0]
        self.unknown_runs = 0
        for run in self.runs.values():
            need = run.need
            processors = 0.0 if run.best_effort else need.processors
            sums = [allocated]
            if run.task is None:
                self.unknown_runs += 1
            elif run.task.step.spec.long_running:
                sums.append(long_running)
            for total in sums:
                total[0] += processors
                total[1] += need.memory_gb
                total[2] += need.accelerators
        self.allocated = Resources(*allocated)
        self.long_running = Resources(*long_running)

    def has_capacity(self, need: Resources, best_effort: bool) -> bool:
        """Return whether a task fits beside the runs.

        The needs of a run of an unknown job are unknown, so nothing fits
        until it has ended.

        :param need: resources of the task.
        :param best_effort: whether the task is best-effort.
        """
        return not self.unknown_runs and self.fits_beside(
            self.allocated, need, best_effort
        )

    def count_fitting(self, spec: Step, limit: int) -> int:
        """Return how many tasks of a step fit beside the runs.

        :param limit: largest number returned.
        """
        if self.unknown_runs:
            return 0
        capacity, used, need = self.record.capacity, self.allocated, spec.need
        count = min(limit, spec.max_per_worker or limit)
        if need.processors and not spec.best_effort:
            free = capacity.processors - used.processors + EPSILON
            count = min(count, int(free / need.processors))
        if need.memory_gb:
            free = capacity.memory_gb - used.memory_gb + EPSILON
            count = min(count, int(free / need.memory_gb))
        if need.accelerators:
            free = capacity.accelerators - used.accelerators
            count = min(count, free // need.accelerators)
        return max(count, 0)

    def has_capacity_beside_long_runs(
        self, need: Resources, best_effort: bool
    ) -> bool:
        """Return whether a task will fit once the short runs have ended."""
        return not self.unknown_runs and self.fits_beside(
            self.long_running, need, best_effort
        )

    def fits_beside(
        self, used: Resources, need: Resources, best_effort: bool
    ) -> bool:
        """Return whether a task fits beside an amount that is used."""
        capacity = self.record.capacity
        return (
            (
                best_effort
                or used.processors + need.processors
                <= capacity.processors + EPSILON
            )
            and used.memory_gb + need.memory_gb <= capacity.memory_gb + EPSILON
            and used.accelerators + need.accelerators <= capacity.accelerators
        )

    @property
    def free_share(self) -> float:
        """Return the share of its processors that is not allocated."""
        capacity = self.record.capacity.processors
        return 1 - self.allocated.processors / capacity if capacity else 0.0

    def update_run(self, run: Run, report: RunReport, clock_ms: int, now_s):
        """Update a run from a report of the worker."""
        if run.phase in (STARTING, UNCONFIRMED):
            run.phase = RUNNING
        run.reported = True
        run.confirmed_ms = max(run.confirmed_ms, clock_ms)
        run.percent = report.percent
        run.update_rate(now_s)
        run.usage = report.usage
        if report.checkpoint and run.task:
            run.task.checkpoint = report.checkpoint
