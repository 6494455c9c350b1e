"""Which task starts next, and on which worker.

The order of jobs is a registered policy. Tasks of one step spread over the
workers with the most free processors, so that a worker that fails takes
few tasks of a job with it.
"""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from cyclamenscale.errors import FieldError
from cyclamenscale.jobs.advice import Tickets
from cyclamenscale.jobs.job import Job
from cyclamenscale.jobs.orders import Orders
from cyclamenscale.jobs.state import State
from cyclamenscale.jobs.steps import StepState, Task
from cyclamenscale.jobs.worker import Worker

#: Orders in flight to one worker; further tasks wait for the next pass.
ORDERS_LIMIT = 6

#: Failed runs of different jobs after which a worker is tried alone.
DEMERITS_LIMIT = 3

#: Time in which a coordinator that was replaced is told so by a worker; it
#: looks at each of them about twice a second.
DEPOSED_S = 1.5

#: A lasting task that waits has room kept free for it on one worker.
RESERVATIONS_LIMIT = 4

#: Estimates of run times are off by half and more, so that a job counts as
#: late only if a part of what is left would not fit.
LATE_SHARE = 0.6

#: Delay in the order for each processor second of a job's work.
SECONDS_PER_WORK = 0.02

OrderKey = Callable[[Job, float], tuple]

JOB_ORDERS: dict[str, OrderKey] = {}


def job_order(name: str) -> Callable[[OrderKey], OrderKey]:
    """Register an order of jobs.

    :param name: value of ``[jobs] order`` that selects it.
    """

    def register(key: OrderKey) -> OrderKey:
        JOB_ORDERS[name] = key
        return key

    return register


def find_order(name: str) -> OrderKey:
    """Return the order of a name.

    :raises FieldError: if there is none.
    """
    if name not in JOB_ORDERS:
        allowed = "one of " + ", ".join(sorted(JOB_ORDERS))
        raise FieldError("jobs.order", name, allowed)
    return JOB_ORDERS[name]


@job_order("due_first")
def due_first(job: Job, now_s: float) -> tuple:
    """Order by priority, then due time; jobs that can't make it come last.

    A job that has missed its objective is worth a tenth of one that makes
    it, so it must not hold up one that still can.
    """
    late = now_s > job.due_s - job.remaining_ms() / 1000
    return (not job.long_running, late, job.queue.priority, job.due_s)


@job_order("small_first")
def small_first(job: Job, now_s: float) -> tuple:
    """Order as ``due_first``, but put jobs with much work back.

    In a backlog, least work first lets the most jobs make their objective;
    the due time keeps large jobs from waiting for ever.
    """
    late = now_s > job.due_s - LATE_SHARE * job.remaining_ms() / 1000
    key_s = job.due_s + job.estimated_work * SECONDS_PER_WORK
    return (not job.long_running, late, job.queue.priority, key_s)


@job_order("first_come")
def first_come(job: Job, now_s: float) -> tuple:
    """Order by priority, then acceptance; the baseline."""
    return (not job.long_running, job.queue.priority, job.accepted_s)


class Candidate(NamedTuple):
    """A worker that may take tasks in this pass.

    :ivar worker: the worker.
    :ivar tried: whether only one task may run on it, to try it.
    """

    worker: Worker
    tried: bool


