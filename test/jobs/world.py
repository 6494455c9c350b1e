"""Doubles of the store, the workers and the machines, on a virtual clock.

They respond at once unless a test sets another mode, and check the platform's
rules at each call; violations are collected in ``World.violations``.
"""

from collections import Counter
from concurrent.futures import Future
from itertools import count

from cyclamenscale.errors import (
    CallUnansweredError,
    StoreAnswerLostError,
    StoreUnavailableError,
)
from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.coordinator import Coordinator, Ports
from cyclamenscale.jobs.entry import restore_jobs
from cyclamenscale.jobs.job_index import JobIndex
from cyclamenscale.jobs.keys import LEADER, job_key, wave_key
from cyclamenscale.jobs.model import (
    EndReport,
    JobRecord,
    JobSpec,
    Machine,
    Manifest,
    Pool,
    Queue,
    Recurrence,
    RunReport,
    Step,
    WorkerRecord,
    WorkerReport,
)
from cyclamenscale.jobs.polling import MAX_REPORTED_ENDS
from cyclamenscale.jobs.ports import (
    MachineCalls,
    OrderResponse,
    StoreCalls,
    WorkerCalls,
)
from cyclamenscale.jobs.queue_history import QueueHistory
from cyclamenscale.jobs.state import State, Term
from cyclamenscale.metrics import Metrics
from cyclamenscale.settings import Settings
from cyclamenscale.store.port import (
    Compare,
    KeyValue,
    Put,
    RangeResult,
    TxnResult,
)
from cyclamenscale.util.clock import VirtualClock
from cyclamenscale.util.codec import encode_record
from cyclamenscale.util.events import EventLog
from cyclamenscale.util.loop import chain_future

QUEUE = Queue("replan", "h", "/p/", "pool-a", 0, 2, 1.6, 600.0)
CAPACITY = Resources(64.0, 256.0, 0)

#: Interval at which workers write to the registry.
REGISTRATION_INTERVAL_S = 1.5

#: Longest lease that a worker grants, as in the default settings.
LONGEST_LEASE_MS = 10000

#: Orders starts and ends that happen at the same virtual time.
SEQUENCE = count(1)


def settled(value=None, error: Exception | None = None) -> Future:
    """Return a future that is already settled."""
    future: Future = Future()
    if error:
        future.set_exception(error)
    else:
        future.set_result(value)
    return future


