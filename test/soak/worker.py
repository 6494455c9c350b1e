"""A worker of the platform as its pages describe it, on real time."""

from random import Random
from threading import Condition
from typing import Any, NamedTuple

from werkzeug.wrappers import Response

from cyclamenscale.standin.http import connection_dropped, json_response
from test.soak.checker import Checker

#: Longest task lease, ``max-hold-ms``.
MAX_LEASE_MS = 10000

#: Longest time that a stop takes, ``stop-ms``.
MAX_STOP_MS = 200

#: A worker's clock may be this much slow.
CLOCK_DRIFT = 0.02

#: Tasks that take longer last until they are stopped.
LASTING_MS = 60000

MAX_LISTED_ENDS = 500


class Life(NamedTuple):
    """One incarnation of a worker.

    :ivar id: id in the registry; a restarted worker may reuse it.
    :ivar born_ms: Unix time of its start.
    """

    id: str
    born_ms: int

    def __str__(self) -> str:
        """Return a unique name."""
        return f"{self.id}/{self.born_ms}"


class RunState:
    """A run in progress.

    :ivar due_ms: when it ends by itself, on the worker's clock.
    :ivar outcome: how it ends then.
    """

    def __init__(
        self, cpu: int, started_ms: float, due_ms: float, outcome: str
    ):
        self.cpu = cpu
        self.due_ms = due_ms
        self.outcome = outcome
        self.started_ms = started_ms

    def percent(self, now_ms: float) -> int:
        """Return its progress as it is reported; 100 for one that lasts."""
        planned_ms = self.due_ms - self.started_ms
        if planned_ms > LASTING_MS:
            return 100
        return int(100 * (now_ms - self.started_ms) / max(planned_ms, 1))


