"""Operations on machines: maintenance, and moves between pools.

A machine is emptied first: nothing new starts on it, short tasks end, and
long-running tasks are interrupted only as far as their steps allow. Orders
without a response are repeated; the platform accepts an order that it has
already carried out.
"""

from collections import Counter
from concurrent.futures import Future

from cyclamenscale.jobs.capacity import (
    MIN_STAY_S,
    CapacityPlanner,
    MovableMachine,
    PoolLoad,
)
from cyclamenscale.jobs.model import (
    MACHINE_MAINTENANCE,
    MACHINE_MOVING,
    MACHINE_UP,
    Machine,
)
from cyclamenscale.jobs.on_time import Arrival
from cyclamenscale.jobs.orders import WorkerOrders
from cyclamenscale.jobs.placement import Placement
from cyclamenscale.jobs.ports import MachineCalls, StoreCalls
from cyclamenscale.jobs.state import INHERITED_WITHIN_S, State
from cyclamenscale.jobs.steps import StepState, Task
from cyclamenscale.jobs.takeover import Takeover
from cyclamenscale.jobs.waves import MaintenanceWaves
from cyclamenscale.jobs.worker import RUNNING, STOPPING, Worker

#: Interval between reads of the machine list, without and with operations.
LIST_INTERVAL_S = 1.0
BUSY_LIST_INTERVAL_S = 0.4

#: Interval at which moves are planned.
PLAN_INTERVAL_S = 0.1

#: Delay before an order is repeated that had no response or was refused as
#: busy.
RETRY_DELAY_S = 0.3

#: Time for the worker of a machine that has just started to register.
REGISTRATION_TIMEOUT_S = 4.0

#: Expected time until a machine is empty, and from then on until its next
#: worker is in use.
EMPTYING_TIME_S = 0.7
MOVE_TIME_S = 2.0

#: Failed polls after which a worker counts as absent.
SILENT_POLLS = 2

#: A move is abandoned if its machine is not empty after this time, in which
#: nothing new starts on it.
MOVE_TIMEOUT_S = 2.5

#: Lowest rate of progress, in percent a second, in an expected time.
MIN_RATE = 1.0


class Operation:
    """The maintenance or the move of one machine.

    :ivar wave: number of the maintenance wave, 0 for a move.
    :ivar pool: target pool of a move, or empty.
    :ivar ordered: whether an order was sent.
    :ivar worker: worker on the machine when the order was first sent.
    :ivar carried_out: whether the platform has carried out the order.
    """

    def __init__(self, machine: Machine, now_s: float, wave=0, pool=""):
        """Initialise an operation that has not sent an order."""
        self.machine = machine
        self.wave = wave
        self.pool = pool
        self.started_s = now_s
        self.retry_at_s = now_s
        self.in_flight = False
        self.ordered = False
        self.carried_out = False
        self.carried_out_s = 0.0
        self.worker: Worker | None = None

    @property
    def name(self) -> str:
        """Return a description for logs and for the cordon reason."""
        return f"upkeep {self.wave}" if self.wave else f"move to {self.pool}"