class Placement:
    """Places waiting tasks of all pools.

    :param state: shared knowledge.
    :param orders: starts the tasks.
    :param tickets: placement tickets of queues with advice.
    """

    def __init__(self, state: State, orders: Orders, tickets: Tickets):
        """Look the order of jobs up."""
        self.state = state
        self.orders = orders
        self.tickets = tickets
        self.order = find_order(state.settings.jobs.order)
        #: Waiting processors by pool after the last pass, for moves.
        self.backlog: Counter[str] = Counter()

    def run(self) -> None:
        """Place what can be placed now."""
        state = self.state
        state.changed = False
        now_s = state.clock()
        pools: dict[str, list[Job]] = {}
        for job in state.jobs.values():
            if job.open_steps():
                pools.setdefault(job.queue.pool, []).append(job)
        self.backlog.clear()
        may_start, proven = state.may_start(), state.proven()
        for pool, jobs in pools.items():
            candidates = self.candidates(pool, now_s)
            jobs.sort(key=lambda job: self.order(job, now_s))
            reserved: set[str] = set()
            for job in jobs:
                for step in job.open_steps():
                    if may_start and (proven or not job.needs_confirmed_lease):
                        self.place(step, candidates, reserved, now_s)
                    need = step.spec.need.processors
                    self.backlog[pool] += need * len(step.waiting)

    def candidates(self, pool: str, now_s: float) -> list[Candidate]:
        """Return the workers of a pool that may take tasks."""
        return [
            Candidate(worker, worker.slow or worker.demerits >= DEMERITS_LIMIT)
            for worker in self.state.workers.values()
            if worker.entry.pool == pool and self.may_take(worker, now_s)
        ]

    def may_take(self, worker: Worker, now_s: float) -> bool:
        """Return whether a worker may be given tasks at all."""
        fresh_s = self.state.settings.jobs.fresh_s
        return (
            worker.fence == self.state.term.fence
            and worker.listed
            and not worker.entry.leaving
            and not worker.cordoned
            and not worker.gone
            and not worker.failed_looks
            and not worker.probe_due_s
            and now_s - worker.answered_s < fresh_s
            and now_s >= worker.blocked_until_s
        )

    def place(
        self,
        step: StepState,
        candidates: list[Candidate],
        reserved: set[str],
        now_s: float,
    ) -> None:
        """Start the waiting tasks of a step as far as there is room."""
        if self.is_unseen(step.job, now_s):
            return
        if step.spec.gang:
            self.place_gang(step, candidates, reserved)
            return
        for task in list(step.waiting):
            worker = self.choose(task, candidates, reserved)
            if worker:
                number = step.job.next_run_number()
                ticket = self.tickets.find(step, worker)
                self.orders.start(worker, task, number, ticket)
            elif step.spec.long_running:
                self.reserve(step, candidates, reserved)
            elif not task.avoid:
                # The other tasks of the step need the same.
                return

    def is_unseen(self, job: Job, now_s: float) -> bool:
        """Return whether a task may run on a worker not yet looked at."""
        state, pool = self.state, job.queue.pool
        if now_s < job.unpolled_until_s:
            return state.unseen_workers(pool)
        until_s = job.unpolled_until_s + DEPOSED_S
        return now_s < until_s and state.unreached_alive(pool)

    def choose(
        self, task: Task, candidates: list[Candidate], reserved: set[str]
    ) -> Worker | None:
        """Return the best worker for a task, if one can take it."""
        step = task.step
        best, best_key = None, None
        for candidate in candidates:
            worker = candidate.worker
            if worker.id in reserved and not step.spec.long_running:
                continue
            if not self.fits(step, candidate):
                continue
            key = self.rank(task, worker)
            if best_key is None or key < best_key:
                best, best_key = worker, key
        return best

    def fits(self, step: StepState, candidate: Candidate) -> bool:
        """Return whether a task of a step may start on a worker."""
        worker, spec = candidate.worker, step.spec
        if worker.orders_in_flight >= ORDERS_LIMIT:
            return False
        if candidate.tried and worker.runs:
            return False
        if spec.label and spec.label not in worker.entry.labels:
            return False
        if not worker.has_room(spec.need, spec.best_effort):
            return False
        if spec.max_per_worker and spec.max_per_worker <= count_on(
            step, worker
        ):
            return False
        return self.tickets.allows(step, worker)

    def rank(self, task: Task, worker: Worker) -> tuple:
        """Return a key that is least for the best worker of a task."""
        spec = task.step.spec
        far = bool(spec.rack) and worker.entry.rack != spec.rack
        filling = 0.0
        if spec.best_effort:
            filling = sum(
                run.need.processors
                for run in worker.runs.values()
                if run.fills
            )
        return (
            worker.id in task.avoid,
            worker.slow or worker.demerits > 0,
            far,
            filling,
            *(self.rank_lasting(task, worker) if spec.long_running else ()),
            -worker.free_share,
        )

    def rank_lasting(self, task: Task, worker: Worker) -> tuple:
        """Return the part of the key that keeps lasting tasks apart.

        Tasks of one step go to different workers and racks, since only so
        many of them may be interrupted at once. Different jobs share
        workers, so that other machines stay free to move.
        """
        step, rack = task.step, worker.entry.rack
        beside = sum(
            run.worker.entry.rack == rack
            for other in step.tasks
            for run in other.runs
        )
        lasting = sum(
            run.task is not None and run.task.step.spec.long_running
            for run in worker.runs.values()
        )
        return (count_on(step, worker), beside, -lasting)

    def reserve(
        self,
        step: StepState,
        candidates: list[Candidate],
        reserved: set[str],
    ) -> None:
        """Keep a worker free of short tasks until a lasting one fits."""
        if len(reserved) >= RESERVATIONS_LIMIT:
            return
        open_to = [
            candidate.worker
            for candidate in candidates
            if candidate.worker.id not in reserved
            and not candidate.tried
            and (
                not step.spec.max_per_worker
                or count_on(step, candidate.worker) < step.spec.max_per_worker
            )
        ]
        if open_to:
            reserved.add(max(open_to, key=lambda w: w.free_share).id)

    def place_gang(
        self,
        step: StepState,
        candidates: list[Candidate],
        reserved: set[str],
    ) -> None:
        """Start all tasks of a gang under one run number, or none."""
        if len(step.waiting) < step.left or not step.left:
            return
        racks = [candidates]
        if step.spec.same_rack:
            by_rack: dict[str, list[Candidate]] = {}
            for candidate in candidates:
                rack = candidate.worker.entry.rack
                by_rack.setdefault(rack, []).append(candidate)
            racks = [*by_rack.values(), candidates]
        for group in racks:
            plan = self.plan_gang(step, group, reserved)
            if plan:
                number = step.job.next_run_number()
                # All members have to start from the same checkpoint.
                saved = max(task.checkpoint for task, _ in plan)
                for task, worker in plan:
                    task.checkpoint = saved
                    ticket = self.tickets.find(step, worker)
                    self.orders.start(worker, task, number, ticket)
                return

    def plan_gang(
        self,
        step: StepState,
        candidates: list[Candidate],
        reserved: set[str],
    ) -> list[tuple[Task, Worker]]:
        """Return a worker for each task of a gang, or nothing."""
        plan: list[tuple[Task, Worker]] = []
        taken: Counter[str] = Counter()
        spec = step.spec
        for task in step.waiting:
            found = None
            for candidate in candidates:
                worker = candidate.worker
                more = taken[worker.id] + 1
                if worker.id in reserved or not self.fits(step, candidate):
                    continue
                if spec.max_per_worker and more > spec.max_per_worker:
                    continue
                if worker.has_room(times(spec.need, more), spec.best_effort):
                    found = worker
                    break
            if not found:
                return []
            taken[found.id] += 1
            plan.append((task, found))
        return plan

    def copy_doubtful(self, now_s: float) -> None:
        """Start copies of tasks whose only run is on a silent worker."""
        if not self.state.may_start():
            return
        for worker in list(self.state.workers.values()):
            if worker.failed_looks < 2:
                continue
            for run in list(worker.runs.values()):
                task = run.task
                if (
                    task
                    and task.step.spec.allows_copies
                    and not task.done
                    and not task.job.ended
                    and len(task.runs) == 1
                ):
                    self.copy(task, now_s)

    def find_other(self, task: Task, now_s: float) -> Worker | None:
        """Return a worker that could take a task beside its runs."""
        pool = task.job.queue.pool
        taken = {run.worker.id for run in task.runs}
        candidates = [
            candidate
            for candidate in self.candidates(pool, now_s)
            if candidate.worker.id not in taken and not candidate.worker.slow
        ]
        return self.choose(task, candidates, set())

    def copy(self, task: Task, now_s: float) -> None:
        """Start another run of a task beside the one it has."""
        worker = self.find_other(task, now_s)
        if worker:
            number = task.job.next_run_number()
            ticket = self.tickets.find(task.step, worker)
            self.orders.start(worker, task, number, ticket)


def count_on(step: StepState, worker: Worker) -> int:
    """Return how many tasks of a step are, or may be, on a worker."""
    return sum(
        run.task is not None and run.task.step is step
        for run in worker.runs.values()
    )


def times(need, factor: int):
    """Return a multiple of resources."""
    return type(need)(*(part * factor for part in need))