class SoakWorker:
    """A worker with a task lease, fences, capacity and numbered ends.

    :param pool: pool that it belongs to.
    :param cpu: capacity in thousandths of a core.
    :param guarded: whether it rejects what does not fit.
    :ivar up: whether it responds; it runs nothing while it does not.
    :ivar unhealthy: whether it refuses starts with 503.
    :ivar advance_all: ends the runs that are due on all workers.
    """

    def __init__(
        self, pool: str, cpu: int, guarded: bool, checker: Checker, rng: Random
    ):
        """Initialise without an incarnation; :meth:`begin_life` begins it."""
        self.pool = pool
        self.cpu = cpu
        self.guarded = guarded
        self.checker = checker
        self.rng = rng
        self.changed = Condition(checker.lock)
        self.up = False
        self.unhealthy = False
        self.advance_all = self.advance

    def begin_life(self, life: Life) -> None:
        """Begin a new incarnation, which knows nothing of those before."""
        with self.changed:
            self.life = life
            self.up = True
            self.started_s = self.checker.clock()
            self.rate = 1 - self.rng.random() * CLOCK_DRIFT
            self.fence = 0
            self.lease_end_ms = 0.0
            self.lapsed = True
            self.runs: dict[tuple[str, int], RunState] = {}
            self.refused_up_to: dict[str, int] = {}
            self.ends: list[list] = []
            self.ends_count = 0

    def end_life(self) -> None:
        """End the incarnation without a word."""
        with self.changed:
            if self.up:
                self.up = False
                self.advance()
                self.runs = {}
                self.checker.record_crash(str(self.life))
                self.changed.notify_all()

    def now_ms(self) -> float:
        """Return the time of the worker's own clock."""
        return (self.checker.clock() - self.started_s) * 1000 * self.rate

    def used_cpu(self) -> int:
        """Return what its runs occupy."""
        return sum(run.cpu for run in self.runs.values())

    def advance(self) -> None:
        """End the runs that are due; end all when the lease has expired."""
        with self.changed:
            now_ms = self.now_ms()
            end_ms = min(now_ms, self.lease_end_ms)
            for key, run in list(self.runs.items()):
                if run.due_ms <= end_ms:
                    self.end_run(key, run.outcome)
            if not self.lapsed and now_ms >= self.lease_end_ms:
                self.lapsed = True
                for key in list(self.runs):
                    self.end_run(key, "lapsed")
                self.checker.record_lapse(str(self.life))

    def end_run(self, key: tuple[str, int], outcome: str) -> None:
        """End a run and list its end."""
        task, number = key
        del self.runs[key]
        self.refuse_up_to(task, number)
        self.ends_count += 1
        self.ends.append([self.ends_count, task, number, outcome, ""])
        self.checker.record_end(str(self.life), self.ends_count, task, outcome)
        self.changed.notify_all()

    def refuse_up_to(self, task: str, number: int) -> None:
        """Refuse starts of a task up to a run number from now on."""
        highest = self.refused_up_to.get(task, 0)
        self.refused_up_to[task] = max(highest, number)

    def extend_lease(self, body: dict[str, Any]) -> None:
        """Extend the lease of all runs."""
        if deadline_ms := body.get("deadline-ms"):
            longest_ms = self.now_ms() + MAX_LEASE_MS
            new_ms = min(deadline_ms, longest_ms)
            self.lease_end_ms = max(self.lease_end_ms, new_ms)
            self.lapsed = self.now_ms() >= self.lease_end_ms

    def respond(self, status: int = 200, **fields: Any) -> Response:
        """Build a response with the worker's clock."""
        body = {"clock-ms": int(self.now_ms()), "born": self.life.born_ms}
        return json_response(body | fields, status)

    def serve(self, path: str, target: str, body: dict) -> Response:
        """Carry out an order."""
        with self.changed:
            if not self.up:
                raise connection_dropped()
            self.advance_all()
            if target != self.life.id:
                return self.respond(421)
            fence = body.get("fencing-token", 0)
            if fence < self.fence:
                return self.respond(409, reason="fence")
            self.fence = fence
            if path == "/hold":
                return self.serve_poll(body)
            key = (body["task"], body["run-id"])
            if path == "/run-start":
                return self.start(key, body)
            if path == "/run-stop":
                if key in self.runs:
                    run = self.runs[key]
                    stop_ms = self.rng.random() * MAX_STOP_MS
                    run.due_ms = min(run.due_ms, self.now_ms() + stop_ms)
                    run.outcome = "stopped"
                else:
                    self.refuse_up_to(*key)
            return self.respond()

    def start(self, key: tuple[str, int], body: dict) -> Response:
        """Start a task unless its order is refused."""
        task, number = key
        if self.unhealthy:
            return self.respond(503)
        if key in self.runs:
            return self.respond()
        if number <= self.refused_up_to.get(task, 0):
            self.extend_lease(body)
            return self.respond(409, reason="old")
        if body["deadline-ms"] <= self.now_ms():
            return self.respond(409, reason="late")
        self.extend_lease(body)
        _, step = self.checker.plan_of(task)
        cpu = step.cpu if step else 0
        fits = self.used_cpu() + cpu <= self.cpu
        if self.guarded and not fits:
            return self.respond(409, reason="room")
        self.checker.record_start(str(self.life), self.pool, task, fits)
        if step:
            failed = self.checker.failures[task] < step.failures
            outcome = "failed" if failed else "done"
            now_ms = self.now_ms()
            self.runs[key] = RunState(
                cpu, now_ms, now_ms + step.run_ms, outcome
            )
        return self.respond()

    def serve_poll(self, body: dict) -> Response:
        """Report runs and ends; wait for an end if there is none."""
        seen = body["last-seen"]
        self.checker.record_acknowledged(str(self.life), seen)
        self.ends = [end for end in self.ends if end[0] > seen]
        self.extend_lease(body)
        life = self.life
        self.changed.wait_for(
            lambda: self.ends or not self.up, body.get("wait-ms", 0) / 1000
        )
        if not self.up or self.life != life:
            raise connection_dropped()
        now_ms = self.now_ms()
        running = [
            [*key, "", run.percent(now_ms)] for key, run in self.runs.items()
        ]
        return self.respond(running=running, ended=self.ends[:MAX_LISTED_ENDS])