class FakeStore(StoreCalls):
    """An in-memory store.

    :ivar mode: ``up``, ``down``, ``lost`` (applied without a response),
        ``late`` (applied at :meth:`release`, without a response) or
        ``silent`` (no response until :meth:`expire`).
    """

    def __init__(self):
        """Initialise with no keys."""
        self.items: dict[str, KeyValue] = {}
        self.revision = 10
        self.mode = "up"
        self.txn_count = 0
        self.delayed: list[tuple] = []
        self.unanswered: list[Future] = []

    def put(self, key: str, value: bytes = b"", lease: int = 0) -> int:
        """Write a key as an operator or the holder of a lease does."""
        self.revision += 1
        old = self.items.get(key)
        created = old.create_revision if old else self.revision
        self.items[key] = KeyValue(key, value, created, self.revision, lease)
        return self.revision

    def txn(self, compares, writes):
        """Apply all writes if all comparisons hold."""
        assert len(compares) + len(writes) <= 32
        if self.mode == "down":
            return settled(error=StoreUnavailableError("txn", "test"))
        if self.mode == "silent":
            self.unanswered.append(Future())
            return self.unanswered[-1]
        if self.mode == "late":
            self.delayed.append((compares, writes))
            return settled(error=StoreAnswerLostError("txn", "test"))
        result = self.apply_txn(compares, writes)
        if self.mode == "lost":
            return settled(error=StoreAnswerLostError("txn", "test"))
        return settled(result)

    def apply_txn(self, compares, writes) -> TxnResult:
        """Apply a transaction."""
        self.txn_count += 1
        current = {
            c.key: self.items[c.key] for c in compares if c.key in self.items
        }
        for compare in compares:
            found = current.get(compare.key)
            if (found.mod_revision if found else 0) != compare.mod_revision:
                return TxnResult(False, 0, current)
        self.revision += 1
        for write in writes:
            old = self.items.pop(write.key, None)
            if isinstance(write, Put):
                created = old.create_revision if old else self.revision
                self.items[write.key] = KeyValue(
                    write.key,
                    write.value,
                    created,
                    self.revision,
                    write.lease,
                )
        return TxnResult(True, self.revision, {})

    def expire(self) -> None:
        """Let the calls without a response time out."""
        unanswered, self.unanswered = self.unanswered, []
        for call in unanswered:
            call.set_exception(StoreAnswerLostError("txn", "test"))

    def release(self) -> None:
        """Apply the delayed transactions."""
        delayed, self.delayed = self.delayed, []
        for compares, writes in delayed:
            self.apply_txn(compares, writes)

    def read(self, key):
        """Read a key."""
        if self.mode == "down":
            return settled(error=StoreUnavailableError("read", "test"))
        return settled(self.items.get(key))

    def read_range(self, prefix):
        """Read all keys under a prefix."""
        if self.mode == "down":
            return settled(error=StoreUnavailableError("range", "test"))
        found = [kv for k, kv in self.items.items() if k.startswith(prefix)]
        return settled(RangeResult(self.revision, found))

    def watch(self, prefix, after, wait_ms):
        """Return a future that never completes."""
        return Future()

    def grant_lease(self, ttl_ms):
        """Grant a lease."""
        if self.mode == "down":
            return settled(error=StoreUnavailableError("lease", "test"))
        self.revision += 1
        return settled(self.revision)

    def renew_lease(self, lease):
        """Renew a lease."""
        if self.mode == "down":
            return settled(error=StoreUnavailableError("keep", "test"))
        return settled(True)

    def revoke_lease(self, lease):
        """Revoke a lease and delete its keys."""
        for key in [k for k, kv in self.items.items() if kv.lease == lease]:
            del self.items[key]
            self.revision += 1
        return settled()


class FakeWorker:
    """A worker of the platform: runs, ends, fencing token and task lease.

    :ivar mode: ``up``, ``dark`` (unreachable), ``lost`` (carries calls out
        without a response), ``late`` (carries them out at
        :meth:`FakeWorkers.release`, without a response) or ``late_starts``
        (the same for starts only).
    """

    def __init__(self, entry: WorkerRecord, clock: VirtualClock):
        """Initialise with no runs."""
        self.entry = entry
        self.clock = clock
        self.started_s = clock() - 1.0
        self.fence = 0
        self.deadline_ms = 0
        self.runs: dict[tuple[str, int], float] = {}
        self.ends: list[EndReport] = []
        self.ends_count = 0
        #: Position in ``SEQUENCE`` of each end, by its number.
        self.end_positions: dict[int, int] = {}
        #: Numbers of the ends after which the lease has expired before they
        #: were acknowledged.
        self.ends_before_expiry: set[int] = set()
        self.stopped: dict[str, int] = {}
        self.mode = "up"
        #: Fencing tokens of coordinators that do not reach it.
        self.unreachable_by: set[int] = set()
        self.capacity = entry.capacity

    def now_ms(self) -> int:
        """Return the time of the worker's own clock."""
        return int((self.clock() - self.started_s) * 1000)

    def extend_lease(self, deadline_ms: int) -> None:
        """Extend the lease, at most to the platform's maximum."""
        longest_ms = self.now_ms() + LONGEST_LEASE_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest_ms))

    def expire_lease(self) -> None:
        """Kill all runs once their lease has expired.

        Only runs hold a lease: ends that are listed when nothing is running
        stay valid, unless nobody reaches the worker, which then counts as
        gone.
        """
        if self.now_ms() < self.deadline_ms:
            return
        if not self.runs and self.mode != "dark":
            return
        self.ends_before_expiry.update(end.number for end in self.ends)
        for key in list(self.runs):
            self.end(key, "lapsed")

    def end(
        self, key: tuple[str, int], outcome: str, checkpoint: str = ""
    ) -> None:
        """End a run."""
        del self.runs[key]
        self.ends_count += 1
        self.end_positions[self.ends_count] = next(SEQUENCE)
        self.ends.append(EndReport(self.ends_count, *key, outcome, checkpoint))
        self.stopped[key[0]] = max(self.stopped.get(key[0], 0), key[1])


