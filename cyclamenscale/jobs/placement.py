"""Decides which task starts next, and on which worker.

The order of jobs is a registered policy. Tasks of one step are spread over
the workers with the most free processors, so that the failure of a worker
affects few tasks of a job.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from itertools import islice

from cyclamenscale.jobs.advice import Tickets
from cyclamenscale.jobs.candidates import (
    Candidate,
    Candidates,
    is_suspicious,
    relax_probation,
)
from cyclamenscale.jobs.job import Job
from cyclamenscale.jobs.job_orders import find_order
from cyclamenscale.jobs.model import Step
from cyclamenscale.jobs.on_time import (
    Arrival,
    Supply,
    demand_of,
    select_on_time,
)
from cyclamenscale.jobs.orders import WorkerOrders
from cyclamenscale.jobs.state import SUPERSEDED_NOTICE_S, State
from cyclamenscale.jobs.steps import StepState, Task
from cyclamenscale.jobs.worker import Worker

#: Maximum number of orders in flight to one worker; further tasks wait for
#: the next pass.
MAX_ORDERS_IN_FLIGHT = 6

#: Consecutive failures of different jobs after which a worker is on
#: probation.
MAX_CONSECUTIVE_FAILURES = 3

#: Interval at which the jobs that can be done in time are selected.
SELECTION_INTERVAL_S = 0.05

#: Share of the processors that tasks can use, since some are left over on
#: each worker and a slot is free for a moment between two tasks.
USABLE_SHARE = 0.85

#: Maximum number of workers of a pool that are reserved for waiting
#: long-running tasks, one for each task.
MAX_RESERVATIONS = 4


class Placement:
    """Places waiting tasks of all pools.

    :param state: state of the term.
    :param orders: starts the tasks.
    :param tickets: placement tickets of queues with advice.
    """

    def __init__(self, state: State, orders: WorkerOrders, tickets: Tickets):
        """Look up the order of jobs."""
        self.state = state
        self.orders = orders
        self.tickets = tickets
        self.order = find_order(state.settings.jobs.order)
        #: By pool, processors that waiting tasks need after the last pass;
        #: decides on moves of machines.
        self.backlog: Counter[str] = Counter()
        #: Machines on their way to each pool.
        self.arrivals: dict[str, list[Arrival]] = {}
        #: Workers that the last pass kept free of short tasks.
        self.reserved: set[str] = set()
        self.next_selection_s = 0.0
        self.passes = 0
        #: Results of :meth:`ask_once` in this pass, by question and pools.
        self.unpolled: dict[tuple[str, frozenset[str] | None], bool] = {}

    def run(self) -> None:
        """Place the waiting tasks that can start now."""
        state = self.state
        state.changed = False
        now_s = state.clock()
        self.unpolled.clear()
        pools: dict[str, list[Job]] = {}
        for job in state.jobs.values():
            if job.open_steps():
                pools.setdefault(job.queue.pool, []).append(job)
        self.backlog.clear()
        self.tickets.begin_pass()
        may_start, confirmed = state.may_start(), state.lease_confirmed()
        if not pools:
            return
        by_pool = self.candidates(now_s, pools.keys())
        if now_s >= self.next_selection_s:
            self.next_selection_s = now_s + SELECTION_INTERVAL_S
            self.defer_late_jobs(by_pool, now_s)
        self.reserved.clear()
        for pool, jobs in self.rotate(pools):
            candidates = by_pool[pool]
            jobs.sort(key=lambda job: self.order(job, now_s))
            reserved: set[str] = set()
            for job in jobs:
                for step in job.open_steps():
                    if may_start and (
                        confirmed or not job.needs_confirmed_lease
                    ):
                        self.place(step, candidates, reserved, now_s)
                    need = step.spec.need.processors
                    self.backlog[pool] += need * len(step.waiting)
            self.reserved |= reserved
        self.tickets.request_next()

    def defer_late_jobs(
        self, by_pool: dict[str, Candidates], now_s: float
    ) -> None:
        """Defer the jobs of each pool that can't all be done in time.

        :param by_pool: candidates of the pools with waiting tasks.
        """
        jobs: dict[str, list[Job]] = {pool: [] for pool in by_pool}
        for job in self.state.jobs.values():
            if job.queue.pool in jobs and not job.ended:
                if not job.long_running:
                    jobs[job.queue.pool].append(job)
        for pool, found in jobs.items():
            bias = self.state.estimate_bias.mean(pool)
            chosen = select_on_time(
                [demand_of(job, bias) for job in found],
                self.supply(pool, by_pool[pool], now_s),
            )
            for job in found:
                job.deferred = job.record.id not in chosen

    def supply(
        self, pool: str, candidates: Candidates, now_s: float
    ) -> Supply:
        """Return the processors of a pool that short tasks can use."""
        processors = sum(
            candidate.worker.record.capacity.processors
            - candidate.worker.long_running.processors
            for candidate in candidates
        )
        return Supply(
            now_s,
            processors * USABLE_SHARE,
            tuple(self.arrivals.get(pool, ())),
        )

    def rotate(
        self, pools: dict[str, list[Job]]
    ) -> list[tuple[str, list[Job]]]:
        """Return the pools, beginning with another one in each pass.

        Otherwise the first pool would use all starts that may be in flight.
        Passes in which none may start don't count.
        """
        if not self.orders.window.is_full:
            self.passes += 1
        ordered = sorted(pools.items())
        first = self.passes % len(ordered) if ordered else 0
        return ordered[first:] + ordered[:first]

    def candidates(
        self, now_s: float, pools: Iterable[str]
    ) -> dict[str, Candidates]:
        """Return the workers that tasks may be placed on, for each pool."""
        by_pool: dict[str, list[Candidate]] = {pool: [] for pool in pools}
        for worker in self.state.workers.values():
            found = by_pool.get(worker.record.pool)
            if found is not None and self.accepts_tasks(worker, now_s):
                found.append(self.candidate(worker))
        return {
            pool: Candidates(relax_probation(found))
            for pool, found in by_pool.items()
        }

    def candidate(self, worker: Worker) -> Candidate:
        """Return a worker as a candidate."""
        failures = worker.consecutive_failures
        return Candidate(
            worker, worker.slow or failures >= MAX_CONSECUTIVE_FAILURES
        )

    def accepts_tasks(self, worker: Worker, now_s: float) -> bool:
        """Return whether tasks may be placed on a worker at all."""
        return not self.rejection(worker, now_s)

    def rejection(self, worker: Worker, now_s: float) -> str:
        """Return why no task may be placed on a worker, or empty."""
        if worker.terminated:
            return "terminated"
        if worker.failed_polls or worker.immediate_poll_due_s:
            return "silent"
        if worker.fence != self.state.term.fence:
            return "not polled"
        if not worker.in_registry:
            return "not registered"
        if worker.record.leaving:
            return "leaving"
        if worker.cordon_reason:
            return "cordoned"
        if now_s < worker.blocked_until_s:
            return "blocked"
        fresh_s = self.state.settings.jobs.fresh_s
        if now_s - worker.last_response_s >= fresh_s:
            return "late report"
        return ""

    def place(
        self,
        step: StepState,
        candidates: Candidates,
        reserved: set[str],
        now_s: float,
    ) -> None:
        """Start as many waiting tasks of a step as there is capacity for."""
        if self.may_run_unpolled(step.job, now_s):
            return
        if step.spec.gang:
            self.place_gang(step, candidates, reserved)
            return
        for task in list(step.waiting):
            if self.orders.window.is_full:
                return
            worker = self.choose(task, candidates, reserved)
            if worker:
                number = step.job.next_run_number()
                ticket = self.tickets.find(step, worker)
                self.orders.start(worker, task, number, ticket)
                candidates.update(worker)
            elif step.spec.long_running:
                self.reserve(step, candidates, reserved)
            elif not task.avoided_workers:
                # The other tasks of the step have the same needs.
                return

    def may_run_unpolled(self, job: Job, now_s: float) -> bool:
        """Return whether a job may have runs on a worker not polled yet.

        Its runs may be in pools that its queue had before.
        """
        state = self.state
        if not job.unpolled_until_s:
            return False
        if now_s < job.unpolled_until_s:
            question = state.unpolled_workers
        elif now_s < job.unpolled_until_s + SUPERSEDED_NOTICE_S:
            question = state.unreached_live_workers
        else:
            question = state.has_unknown_runs
            if not self.ask_once(question, None):
                return False
        return self.ask_once(question, state.pools_of(job))

    def ask_once(
        self,
        question: Callable[[frozenset[str] | None], bool],
        pools: frozenset[str] | None,
    ) -> bool:
        """Return an answer about the workers of pools, once in each pass."""
        key = (question.__name__, pools)
        if key not in self.unpolled:
            self.unpolled[key] = question(pools)
        return self.unpolled[key]

    def choose(
        self, task: Task, candidates: Candidates, reserved: set[str]
    ) -> Worker | None:
        """Return the best worker for a task, or None if it fits on none."""
        step = task.step
        by_free_share = is_placed_by_free_share(step.spec)
        needed = 0.0 if step.spec.best_effort else step.spec.need.processors
        best, best_key = None, None
        for candidate in candidates.with_room(needed):
            worker = candidate.worker
            if worker.id in reserved and not step.spec.long_running:
                continue
            if not self.fits(step, candidate):
                continue
            if by_free_share and worker.id not in task.avoided_workers:
                return worker
            key = self.rank(task, worker)
            if best_key is None or key < best_key:
                best, best_key = worker, key
        return best

    def fits(self, step: StepState, candidate: Candidate) -> bool:
        """Return whether a task of a step may start on a worker."""
        return not self.misfit(step, candidate)

    def misfit(self, step: StepState, candidate: Candidate) -> str:
        """Return why a task of a step can't start on a worker, or empty."""
        worker, spec = candidate.worker, step.spec
        if worker.orders_in_flight >= MAX_ORDERS_IN_FLIGHT:
            return "orders in flight"
        if candidate.on_probation and has_short_run(worker):
            if not candidate.fills_to_half or worker.free_share <= 0.5:
                return "on probation"
        if spec.label and spec.label not in worker.record.labels:
            return "label"
        if not worker.has_capacity(spec.need, spec.best_effort):
            return "unknown runs" if worker.unknown_runs else "no room"
        if spec.max_per_worker and spec.max_per_worker <= count_tasks_on(
            step, worker
        ):
            return "tasks per worker"
        return "" if self.tickets.allows(step, worker) else "no ticket"

    def obstacle(self, step: StepState, worker: Worker, now_s: float) -> str:
        """Return what keeps a step from a worker, or empty."""
        found = self.rejection(worker, now_s)
        if found:
            return found
        if worker.id in self.reserved and not step.spec.long_running:
            return "reserved"
        return self.misfit(step, self.candidate(worker))

    def hold_reason(self, step: StepState, now_s: float) -> str:
        """Return why no task of a step may start on any worker, or empty."""
        if not self.state.may_start():
            return "the lease is not confirmed"
        if step.job.needs_confirmed_lease and not self.state.lease_confirmed():
            return "accepted without a confirmed lease"
        if self.may_run_unpolled(step.job, now_s):
            return "a worker that was not polled may run it"
        if self.orders.window.is_full:
            return "too many starts in flight"
        return ""

    def rank(self, task: Task, worker: Worker) -> tuple:
        """Return a sort key that is lowest for the best worker."""
        spec = task.step.spec
        other_rack = bool(spec.rack) and worker.record.rack != spec.rack
        best_effort = 0.0
        if spec.best_effort:
            best_effort = sum(
                run.need.processors
                for run in worker.runs.values()
                if run.best_effort
            )
        return (
            worker.id in task.avoided_workers,
            is_suspicious(worker),
            other_rack,
            best_effort,
            *(
                self.rank_long_running(task, worker)
                if spec.long_running
                else ()
            ),
            -worker.free_share,
        )

    def rank_long_running(self, task: Task, worker: Worker) -> tuple:
        """Return the part of the key that spreads long-running tasks.

        Tasks of one step go to different workers and racks, since the number
        of them that may be interrupted at once is limited. Different jobs
        share workers, so that other machines stay free to be moved.
        """
        step, rack = task.step, worker.record.rack
        runs_in_rack = sum(
            run.worker.record.rack == rack
            for other in step.tasks
            for run in other.runs
        )
        long_running = sum(
            run.task is not None and run.task.step.spec.long_running
            for run in worker.runs.values()
        )
        return (count_tasks_on(step, worker), runs_in_rack, -long_running)

    def reserve(
        self,
        step: StepState,
        candidates: Candidates,
        reserved: set[str],
    ) -> None:
        """Keep a worker free of short tasks until a long-running one fits.

        Only workers on which it will fit are kept free, and no more than
        half of them: the task may have to wait for a short one that runs for
        long, or for its tickets.
        """
        limit = min(MAX_RESERVATIONS, max(len(candidates) // 2, 1))
        if len(reserved) >= limit:
            return
        eligible = [
            candidate.worker
            for candidate in candidates
            if candidate.worker.id not in reserved
            and not candidate.on_probation
            and self.fits_later(step, candidate.worker)
        ]
        if eligible:
            reserved.add(max(eligible, key=lambda w: w.free_share).id)

    def fits_later(self, step: StepState, worker: Worker) -> bool:
        """Return whether a task fits once a worker's short runs have ended."""
        spec = step.spec
        return (
            (not spec.label or spec.label in worker.record.labels)
            and worker.has_capacity_beside_long_runs(
                spec.need, spec.best_effort
            )
            and (
                not spec.max_per_worker
                or count_tasks_on(step, worker) < spec.max_per_worker
            )
            and not self.tickets.refuses(step, worker)
        )

    def place_gang(
        self,
        step: StepState,
        candidates: Candidates,
        reserved: set[str],
    ) -> None:
        """Start all tasks of a gang with one run number, or none."""
        if len(step.waiting) < step.remaining or not step.remaining:
            return
        if self.orders.window.is_full:
            return
        racks: list[list[Candidate]] = [list(candidates)]
        if step.spec.same_rack:
            by_rack: dict[str, list[Candidate]] = {}
            for candidate in candidates:
                rack = candidate.worker.record.rack
                by_rack.setdefault(rack, []).append(candidate)
            racks = [*by_rack.values(), *racks]
        for group in racks:
            plan = self.plan_gang(step, group, reserved)
            if plan:
                number = step.job.next_run_number()
                # All members have to start from the same checkpoint.
                checkpoint = max(task.checkpoint for task, _ in plan)
                for task, worker in plan:
                    task.checkpoint = checkpoint
                    ticket = self.tickets.find(step, worker)
                    self.orders.start(worker, task, number, ticket)
                    candidates.update(worker)
                return

    def plan_gang(
        self,
        step: StepState,
        candidates: list[Candidate],
        reserved: set[str],
    ) -> list[tuple[Task, Worker]]:
        """Return a worker for each task of a gang, or an empty list.

        All tasks have the same needs, so that the room of each worker is
        counted once, however many tasks there are.
        """
        needed = len(step.waiting)
        rooms: list[tuple[Worker, int]] = []
        for candidate in candidates:
            worker = candidate.worker
            if worker.id in reserved or not self.fits(step, candidate):
                continue
            room = worker.count_fitting(step.spec, needed)
            rooms.append((worker, room))
            needed -= room
            if not needed:
                break
        if needed:
            return []
        tasks = iter(step.waiting)
        return [
            (task, worker)
            for worker, room in rooms
            for task in islice(tasks, room)
        ]

    def copy_unconfirmed(self, now_s: float) -> None:
        """Start copies of tasks whose only run is on an unreachable worker."""
        if not self.state.may_start():
            return
        for worker in list(self.state.workers.values()):
            if worker.failed_polls < 2:
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
                    self.start_copy(task, now_s)

    def find_other_worker(self, task: Task, now_s: float) -> Worker | None:
        """Return another worker that could run a task, if there is one."""
        pool = task.job.queue.pool
        occupied = {run.worker.id for run in task.runs}
        candidates = Candidates(
            candidate
            for candidate in self.candidates(now_s, (pool,))[pool]
            if candidate.worker.id not in occupied
            and not candidate.worker.slow
        )
        return self.choose(task, candidates, set())

    def start_copy(self, task: Task, now_s: float) -> None:
        """Start a speculative copy of a task on another worker."""
        if self.orders.window.is_full:
            return
        worker = self.find_other_worker(task, now_s)
        if worker:
            number = task.job.next_run_number()
            ticket = self.tickets.find(task.step, worker)
            self.orders.start(worker, task, number, ticket)


def is_placed_by_free_share(spec: Step) -> bool:
    """Return whether only the free share ranks the workers for a step."""
    return not (spec.long_running or spec.best_effort or spec.rack)


def count_tasks_on(step: StepState, worker: Worker) -> int:
    """Return the number of tasks of a step that may run on a worker."""
    return sum(
        run.task is not None and run.task.step is step
        for run in worker.runs.values()
    )


def has_short_run(worker: Worker) -> bool:
    """Return whether a worker has a run that ends by itself."""
    return any(
        run.task is None or not run.task.step.spec.long_running
        for run in worker.runs.values()
    )
