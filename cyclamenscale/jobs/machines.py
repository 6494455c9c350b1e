"""Operations on machines: upkeep, and moves between pools.

A machine is emptied first: nothing new starts on it, short tasks end, and
lasting tasks are interrupted only as far as their steps allow. Orders that
had no answer are repeated; the platform accepts one that is already done.
"""

from collections import Counter
from concurrent.futures import Future

from cyclamenscale.jobs.capacity import (
    STAY_S,
    Capacity,
    PoolLoad,
    Spare,
)
from cyclamenscale.jobs.model import (
    MACHINE_MAINTENANCE,
    MACHINE_MOVING,
    Machine,
)
from cyclamenscale.jobs.orders import Orders
from cyclamenscale.jobs.placement import Placement
from cyclamenscale.jobs.ports import MachineCalls, StoreCalls
from cyclamenscale.jobs.state import State
from cyclamenscale.jobs.takeover import Takeover
from cyclamenscale.jobs.waves import Waves
from cyclamenscale.jobs.worker import RUNNING, STOPPING, Worker

#: Time between reads of the list of machines.
LIST_S = 1.0
LIST_BUSY_S = 0.4

#: Pause before an order that was refused or not answered is repeated.
RETRY_S = 0.3

#: Time for the worker of a machine that has just come up to register.
REGISTER_S = 4.0

#: A move is given up if its machine is not empty by then.
MOVE_PATIENCE_S = 4.0


class Operation:
    """An upkeep or a move of one machine.

    :ivar wave: number of the wave, 0 for a move.
    :ivar pool: target of a move, or empty.
    :ivar ordered: whether an order was sent.
    :ivar worker: worker that was there when the order was first sent.
    :ivar carried_out: whether the platform said that it was done.
    """

    def __init__(self, machine: Machine, now_s: float, wave=0, pool=""):
        """Start emptying the machine."""
        self.machine = machine
        self.wave = wave
        self.pool = pool
        self.since_s = now_s
        self.retry_s = now_s
        self.in_flight = False
        self.ordered = False
        self.carried_out = False
        self.done_s = 0.0
        self.worker: Worker | None = None

    @property
    def name(self) -> str:
        """Return what it is, for logs and as the reason of a cordon."""
        return f"upkeep {self.wave}" if self.wave else f"move to {self.pool}"


