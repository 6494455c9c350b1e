"""Stand-ins of executors and of the advice service, per PROTOCOL.md."""

import asyncio
from itertools import count
from time import monotonic, time

from review.lib.http import HttpServer

#: Figures of the sheets and of the settings' example.
MAX_HOLD_MS = 10000
HEARTBEAT_S = 1.5
STOP_S = 0.05

LISTED_ENDS = 500


class Run:
    """A run on an executor."""

    def __init__(self, task, run, work_s, cpu):
        """Initialise a run that has just begun."""
        self.task = task
        self.run = run
        self.began_s = monotonic()
        self.work_s = work_s
        self.cpu = cpu
        self.stop_s = None


class Executor:
    """An executor with a lease, a fence, a capacity and numbered ends.

    :param record: where starts and ends are noted, a :class:`Record`.
    :param work: returns the seconds of work, the cpu and the outcome of a
        task, given its name.
    :ivar starts: all starts as (time, task, run).
    """

    def __init__(
        self, number, store, service, record, work, cpu=64000, labels=None
    ):
        """Initialise without a life; :meth:`start` begins it."""
        self.id = f"i-{number:04x}"
        self.machine = f"m-{number:04x}"
        self.store = store
        self.service = service
        self.record = record
        self.work = work
        self.cpu = cpu
        self.labels = labels or ["a", f"r-{number % 4}"]
        self.guarded = True
        self.sequence = count(1)
        self.server = HttpServer(self.handle)
        self.tickets = None
        self.state = "ready"
        self.up = False
        self.tasks = []

    def begin_life(self):
        """Begin a life, which knows nothing of those before."""
        self.born_ms = int(time() * 1000)
        self.began_s = monotonic()
        self.fence = 0
        self.lease_end_ms = 0.0
        self.lapsed = True
        self.runs = {}
        self.refused = {}
        self.ends = []
        self.ends_count = 0
        self.changed = asyncio.Event()
        self.up = True

    async def start(self, first_check_in_s=0.0):
        """Begin a life, serve, and check in regularly.

        :param first_check_in_s: time until the first check-in.
        """
        self.begin_life()
        await self.server.start()
        self.tasks = [
            asyncio.create_task(self.check_in(first_check_in_s)),
            asyncio.create_task(self.advance_regularly()),
        ]

    def crash(self):
        """End the life without a word."""
        self.up = False
        for task in self.tasks:
            task.cancel()
        self.server.stop()
        for run in self.runs.values():
            self.record.note("crash-ends", self.id, run.task, run.run)
        self.runs = {}

    async def check_in(self, delay_s):
        """Write the registration about every heartbeat."""
        await asyncio.sleep(delay_s)
        while True:
            await self.store.write(f"servers/{self.id}", self.registration())
            await asyncio.sleep(HEARTBEAT_S)

    def registration(self):
        """Return what the executor writes of itself."""
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": "z-a",
            "version": "1",
            "slots": 8,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": next(self.sequence),
            "born": self.born_ms,
            "capacity": {"cpu": self.cpu, "mem-mb": 262144, "gpu": 0},
            "labels": self.labels,
            "machine": self.machine,
        }

    def machine_row(self):
        """Return the machine as the platform lists it."""
        return {
            "machine": self.machine,
            "pool": self.service,
            "state": "up",
            "zone": "z-a",
            "labels": self.labels,
            "capacity": {"cpu": self.cpu, "mem-mb": 262144, "gpu": 0},
            "id": self.id,
        }

    def now_ms(self):
        """Return the executor's own clock."""
        return (monotonic() - self.began_s) * 1000

    async def advance_regularly(self):
        """End runs and the lease when they are due."""
        while True:
            await asyncio.sleep(0.005)
            self.advance()

    def advance(self):
        """End the runs that are due."""
        now_s, now_ms = monotonic(), self.now_ms()
        for key, run in list(self.runs.items()):
            _, _, outcome = self.work(run.task)
            if run.stop_s is not None:
                if now_s >= run.stop_s:
                    self.end(key, "stopped")
            elif now_s >= run.began_s + run.work_s:
                self.end(key, outcome)
        if now_ms >= self.lease_end_ms and not self.lapsed:
            self.lapsed = True
            self.record.note("lease-lapsed", self.id)
            for key in list(self.runs):
                self.end(key, "lapsed")

    def end(self, key, how):
        """End a run and list its end."""
        task, number = key
        del self.runs[key]
        self.refused[task] = max(self.refused.get(task, 0), number)
        self.ends_count += 1
        self.ends.append([self.ends_count, task, number, how, ""])
        self.record.note("end", self.id, task, number, how, self.ends_count)
        self.changed.set()

    def extend(self, body):
        """Extend the lease; a longer one is shortened."""
        deadline_ms = body.get("deadline-ms")
        if deadline_ms:
            longest_ms = self.now_ms() + MAX_HOLD_MS
            self.lease_end_ms = max(
                self.lease_end_ms, min(deadline_ms, longest_ms)
            )
            self.lapsed = self.now_ms() >= self.lease_end_ms

    def answer(self, status=200, **fields):
        """Build an answer with the clock and the start of the life."""
        table = {"clock-ms": int(self.now_ms()), "born": self.born_ms}
        return status, table | fields

    async def handle(self, call):
        """Serve one call."""
        body = call.body
        if call.headers.get("x-cyclamenscale-target-instance") != self.id:
            return self.answer(421)
        self.advance()
        fence = body.get("fencing-token", 0)
        if fence < self.fence:
            return self.answer(409, reason="fence")
        self.fence = fence
        if call.path == "/hold":
            return await self.hold(body)
        if call.path == "/run-start":
            return self.run_start(body)
        key = (body["task"], body["run-id"])
        if call.path == "/run-stop":
            run = self.runs.get(key)
            if run is None:
                task, number = key
                self.refused[task] = max(self.refused.get(task, 0), number)
            elif run.stop_s is None:
                run.stop_s = monotonic() + STOP_S
            return self.answer()
        return self.answer()

    def run_start(self, body):
        """Start a task unless the order is rejected."""
        task, number = key = (body["task"], body["run-id"])
        if key in self.runs:
            self.extend(body)
            return self.answer()
        if number <= self.refused.get(task, 0):
            self.extend(body)
            return self.answer(409, reason="old")
        if body["deadline-ms"] <= self.now_ms():
            return self.answer(409, reason="late")
        if self.tickets is not None:
            step = task.rpartition(".")[0]
            if not self.tickets.valid(step, self.id, body.get("ticket")):
                return self.answer(409, reason="ticket")
        work_s, cpu, _ = self.work(task)
        used = sum(run.cpu for run in self.runs.values())
        if self.guarded and used + cpu > self.cpu:
            self.extend(body)
            return self.answer(409, reason="room")
        self.extend(body)
        self.runs[key] = Run(task, number, work_s, cpu)
        self.record.note("start", self.id, task, number)
        return self.answer()

    async def hold(self, body):
        """Renew the lease, forget ends that were seen, and report."""
        seen = body.get("last-seen", 0)
        if any(end[0] <= seen for end in self.ends):
            self.record.note("taken-note", self.id, seen)
        self.ends = [end for end in self.ends if end[0] > seen]
        self.extend(body)
        end_s = monotonic() + body.get("wait-ms", 0) / 1000
        born_ms = self.born_ms
        while not self.ends and monotonic() < end_s:
            self.changed.clear()
            try:
                async with asyncio.timeout(end_s - monotonic()):
                    await self.changed.wait()
            except TimeoutError:
                pass
        if not self.up or born_ms != self.born_ms:
            return None
        now_s = monotonic()
        running = [
            [
                run.task,
                run.run,
                "",
                min(int(100 * (now_s - run.began_s) / run.work_s), 99),
                run.cpu,
            ]
            for run in self.runs.values()
        ]
        return self.answer(running=running, ended=self.ends[:LISTED_ENDS])