class FakeWorkers(WorkerCalls):
    """The workers of a world."""

    def __init__(self, world: "World"):
        """Initialise with no workers."""
        self.world = world
        self.workers: dict[str, FakeWorker] = {}
        self.delayed: list = []
        #: Reasons for which workers refuse all starts, by worker id.
        self.refusals: dict[str, str] = {}
        #: Workers whose polls wait, and the waiting polls.
        self.polls_held: set[str] = set()
        self.held_polls: list[tuple] = []

    def refuse_starts(self, worker: str, reason: str) -> None:
        """Let a worker refuse new calls to start; empty to accept them."""
        self.refusals[worker] = reason

    def deliver(self, record, carry_out, order, is_start=False):
        """Carry out a call according to the worker's mode."""
        worker = self.workers.get(record.id)
        lost = settled(error=CallUnansweredError("silent"))
        if worker is None or worker.mode == "dark":
            return lost
        if order.fence in worker.unreachable_by:
            return lost
        worker.expire_lease()
        if worker.mode == "late" or (
            is_start and worker.mode == "late_starts"
        ):
            self.delayed.append((worker, carry_out))
            return lost
        response = carry_out(worker)
        return lost if worker.mode == "lost" else settled(response)

    def release(self) -> None:
        """Carry out the delayed calls."""
        delayed, self.delayed = self.delayed, []
        for worker, carry_out in delayed:
            worker.expire_lease()
            carry_out(worker)

    def hold_polls(self, worker: str) -> None:
        """Let the polls of a worker wait until :meth:`release_polls`."""
        self.polls_held.add(worker)

    def release_polls(self) -> None:
        """Carry out the waiting polls."""
        self.polls_held.clear()
        held, self.held_polls = self.held_polls, []
        for outcome, arguments in held:
            chain_future(self.poll(*arguments), outcome)

    def start(self, worker, order):
        """Start a task."""
        refusal = self.refusals.get(worker.id, "")

        def carry_out(found: FakeWorker) -> OrderResponse:
            clock_ms = found.now_ms()
            key = (order.task, order.run)
            if order.fence < found.fence:
                return OrderResponse(False, "fence", clock_ms)
            found.fence = order.fence
            if refusal:
                return OrderResponse(False, refusal, clock_ms)
            if key in found.runs:
                return OrderResponse(True, "", clock_ms)
            if order.run <= found.stopped.get(order.task, 0):
                return OrderResponse(False, "old", clock_ms)
            if order.deadline_ms <= clock_ms:
                return OrderResponse(False, "late", clock_ms)
            found.extend_lease(order.deadline_ms)
            self.world.check_start(found, order)
            self.world.starts.setdefault(order.task, []).append(next(SEQUENCE))
            self.world.on_start(order)
            found.runs[key] = self.world.clock()
            return OrderResponse(True, "", clock_ms)

        return self.deliver(worker, carry_out, order, is_start=True)

    def stop(self, worker, order):
        """Stop a run."""

        def carry_out(found: FakeWorker) -> OrderResponse:
            clock_ms = found.now_ms()
            if order.fence < found.fence:
                return OrderResponse(False, "fence", clock_ms)
            found.fence = order.fence
            key = (order.task, order.run)
            if key in found.runs:
                found.end(key, "stopped")
            else:
                found.stopped[order.task] = max(
                    found.stopped.get(order.task, 0), order.run
                )
            return OrderResponse(True, "", clock_ms)

        return self.deliver(worker, carry_out, order)

    def throttle(self, worker, order):
        """Throttle a run."""
        self.world.throttle_orders.append(order)
        return settled(OrderResponse(True))

    def poll(self, worker, request, new_connection=False):
        """Respond to a poll and renew the lease of the runs."""
        if worker.id in self.polls_held:
            outcome: Future = Future()
            self.held_polls.append((outcome, (worker, request)))
            return outcome

        def carry_out(found: FakeWorker):
            clock_ms = found.now_ms()
            if request.fence < found.fence:
                return OrderResponse(False, "fence", clock_ms)
            found.fence = request.fence
            found.extend_lease(request.deadline_ms)
            for end in found.ends:
                if end.number <= request.acknowledged_end:
                    self.world.record_acknowledged(found, end)
            found.ends = [
                end
                for end in found.ends
                if end.number > request.acknowledged_end
            ]
            return WorkerReport(
                clock_ms,
                found.entry.started_ms,
                tuple(
                    RunReport(task, run, "", self.world.percent(task))
                    for task, run in found.runs
                ),
                tuple(found.ends[:MAX_REPORTED_ENDS]),
            )

        return self.deliver(worker, carry_out, request)

    def advise(self, step, workers, expected_ms):
        """Allow every second worker."""
        self.world.advice_calls.append((step, workers))
        return settled({worker: f"t-{worker}" for worker in workers[::2]})