class Machines:
    """Carries out upkeep and moves.

    :param state: shared knowledge.
    :param calls: the platform's machines.
    :param store: keeps what the next coordinator has to know.
    :param orders: stops lasting runs.
    :param placement: tells the backlog.
    """

    def __init__(
        self,
        state: State,
        calls: MachineCalls,
        store: StoreCalls,
        orders: Orders,
        placement: Placement,
    ):
        """Start without knowledge of machines."""
        self.state = state
        self.calls = calls
        self.orders = orders
        self.machines: dict[str, Machine] = {}
        self.by_machine: dict[str, Worker] = {}
        self.listed_s = -1e9
        self.list_in_flight = False
        self.list_due_s = 0.0
        self.operations: dict[str, Operation] = {}
        self.placement = placement
        self.capacity = Capacity()
        self.handover = Takeover(state, store, self.capacity)
        self.waves = Waves(state, calls, self)

    def run(self, now_s: float) -> None:
        """Decide on everything that has a time."""
        self.by_machine = {
            worker.entry.machine: worker
            for worker in self.state.workers.values()
            if worker.entry.machine and not worker.gone
        }
        self.read_list(now_s)
        if self.listed_s < 0:
            return
        for operation in list(self.operations.values()):
            self.advance(operation, now_s)
        self.waves.run(now_s)
        self.run_moves(now_s)
        self.handover.save(now_s)

    def read_list(self, now_s: float) -> None:
        """Read the list when it is due."""
        if self.list_in_flight or now_s < self.list_due_s:
            return
        self.list_in_flight = True
        self.list_due_s = now_s + (LIST_BUSY_S if self.operations else LIST_S)

        def answered(done: Future) -> None:
            # The list shows what was the case when it was asked for.
            self.list_in_flight = False
            if done.exception() or done.result() is None:
                self.state.metrics.incr("jobs.machine_lists_failed")
                return
            self.machines = {m.name: m for m in done.result()}
            up = [machine for machine in done.result() if machine.up]
            self.state.up_machines = up
            self.state.touch()
            self.listed_s = now_s

        self.calls.list_machines().add_done_callback(answered)

    def worker_of(self, machine: Machine) -> Worker | None:
        """Return the worker that runs on a machine, if it is known.

        Registrations are newer than the list, which is read by the second.
        """
        worker = self.by_machine.get(machine.name)
        if worker is None:
            worker = self.state.workers.get(machine.worker)
        return worker

    def begin_upkeep(self, machine: Machine, wave: int, now_s: float) -> None:
        """Start emptying a machine for its upkeep."""
        self.begin(Operation(machine, now_s, wave=wave))

    def begin(self, operation: Operation) -> None:
        """Start emptying a machine."""
        name = operation.machine.name
        self.operations[name] = operation
        worker = self.worker_of(operation.machine)
        if worker:
            worker.cordoned = operation.name
        self.state.events.note(
            "machine.emptying",
            machine=name,
            why=operation.name,
            worker=operation.machine.worker,
            runs=len(worker.runs) if worker else 0,
        )

    def advance(self, operation: Operation, now_s: float) -> None:
        """Take an operation to its next step."""
        name = operation.machine.name
        machine = self.machines.get(name)
        if operation.carried_out:
            if self.listed_s > operation.done_s:
                self.settle(operation, machine)
            return
        if machine is None or (not machine.up and not operation.ordered):
            self.give_up(operation, "the machine is not up")
            return
        if operation.in_flight or now_s < operation.retry_s:
            return
        under_way = MACHINE_MAINTENANCE if operation.wave else MACHINE_MOVING
        if operation.ordered and machine.state == under_way:
            # The order was carried out although its answer was lost.
            self.carry_out(operation)
            return
        if not self.handover.may_order(name, now_s):
            return
        if operation.wave and not operation.ordered:
            if not self.waves.may_begin(operation.wave):
                return
        worker = self.worker_of(operation.machine)
        if operation.ordered:
            self.order(operation, now_s)
            return
        if worker is None or worker.gone:
            # A machine that has just come up registers within seconds.
            off = machine.pool == self.standby_pool()
            if off or now_s - operation.since_s > REGISTER_S:
                self.order(operation, now_s)
            return
        worker.cordoned = operation.name
        if self.is_empty(operation, worker, now_s):
            self.order(operation, now_s)
            return
        self.relocate(worker)
        if not operation.wave and (
            now_s - operation.since_s > MOVE_PATIENCE_S
        ):
            self.give_up(operation, "it did not become empty")

    def is_empty(
        self, operation: Operation, worker: Worker, now_s: float
    ) -> bool:
        """Return whether a machine may be taken away now."""
        if worker.failed_looks or worker.fence != self.state.term.fence:
            # Nothing is known of it; it may be silent for a while only.
            return False
        patience_s = self.state.settings.jobs.empty_s
        waited = now_s - operation.since_s > patience_s
        for run in worker.runs.values():
            lasting = run.task and run.task.step.spec.long_running
            if not lasting and run.phase != STOPPING:
                if not (waited and operation.wave):
                    return False
        return self.may_interrupt(worker)

    def relocate(self, worker: Worker) -> None:
        """Stop lasting tasks that keep a machine, a few at a time.

        They start again on other workers; the next ones follow once these
        are at work.
        """
        stopped: set = set()
        for run in list(worker.runs.values()):
            if not run.task or run.phase != RUNNING:
                continue
            step = run.task.step
            if not step.spec.long_running or step in stopped:
                continue
            away = step.away() - (not run.at_work)
            if (
                not step.spec.max_unavailable
                or away < step.spec.max_unavailable
            ):
                stopped.add(step)
                self.orders.stop(run, "its machine is being emptied")

    def may_interrupt(self, worker: Worker) -> bool:
        """Return whether the lasting tasks on a worker may be away."""
        steps: dict = {}
        for run in worker.runs.values():
            if run.task and run.task.step.spec.long_running:
                step = run.task.step
                steps[step] = steps.get(step, 0) + bool(run.at_work)
        return all(
            not step.spec.max_unavailable
            or step.away() + here <= step.spec.max_unavailable
            or not here
            for step, here in steps.items()
        )

    def order(self, operation: Operation, now_s: float) -> None:
        """Send the order of an operation, the first time or again."""
        state = self.state
        if not operation.ordered:
            operation.worker = self.worker_of(operation.machine)
        operation.ordered = True
        operation.in_flight = True
        operation.retry_s = now_s + RETRY_S
        term = state.term
        name = operation.machine.name
        if operation.worker:
            operation.worker.condemned = True
        if operation.wave:
            answer = self.calls.start_maintenance(
                name, operation.wave, term.node, term.fence
            )
        else:
            answer = self.calls.move(
                name, operation.pool, term.node, term.fence
            )
        answer.add_done_callback(lambda done: self.answered(operation, done))

    def answered(self, operation: Operation, done: Future) -> None:
        """Take the answer to an order."""
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
            # It may be an earlier order that is being carried out.
            return
        if reason:
            if reason == "wave" and operation.wave:
                self.waves.note_done(operation.wave, name)
            self.give_up(operation, reason)
            return
        self.carry_out(operation)

    def carry_out(self, operation: Operation) -> None:
        """Note that an operation is carried out.

        An earlier holder may have carried it out long ago, in which case
        the runs on the machine go on; only the list tells.
        """
        operation.carried_out = True
        operation.done_s = self.state.clock()
        self.list_due_s = operation.done_s
        self.state.metrics.incr("jobs.machine_orders")
        if operation.wave:
            self.waves.note_done(operation.wave, operation.machine.name)

    def settle(self, operation: Operation, machine: Machine | None) -> None:
        """Follow a listing that is newer than the platform's answer."""
        worker = operation.worker
        # The list may lack a worker that has registered just now.
        same = worker and machine and machine.worker in ("", worker.id)
        if worker and not (same and machine.up):
            # What ran there has ended with the order.
            worker.gone = True
            self.state.touch()
        elif worker:
            worker.cordoned = ""
            worker.condemned = False
        if not machine or machine.up:
            self.operations.pop(operation.machine.name, None)

    def give_up(self, operation: Operation, why: str) -> None:
        """End an operation that will not be carried out."""
        self.operations.pop(operation.machine.name, None)
        worker = self.worker_of(operation.machine)
        if worker:
            worker.cordoned = ""
            worker.condemned = False
        self.state.events.note(
            "machine.given_up",
            machine=operation.machine.name,
            what=operation.name,
            why=why,
        )

    def run_moves(self, now_s: float) -> None:
        """Start moves that pay."""
        if not self.state.proven():
            return
        standby = self.standby_pool()
        turns = len(self.capacity.rhythm.turns)
        moves = self.capacity.moves(
            self.loads(), standby, self.spares(now_s), now_s
        )
        if len(self.capacity.rhythm.turns) > turns:
            self.state.events.note(
                "pool.turn",
                pool=self.capacity.rhythm.hot,
                spacing_s=round(self.capacity.rhythm.spacing_s(), 2),
            )
        for machine, pool in moves:
            self.begin(Operation(machine, now_s, pool=pool))

    def standby_pool(self) -> str:
        """Return the pool whose machines are off, or an empty text."""
        pools = self.state.manifest.pools.values()
        return next((pool.name for pool in pools if pool.standby), "")

    def loads(self) -> dict[str, PoolLoad]:
        """Return the load of each pool that has queues."""
        state = self.state
        pools = {queue.pool for queue in state.manifest.queues.values()}
        counts: Counter[str] = Counter()
        for machine in self.machines.values():
            operation = self.operations.get(machine.name)
            target = operation.pool if operation else ""
            counts[target or machine.pool] += 1
        used: Counter[str] = Counter()
        lasting: Counter[str] = Counter()
        size: dict[str, float] = {}
        for worker in state.workers.values():
            entry = worker.entry
            used[entry.pool] += worker.used.processors
            lasting[entry.pool] += sum(
                run.need.processors
                for run in worker.runs.values()
                if run.task
                and run.task.step.spec.long_running
                and not run.fills
            )
            size[entry.pool] = max(
                size.get(entry.pool, 0.0), entry.capacity.processors
            )
        default = max(size.values(), default=1.0) or 1.0
        return {
            pool: PoolLoad(
                counts[pool],
                size.get(pool, default) or default,
                used[pool],
                self.placement.backlog[pool],
                lasting[pool],
            )
            for pool in pools
            if counts[pool] or self.placement.backlog[pool]
        }

    def spares(self, now_s: float) -> list[Spare]:
        """Return the machines that may be moved now."""
        due = self.waves.due()
        found = []
        standby = self.standby_pool()
        for machine in self.machines.values():
            if (
                not machine.up
                or machine.name in self.operations
                or machine.name in due
                or self.handover.is_excluded(machine.name, now_s)
            ):
                continue
            worker = self.worker_of(machine)
            if machine.pool == standby:
                found.append(Spare(machine, 0))
            elif worker and self.is_spare(worker, now_s):
                found.append(Spare(machine, len(worker.runs)))
        return found

    def is_spare(self, worker: Worker, now_s: float) -> bool:
        """Return whether a worker's machine could go to another pool."""
        return (
            worker.fence == self.state.term.fence
            and not worker.failed_looks
            and not worker.gone
            and not worker.entry.leaving
            and now_s - worker.first_seen_s > STAY_S
            and not any(
                run.task is None or run.task.step.spec.long_running
                for run in worker.runs.values()
            )
        )