class Advice:
    """The advice service, which knows the executors that may run a step.

    :param allowed: returns the ids of the executors that may run a step.
    """

    def __init__(self, record, allowed, decision_ms, period_ms, validity_ms):
        """Initialise with no tickets."""
        self.record = record
        self.allowed = allowed
        self.decision_ms = decision_ms
        self.period_ms = period_ms
        self.validity_ms = validity_ms
        self.given = {}
        self.locks = {}
        self.waiting = 0
        self.calls = count(1)
        self.server = HttpServer(self.handle)

    async def handle(self, call):
        """Serve one call at a time for each calling machine."""
        if self.waiting >= 32:
            return 429, {}
        lock = self.locks.setdefault(call.peer[0], asyncio.Lock())
        self.waiting += 1
        async with lock:
            self.waiting -= 1
            step, workers = call.body["step"], call.body["workers"]
            assert len(workers) <= 100
            took_ms = self.decision_ms + self.period_ms * len(workers)
            await asyncio.sleep(took_ms / 1000)
        may_run = self.allowed(step)
        rows = []
        for worker in workers:
            if worker in may_run:
                ticket = f"t{next(self.calls)}-{worker}"
                end_s = monotonic() + self.validity_ms / 1000
                self.given[(step, worker, ticket)] = end_s
                rows.append([worker, ticket])
        self.record.note("advised", step, len(workers), len(rows))
        return 200, {"allowed": rows, "validity-ms": self.validity_ms}

    def valid(self, step, worker, ticket):
        """Return whether a ticket allows a step on an executor."""
        return monotonic() < self.given.get((step, worker, ticket), 0)