class FakeMachines(MachineCalls):
    """The machines of a world, one for each worker."""

    def __init__(self, world: "World"):
        """Initialise with no machines."""
        self.world = world
        self.machines: dict[str, Machine] = {}
        self.orders: list[tuple] = []
        self.reports: list[tuple[int, int, bool]] = []
        self.lose_responses = False

    def list_machines(self):
        """Return all machines."""
        return settled(list(self.machines.values()))

    def take_down(self, name: str, state: str, order: tuple) -> Future:
        """Carry out an order that takes a machine down."""
        machine = self.machines[name]
        if order in self.orders:
            return settled("")
        if not machine.up:
            return settled("busy")
        self.orders.append(order)
        self.world.check_interrupted(machine.worker)
        self.world.workers.workers.pop(machine.worker, None)
        self.machines[name] = machine._replace(
            up=False, state=state, worker=""
        )
        if self.lose_responses:
            return settled(error=CallUnansweredError("lost"))
        return settled("")

    def move(self, machine, pool, holder, fence):
        """Move a machine."""
        return self.take_down(machine, "moving", ("move", machine, pool))

    def start_maintenance(self, machine, wave, holder, fence):
        """Take a machine down for maintenance."""
        return self.take_down(machine, "upkeep", ("upkeep", machine, wave))

    def report_wave(self, wave, record, fence, revision):
        """Store a report."""
        self.reports.append(
            (wave, len(record.started), record.completion_reported)
        )
        key = wave_key(wave)
        return self.world.store.txn(
            [Compare(LEADER, fence), Compare(key, revision)],
            [Put(key, encode_record(record))],
        )


class FakeLease:
    """A coordinator's lease, confirmed until a test loses it."""

    def __init__(self, clock: VirtualClock):
        """Initialise as confirmed."""
        self.clock = clock
        self.lost_s: float | None = None

    def __call__(self, slack_s: float = 0.0) -> bool:
        """Return whether the lease is confirmed, or was ``slack_s`` ago."""
        return self.lost_s is None or self.clock() < self.lost_s + slack_s

    def lose(self) -> None:
        """Stop confirming the lease."""
        if self.lost_s is None:
            self.lost_s = self.clock()