class MachineOperations:
    """Carries out maintenance and moves of machines.

    :param state: shared state of the term.
    :param calls: calls to the platform about machines.
    :param store: store for the state that the next coordinator needs.
    :param orders: stops runs of long-running tasks.
    :param placement: provides the backlog of each pool.
    """

    def __init__(
        self,
        state: State,
        calls: MachineCalls,
        store: StoreCalls,
        orders: WorkerOrders,
        placement: Placement,
    ):
        """Initialise with no machines and no operations."""
        self.state = state
        self.calls = calls
        self.orders = orders
        self.machines: dict[str, Machine] = {}
        self.workers_by_machine: dict[str, Worker] = {}
        self.list_read_s = -1e9
        self.list_in_flight = False
        self.list_due_s = 0.0
        self.operations: dict[str, Operation] = {}
        self.next_plan_s = 0.0
        #: Processors of the largest worker seen.
        self.largest_processors = 1.0
        self.placement = placement
        self.planner = CapacityPlanner()
        self.takeover = Takeover(state, store, self.planner)
        self.waves = MaintenanceWaves(state, calls, self)

    def run(self, now_s: float) -> None:
        """Advance all operations and start those that are due."""
        self.workers_by_machine = {
            worker.record.machine: worker
            for worker in self.state.workers.values()
            if worker.record.machine and not worker.terminated
        }
        self.read_list(now_s)
        if self.list_read_s < 0:
            return
        for operation in list(self.operations.values()):
            self.advance(operation, now_s)
        self.waves.run(now_s)
        if now_s >= self.next_plan_s:
            self.next_plan_s = now_s + PLAN_INTERVAL_S
            self.start_moves(now_s)
        self.takeover.save(now_s)

    def read_list(self, now_s: float) -> None:
        """Read the machine list when it is due."""
        if self.list_in_flight or now_s < self.list_due_s:
            return
        self.list_in_flight = True
        self.list_due_s = now_s + (
            BUSY_LIST_INTERVAL_S if self.operations else LIST_INTERVAL_S
        )

        def handle_response(done: Future) -> None:
            # The list shows the state at the time of its request.
            self.list_in_flight = False
            if done.exception() or done.result() is None:
                self.state.metrics.incr("jobs.machine_lists_failed")
                return
            self.machines = {m.name: m for m in done.result()}
            up = [machine for machine in done.result() if machine.up]
            self.state.up_machines = up
            self.state.mark_changed()
            self.list_read_s = now_s

        self.calls.list_machines().add_done_callback(handle_response)

    def worker_of(self, machine: Machine) -> Worker | None:
        """Return the worker that runs on a machine, if it is known.

        Registrations are newer than the list, which is read once a second.
        """
        worker = self.workers_by_machine.get(machine.name)
        if worker is None:
            worker = self.state.workers.get(machine.worker)
        return worker

    def begin_maintenance(
        self, machine: Machine, wave: int, now_s: float
    ) -> None:
        """Start emptying a machine for its maintenance."""
        self.begin(Operation(machine, now_s, wave=wave))

    def begin(self, operation: Operation) -> None:
        """Begin an operation by emptying its machine."""
        name = operation.machine.name
        self.operations[name] = operation
        worker = self.worker_of(operation.machine)
        if worker:
            worker.cordon_reason = operation.name
        self.state.events.note(
            "machine.emptying",
            machine=name,
            why=operation.name,
            worker=operation.machine.worker,
            runs=len(worker.runs) if worker else 0,
        )

    def advance(self, operation: Operation, now_s: float) -> None:
        """Advance an operation by one step."""
        name = operation.machine.name
        machine = self.machines.get(name)
        if operation.carried_out:
            if self.list_read_s > operation.carried_out_s:
                self.confirm_outcome(operation, machine)
            return
        if machine is None or (not machine.up and not operation.ordered):
            self.abandon(operation, "the machine is not up")
            return
        if operation.in_flight or now_s < operation.retry_at_s:
            return
        expected_state = (
            MACHINE_MAINTENANCE if operation.wave else MACHINE_MOVING
        )
        if operation.ordered and machine.state == expected_state:
            # The order was carried out although its response was lost.
            self.record_carried_out(operation)
            return
        worker = self.worker_of(operation.machine)
        allowed = self.takeover.may_order(name, now_s) and (
            not operation.wave
            or operation.ordered
            or self.waves.may_begin(operation.wave)
        )
        if self.must_serve(operation, worker, allowed, now_s):
            worker.cordon_reason = ""
            # Short tasks that start meanwhile get the whole time to end.
            operation.started_s = now_s
            return
        if not allowed:
            return
        if operation.ordered:
            self.order(operation, now_s)
            return
        if worker is None or worker.terminated:
            # The worker of a machine that has just started registers soon.
            is_standby = machine.pool == self.standby_pool()
            if (
                is_standby
                or now_s - operation.started_s > REGISTRATION_TIMEOUT_S
            ):
                self.order(operation, now_s)
            return
        worker.cordon_reason = operation.name
        if self.may_take_down(operation, worker, now_s):
            self.order(operation, now_s)
            return
        self.stop_long_running(worker)
        if not operation.wave and (
            now_s - operation.started_s > MOVE_TIMEOUT_S
        ):
            self.abandon(operation, "it did not become empty")

    def must_serve(
        self,
        operation: Operation,
        worker: Worker | None,
        allowed: bool,
        now_s: float,
    ) -> bool:
        """Return whether a worker that is to be maintained serves meanwhile.

        That is so while no other worker of its pool takes tasks, unless it
        can be taken down now: tasks that wait, among them the ones that are
        moved off other workers of the pool, would have nowhere to run.

        :param allowed: whether the order may be sent now.
        """
        if not operation.wave or operation.ordered or worker is None:
            return False
        if worker.terminated or (allowed and self.may_interrupt(worker)):
            return False
        return not any(
            other is not worker
            and other.record.pool == worker.record.pool
            and self.placement.accepts_tasks(other, now_s)
            for other in self.state.workers.values()
        )

    def may_take_down(
        self, operation: Operation, worker: Worker, now_s: float
    ) -> bool:
        """Return whether a machine may be taken down or moved now."""
        if worker.failed_polls or not self.state.is_taken_over(worker):
            # Its runs are unknown, and it may respond again later; or it has
            # more ends to report.
            return False
        max_wait_s = self.state.settings.jobs.empty_s
        wait_expired = now_s - operation.started_s > max_wait_s
        for run in worker.runs.values():
            long_running = run.task and run.task.step.spec.long_running
            if not long_running and run.phase != STOPPING:
                if not (wait_expired and operation.wave):
                    return False
        return self.may_interrupt(worker)

    def stop_long_running(self, worker: Worker) -> None:
        """Stop long-running tasks on a worker, at most one of each step.

        They start again on other workers; the next ones are stopped once
        these are serving.
        """
        stopped: set = set()
        for run in list(worker.runs.values()):
            if not run.task or run.phase != RUNNING:
                continue
            step = run.task.step
            if not step.spec.long_running or step in stopped:
                continue
            unavailable = step.count_unavailable() - (not run.serving)
            if (
                not step.spec.max_unavailable
                or unavailable < step.spec.max_unavailable
            ):
                stopped.add(step)
                self.orders.stop(run, "its machine is being emptied")

    def may_interrupt(self, worker: Worker) -> bool:
        """Return whether a worker's long-running tasks may be interrupted.

        A task that was not serving in the latest report may serve by now.
        """
        here: dict[StepState, set[Task]] = {}
        for run in worker.runs.values():
            task = run.task
            if task and task.step.spec.long_running and run.phase != STOPPING:
                here.setdefault(task.step, set()).add(task)
        return all(
            not step.spec.max_unavailable
            or len(tasks) + count_away(step, tasks)
            <= step.spec.max_unavailable
            for step, tasks in here.items()
        )

    def order(self, operation: Operation, now_s: float) -> None:
        """Send the order of an operation for the first time or again."""
        state = self.state
        if not operation.ordered:
            operation.worker = self.worker_of(operation.machine)
        operation.ordered = True
        operation.in_flight = True
        operation.retry_at_s = now_s + RETRY_DELAY_S
        term = state.term
        name = operation.machine.name
        if operation.worker:
            operation.worker.termination_pending = True
        if operation.wave:
            call = self.calls.start_maintenance(
                name, operation.wave, term.node, term.fence
            )
        else:
            call = self.calls.move(name, operation.pool, term.node, term.fence)
        call.add_done_callback(
            lambda done: self.handle_order_response(operation, done)
        )

    def handle_order_response(
        self, operation: Operation, done: Future
    ) -> None:
        """Handle the response to an order."""
        state = self.state
        operation.in_flight = False
        reason = str(done.exception() or done.result())
        name = operation.machine.name
        worker = self.worker_of(operation.machine)
        state.events.note(
            "machine.ordered",
            machine=name,
            what=operation.name,
            outcome=reason or "carried out",
            runs=len(worker.runs) if worker else 0,
            fence=state.term.fence,
        )
        if done.exception():
            return
        if reason == "busy" and self.machines.get(name):
            # An earlier order may still be in progress.
            return
        if reason:
            if reason == "wave" and operation.wave:
                self.waves.record_started(operation.wave, name)
            self.abandon(operation, reason)
            return
        self.record_carried_out(operation)

    def record_carried_out(self, operation: Operation) -> None:
        """Record that an operation was carried out.

        An earlier coordinator may have carried it out long ago, in which
        case the runs on the machine continue; only the list shows this.
        """
        operation.carried_out = True
        operation.carried_out_s = self.state.clock()
        self.list_due_s = operation.carried_out_s
        self.state.metrics.incr("jobs.machine_orders")
        if operation.wave:
            self.waves.record_started(operation.wave, operation.machine.name)

    def confirm_outcome(
        self, operation: Operation, machine: Machine | None
    ) -> None:
        """Finish an operation from a list newer than the order's response."""
        worker = operation.worker
        # The list may lack a worker that has only just registered.
        same_worker = worker and machine and machine.worker in ("", worker.id)
        if worker and not (same_worker and machine.up):
            # Its runs have ended with the order.
            worker.terminated = True
            self.state.mark_changed()
        elif worker:
            worker.cordon_reason = ""
            worker.termination_pending = False
        if not machine or machine.up:
            self.operations.pop(operation.machine.name, None)

    def abandon(self, operation: Operation, why: str) -> None:
        """Abandon an operation that will not be carried out."""
        self.operations.pop(operation.machine.name, None)
        worker = self.worker_of(operation.machine)
        if worker:
            worker.cordon_reason = ""
            worker.termination_pending = False
        self.state.events.note(
            "machine.given_up",
            machine=operation.machine.name,
            what=operation.name,
            why=why,
        )

    def start_moves(self, now_s: float) -> None:
        """Start the moves that the planner proposes."""
        if not self.state.lease_confirmed():
            return
        standby = self.standby_pool()
        peaks_before = len(self.planner.forecast.peaks)
        moves = self.planner.plan_moves(
            self.pool_loads(now_s),
            standby,
            self.movable_machines(now_s),
            now_s,
        )
        if len(self.planner.forecast.peaks) > peaks_before:
            self.state.events.note(
                "pool.turn",
                pool=self.planner.forecast.peak_pool,
                spacing_s=round(self.planner.forecast.interval_s(), 2),
            )
        for machine, pool in moves:
            self.begin(Operation(machine, now_s, pool=pool))
        self.placement.arrivals = self.expected_arrivals()

    def expected_arrivals(self) -> dict[str, list[Arrival]]:
        """Return the machines that are on their way to each pool."""
        arrivals: dict[str, list[Arrival]] = {}
        for operation in self.operations.values():
            if not operation.pool:
                continue
            left_s = operation.carried_out_s or (
                operation.started_s + EMPTYING_TIME_S
            )
            worker = self.worker_of(operation.machine)
            processors = (
                worker.record.capacity.processors
                if worker
                else self.largest_processors
            )
            arrivals.setdefault(operation.pool, []).append(
                Arrival(left_s + MOVE_TIME_S, processors)
            )
        return arrivals

    def standby_pool(self) -> str:
        """Return the pool whose machines are off, or an empty string."""
        pools = self.state.manifest.pools.values()
        return next((pool.name for pool in pools if pool.standby), "")

    def pool_loads(self, now_s: float) -> dict[str, PoolLoad]:
        """Return the load of each pool that has queues."""
        state = self.state
        pools = {queue.pool for queue in state.manifest.queues.values()}
        machines: Counter[str] = Counter()
        absent: Counter[str] = Counter()
        forecasts = {
            pool: state.arrivals.forecast(pool, now_s) for pool in pools
        }
        biases = {pool: state.estimate_bias.mean(pool) for pool in pools}
        for machine in self.machines.values():
            operation = self.operations.get(machine.name)
            if operation and operation.pool:
                machines[operation.pool] += 1
            elif self.is_usable(machine):
                machines[machine.pool] += 1
            else:
                absent[machine.pool] += 1
        allocated: Counter[str] = Counter()
        long_running: Counter[str] = Counter()
        processors: dict[str, float] = {}
        for worker in state.workers.values():
            record = worker.record
            allocated[record.pool] += worker.allocated.processors
            long_running[record.pool] += worker.long_running.processors
            processors[record.pool] = max(
                processors.get(record.pool, 0.0), record.capacity.processors
            )
        default_processors = max(processors.values(), default=1.0) or 1.0
        self.largest_processors = default_processors
        return {
            pool: PoolLoad(
                machines[pool],
                processors.get(pool, default_processors) or default_processors,
                allocated[pool],
                self.placement.backlog[pool],
                long_running[pool],
                forecasts[pool].expected * biases[pool],
                forecasts[pool].certain * biases[pool],
                absent[pool],
            )
            for pool in pools
            if machines[pool] or absent[pool] or self.placement.backlog[pool]
        }

    def is_usable(self, machine: Machine) -> bool:
        """Return whether a machine runs tasks, or will within a move's time.

        Machines under maintenance and those of a dark rack don't.
        """
        if machine.state not in (MACHINE_UP, MACHINE_MOVING):
            return False
        worker = self.worker_of(machine)
        return not worker or worker.failed_polls <= SILENT_POLLS

    def movable_machines(self, now_s: float) -> list[MovableMachine]:
        """Return the machines that may be moved to another pool now."""
        pending = self.waves.pending_machines()
        found = []
        standby = self.standby_pool()
        for machine in self.machines.values():
            if (
                not machine.up
                or machine.name in self.operations
                or machine.name in pending
                or self.takeover.is_excluded(machine.name, now_s)
            ):
                continue
            worker = self.worker_of(machine)
            if machine.pool == standby:
                found.append(MovableMachine(machine, 0))
            elif worker and self.is_movable(worker, now_s):
                empty_in_s = self.time_until_empty_s(worker, now_s)
                found.append(
                    MovableMachine(machine, len(worker.runs), empty_in_s)
                )
        return found

    def time_until_empty_s(self, worker: Worker, now_s: float) -> float:
        """Return the expected time until the short runs of a worker end."""
        return max(
            (
                run.task.step.estimate_s - (now_s - run.started_s)
                if run.rate is None
                else (100 - run.percent) / max(run.rate, MIN_RATE)
                for run in worker.runs.values()
                if run.task
            ),
            default=0.0,
        )

    def is_movable(self, worker: Worker, now_s: float) -> bool:
        """Return whether a worker's machine may move to another pool."""
        term = self.state.term
        return (
            self.state.is_taken_over(worker)
            and not worker.failed_polls
            and not worker.terminated
            and not worker.record.leaving
            and (
                now_s - worker.first_seen_s > MIN_STAY_S
                or worker.first_seen_s - term.began_s < INHERITED_WITHIN_S
            )
            and not any(
                run.task is None or run.task.step.spec.long_running
                for run in worker.runs.values()
            )
        )


def count_away(step: StepState, excluded: set[Task]) -> int:
    """Return how many tasks of a step, of all but some, don't serve."""
    return sum(
        not any(run.serving for run in task.runs)
        for task in step.tasks
        if task not in excluded
    )