class World:
    """Store, workers, machines and one coordinator at a time.

    :ivar violations: descriptions of the violated rules.
    :ivar reported_percent: progress that a task's worker reports, by task
        name; 100 if not set.
    """

    def __init__(self, workers: int = 4, pools: tuple[str, ...] = ("pool-a",)):
        """Initialise with healthy workers in each pool, no coordinator."""
        self.clock = VirtualClock(100.0)
        self.store = FakeStore()
        self.workers = FakeWorkers(self)
        self.machines = FakeMachines(self)
        self.violations: list[str] = []
        self.throttle_orders: list = []
        self.advice_calls: list = []
        self.acknowledged_done: set[str] = set()
        self.ended_done: set[str] = set()
        #: Positions in ``SEQUENCE`` of the starts of each task.
        self.starts: dict[str, list[int]] = {}
        self.failures: Counter[str] = Counter()
        self.attempts = QUEUE.attempts
        self.cancelled: dict[str, float] = {}
        self.reported_percent: dict[str, float] = {}
        self.steps: dict[str, tuple[Step, ...]] = {}
        self.lease = FakeLease(self.clock)
        self.next_registration_s = 0.0
        #: Called with each start order that a worker carries out.
        self.on_start = lambda order: None
        self.settings = Settings()
        self.events = EventLog("e1", -1, self.clock)
        self.manifest = Manifest(
            1, {"replan": QUEUE}, {name: Pool(name) for name in pools}
        )
        #: Manifests that the entries have seen.
        self.queue_history = QueueHistory(self.manifest)
        for pool in pools:
            for number in range(workers):
                self.add_worker(f"{pool}-{number}", pool)
        self.coordinator: Coordinator | None = None

    def add_worker(self, name: str, pool: str = "pool-a") -> FakeWorker:
        """Add a worker with its machine."""
        rack = f"r{len(self.workers.workers) // 2}"
        record = WorkerRecord(
            name,
            1,
            pool,
            f"{name}:1",
            "dc",
            rack,
            ("a", rack),
            CAPACITY,
            machine=f"m-{name}",
        )
        worker = FakeWorker(record, self.clock)
        self.workers.workers[name] = worker
        machine = Machine(f"m-{name}", pool, True, "up", name, rack)
        self.machines.machines[machine.name] = machine
        return worker

    def lead(
        self, node: str = "e1", registered: list[str] | None = None
    ) -> Coordinator:
        """Begin a new term.

        :param registered: workers in the registry, by default all.
        """
        fence = self.store.put(LEADER, node.encode())
        self.lease = FakeLease(self.clock)
        state = State(
            self.settings,
            Term(node, fence, self.clock()),
            self.manifest,
            self.clock,
            self.clock,
            self.lease,
            self.events,
            Metrics(self.settings),
            self.queue_history,
        )
        ports = Ports(self.workers, self.machines, self.store)
        self.coordinator = Coordinator(state, ports)
        state.registry_read = True
        for name, worker in self.workers.workers.items():
            if registered is None or name in registered:
                self.coordinator.register_worker(worker.entry)
        return self.coordinator

    def change_queues(self, *queues: Queue) -> None:
        """Write a manifest with other queues, which all entries apply."""
        self.manifest = self.manifest._replace(
            version=self.manifest.version + 1,
            queues={queue.name: queue for queue in queues},
        )
        self.queue_history.observe(self.manifest)
        self.coordinator.set_manifest(self.manifest)

    def submit(
        self,
        job: str,
        *steps: Step,
        queue: Queue = QUEUE,
        recurrence: Recurrence | None = None,
    ) -> None:
        """Accept a job and pass it to the coordinator."""
        record = JobRecord(
            job,
            queue,
            1,
            int(self.clock() * 1000),
            JobSpec("x", steps, recurrence),
        )
        self.steps[job] = steps
        revision = self.store.put(job_key(job), encode_record(record))
        self.coordinator.add_job(record, revision)

    def take_over(self, node: str) -> Coordinator:
        """Begin a new term and restore everything that is stored."""
        job_index = JobIndex()
        self.lease.lose()
        self.lead(node)
        job_index.replace(list(self.store.items.values()), 0, self.clock())
        restore_jobs(self.coordinator, job_index)
        return self.coordinator

    def run(self, for_s: float = 0.2, step_s: float = 0.05) -> None:
        """Advance the clock and run the coordinator after each step."""
        end_s = self.clock() + for_s
        while self.clock() < end_s - 1e-9:
            self.clock.advance(step_s)
            for worker in self.workers.workers.values():
                worker.expire_lease()
            self.renew_registrations()
            self.coordinator.run_once()
            self.coordinator.run_once()

    def renew_registrations(self) -> None:
        """Let the registered workers write to the registry regularly."""
        if self.clock() < self.next_registration_s:
            return
        self.next_registration_s = self.clock() + REGISTRATION_INTERVAL_S
        registry = self.coordinator.state.registry
        for name, worker in self.workers.workers.items():
            if name in registry and worker.mode != "dark":
                self.coordinator.register_worker(worker.entry)

    def running(self, task: str = "") -> list[tuple[str, int, str]]:
        """Return the task, run number and worker of each run."""
        return [
            (name, run, worker.entry.id)
            for worker in self.workers.workers.values()
            for name, run in worker.runs
            if name.startswith(task)
        ]

    def finish(self, task: str, outcome: str = "done") -> None:
        """End the runs of a task."""
        for worker in self.workers.workers.values():
            for key in list(worker.runs):
                if key[0].startswith(task):
                    if outcome == "done":
                        self.ended_done.add(key[0])
                    worker.end(key, outcome)

    def record_acknowledged(self, worker: FakeWorker, end: EndReport) -> None:
        """Record an end that the coordinator has acknowledged."""
        if end.outcome == "done":
            self.acknowledged_done.add(end.task)
            if end.number not in worker.ends_before_expiry:
                self.check_started_since(worker, end)
        if end.outcome == "failed":
            self.failures[end.task] += 1

    def check_started_since(self, worker: FakeWorker, end: EndReport) -> None:
        """Check that a task did not start between its end and now."""
        job, _, step, _ = end.task.split(".")
        spec = self.steps[job][int(step)]
        if spec.allows_copies or spec.long_running:
            return
        ended = worker.end_positions[end.number]
        if any(started > ended for started in self.starts.get(end.task, ())):
            self.violations.append(
                f"TWICE: {end.task} started after run {end.run} was done"
            )

    def percent(self, task: str) -> float:
        """Return the progress that is reported for a task."""
        return self.reported_percent.get(task, 100.0)

    def check_start(self, worker: FakeWorker, order) -> None:
        """Check the platform's rules for a start."""
        job, _, step, _ = order.task.split(".")
        spec = self.steps[job][int(step)]
        if order.task in self.acknowledged_done:
            self.violations.append(f"TWICE: {order.task} starts after done")
        for before in spec.depends_on:
            for index in range(self.steps[job][before].count):
                if f"{job}.0.{before}.{index}" not in self.ended_done:
                    self.violations.append(f"ORDER: {order.task}")
        if job in self.cancelled and (
            self.clock() > self.cancelled[job] + 3.0
        ):
            self.violations.append(f"UNASKED: {order.task}")
        if self.failures[order.task] >= self.attempts:
            self.violations.append(f"BUDGET: {order.task}")
        others = [row for row in self.running() if row[0] == order.task]
        if others and not spec.allows_copies:
            self.violations.append(f"TWICE: {order.task} beside {others}")
        if worker.entry.leaving:
            self.violations.append(f"DRAIN: {order.task}")

    def check_interrupted(self, worker: str) -> None:
        """Check the limit on interrupted long-running tasks."""
        found = self.workers.workers.get(worker)
        if found is None:
            return
        for task, _ in found.runs:
            job, _, step, _ = task.split(".")
            spec = self.steps[job][int(step)]
            prefix = task.rpartition(".")[0] + "."
            serving = {
                name
                for name, _, _ in self.running(prefix)
                if name != task and self.percent(name) >= 100
            }
            unavailable = spec.count - 1 - len(serving)
            if spec.max_unavailable and unavailable >= spec.max_unavailable:
                self.violations.append(
                    f"AVAIL: {task} with {unavailable} unavailable"
                )
