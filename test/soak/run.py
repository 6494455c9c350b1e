"""Runs one seed: entries as processes, callers, faults and checks."""

import os
import signal
from collections.abc import Callable, Iterable
from functools import partial
from heapq import heappop, heappush
from http.client import HTTPConnection
from itertools import count
from pathlib import Path
from random import Random
from threading import Event
from time import monotonic
from typing import NamedTuple

from msgspec import json

from test.soak.checker import (
    CANCEL_S,
    FINISH_S,
    RECOVERY_S,
    STABILITY_S,
    STOP_S,
    Checker,
    JobPlan,
    StepPlan,
)
from test.soak.entries import Caller, EntryProcess, call, encode_job
from test.soak.platform import ATTEMPTS, ODD_PREFIX, POOLS, SoakPlatform
from test.soak.proxy import Link, Proxy
from test.soak.schedule import LEADER, Fault, draw_faults, draw_intrusions

#: Numbers the runs of this process.
RUNS = count(1)

CALLERS = 5
TICK_S = 0.02

#: Time for all processes to start on a busy machine.
START_S = 30.0

#: Time from SIGTERM to SIGKILL, ``grace-s``.
GRACE_S = 6.0

#: Most time from the end of a worker until its record is removed.
RECORD_S = 4.5

Undo = Callable[[], None]

#: How each kind of fault begins; returns how it ends, if it has an end.
INJECTORS: dict[str, Callable[["Soak", Fault], Undo | None]] = {}


def injector(kind: str):
    """Register the function that begins a kind of fault."""

    def register(function):
        INJECTORS[kind] = function
        return function

    return register


class Result(NamedTuple):
    """Outcome of a run.

    :ivar violations: broken promises, each with the name of its rule.
    :ivar jobs: number of accepted jobs.
    :ivar starts: number of starts that workers carried out.
    """

    seed: int
    violations: list[str]
    faults: int
    jobs: int
    starts: int
    took_s: float


class Soak:
    """One run of a seed.

    :param seed: determines faults and load.
    :param out: directory for settings, logs and the schedule.
    :param entries: number of processes.
    :param seconds: time over which faults begin.
    """

    def __init__(
        self, seed: int, out: Path, entries: int = 4, seconds: float = 8.0
    ):
        """Draw the schedule and create all parts."""
        self.seed = seed
        self.out = out
        self.seconds = seconds
        out.mkdir(parents=True, exist_ok=True)
        workers = max(6, entries // 3)
        self.schedule = sorted(
            draw_faults(Random(seed), entries, workers, seconds)
            + draw_intrusions(
                Random(f"{seed}.intrusions"), entries, workers, seconds
            )
        )
        self.checker = Checker(monotonic)
        self.platform = SoakPlatform(
            self.checker, workers, 24 + 6 * entries, Random(seed)
        )
        self.proxy = Proxy()
        store_port = self.platform.server.port
        # Differs from those of other soaks on the machine.
        network = f"127.{os.getpid() % 250 + 1}.{next(RUNS) % 250}"
        self.entries = [
            EntryProcess(number, network, out, store_port)
            for number in range(entries)
        ]
        self.callers = [
            Caller(number, Random(f"{seed}.{number}"), self.checker, self.pick)
            for number in range(CALLERS)
        ]
        self.log = (out / "soak.jsonl").open("w")
        # Guards nothing: only the main thread uses the pending actions.
        self.actions: list[tuple[float, int, Undo]] = []
        self.order = count()
        self.pause = Event()

    def note(self, event: str, **fields) -> None:
        """Write a line to the log of the run."""
        line = {"t_s": round(monotonic() - self.began_s, 3), "event": event}
        self.log.write(json.encode(line | fields).decode() + "\n")

    def pick(self, rng: Random) -> EntryProcess:
        """Return an entry for a new connection, preferably a running one."""
        running = [each for each in self.entries if each.running]
        return rng.choice(running or self.entries)

    def run(self) -> Result:
        """Run all phases; end every process that was started."""
        self.began_s = monotonic()
        try:
            self.start()
            self.inject_all()
            self.recover()
        except TimeoutError as error:
            text = f"{error}; open: {self.checker.open_jobs()}"
            self.checker.report("RECOVER", text)
        finally:
            self.stop()
        self.checker.check_rejected()
        views = self.checker.jobs.values()
        violations = list(self.checker.violations)
        for violation in violations:
            self.note("violation", text=violation)
        self.log.close()
        return Result(
            self.seed,
            violations,
            len(self.schedule),
            sum(view.accepted for view in views),
            sum(map(len, self.checker.starts_s.values())),
            monotonic() - self.began_s,
        )

    def start(self) -> None:
        """Start everything and wait until all entries are ready."""
        self.platform.start()
        ports = [server.port for server in self.platform.worker_servers]
        for entry in self.entries:
            for port in (self.platform.server.port, *ports):
                self.proxy.add(entry.host, port)
            entry.start()
        self.wait_for(self.all_ready, START_S, "all entries are ready")
        for caller in self.callers:
            caller.start()

    def stop(self) -> None:
        """Stop the callers, the processes and the stand-ins."""
        for caller in self.callers:
            caller.stopped.set()
        for entry in self.entries:
            entry.close()
        for caller in self.callers:
            if caller.is_alive():
                caller.join(10)
        self.platform.stop()
        self.proxy.stop()

    def all_ready(self) -> bool:
        """Return whether every entry reports itself as ready."""
        return all(each.running and each.is_ready() for each in self.entries)

    # Time.

    def later(self, delay_s: float, action: Undo) -> None:
        """Do something after a delay."""
        due_s = monotonic() + delay_s
        heappush(self.actions, (due_s, next(self.order), action))

    def tick(self) -> None:
        """Do what is due and restart processes that have ended."""
        while self.actions and self.actions[0][0] <= monotonic():
            heappop(self.actions)[2]()
        for number in self.platform.due_machines():
            self.begin_life(number)
        for entry in self.entries:
            if entry.process and not entry.running:
                if entry.has_failed():
                    status = entry.process.returncode
                    text = f"{entry.name} ended by itself with {status}"
                    self.checker.report("FAULT", text)
                if entry.restart_s <= monotonic():
                    self.note("started", entry=entry.name)
                    entry.start()
        self.pause.wait(TICK_S)

    def wait_for(
        self, condition: Callable[[], object], bound_s: float, what: str
    ) -> None:
        """Wait until a condition holds.

        :raises TimeoutError: if it does not within the bound.
        """
        end_s = monotonic() + bound_s
        while not condition():
            if monotonic() > end_s:
                raise TimeoutError(f"not within {bound_s} s: {what}")
            self.tick()

    # Faults.

    def inject_all(self) -> None:
        """Begin all faults at their times."""
        for fault in self.schedule:
            self.later(fault.at_s, partial(self.inject, fault))
        self.wait_for(
            lambda: not self.actions, self.seconds + 60.0, "the last fault"
        )

    def inject(self, fault: Fault) -> None:
        """Begin one fault and schedule its end."""
        entry = self.entry_of(fault)
        self.note("fault", name=entry.name, **fault._asdict())
        undo = INJECTORS[fault.kind](self, fault)
        if undo:
            self.later(fault.lasts_s, undo)

    def entry_of(self, fault: Fault) -> EntryProcess:
        """Return the entry that a fault aims at."""
        if fault.entry != LEADER:
            return self.entries[fault.entry]
        leader = self.platform.leader()
        named = [each for each in self.entries if each.name == leader]
        return (named or self.entries)[0]

    def link(self, fault: Fault) -> Link:
        """Return the link that a fault aims at, by the name of its kind."""
        server = self.platform.server
        if fault.kind.endswith("_worker"):
            server = self.platform.worker_servers[fault.worker]
        return self.proxy.links[(self.entry_of(fault).host, server.port)]

    def end_process(self, entry: EntryProcess, number: int, after_s: float):
        """End a process by a signal and restart it some time later."""
        entry.killed = True
        entry.restart_s = monotonic() + after_s
        entry.signal(number)

    def begin_life(self, number: int, worker_id: str = "") -> None:
        """Begin a worker's next life; no connection outlasts a life."""
        port = self.platform.worker_servers[number].port
        self.proxy.run_now(
            *(
                self.proxy.links[(entry.host, port)].reset
                for entry in self.entries
            )
        )
        self.platform.begin_life(number, worker_id)

    # After the faults.

    def recover(self) -> None:
        """Check what holds once all faults have ended."""
        self.proxy.heal()
        for caller in self.callers:
            caller.submitting = False
        self.wait_for(
            lambda: all(each.running for each in self.entries),
            START_S,
            "all processes run",
        )
        self.checker.calm_s = monotonic()
        self.note("calm")
        self.wait_for(
            self.all_ready, STABILITY_S + RECOVERY_S, "all entries are ready"
        )
        open_jobs = self.checker.open_jobs
        self.wait_for(
            lambda: not open_jobs() or self.poll_jobs(open_jobs()),
            RECOVERY_S + FINISH_S,
            "accepted jobs end",
        )
        calm_s = self.checker.calm_s
        self.wait_until(calm_s + STABILITY_S + CANCEL_S + STOP_S + 0.1)
        self.checker.check_cancelled()
        self.checker.check_lasting()
        self.check_manifest()
        self.check_known()

    def wait_until(self, end_s: float) -> None:
        """Go on until a time."""
        self.wait_for(
            lambda: monotonic() > end_s,
            max(end_s - monotonic(), 0) + 1,
            "wait",
        )

    def poll_jobs(self, jobs: Iterable[str]) -> bool:
        """Ask for jobs and return whether all have ended."""
        for job in jobs:
            self.ask(self.entries[0], job)
        if self.checker.open_jobs():
            self.pause.wait(0.2)
            return False
        return True

    def ask(self, entry: EntryProcess, job: str) -> int:
        """Read a job's state at an entry; return the status."""
        plan = self.checker.jobs[job].plan
        connection = HTTPConnection(entry.callers, timeout=3.0)
        status, body = call(connection, "GET", f"/{plan.pool}/{job}")
        connection.close()
        self.checker.record_state(job, status, body.get("state", ""))
        return status

    def check_known(self) -> None:
        """Check that accepted jobs are known, each at one of the entries."""
        for number, (job, view) in enumerate(list(self.checker.jobs.items())):
            if view.accepted:
                entry = self.entries[number % len(self.entries)]
                status = self.ask(entry, job)
                if status != 200:
                    text = f"{job} at {entry.name}: status {status}"
                    self.checker.report("LOST", text)

    def check_manifest(self) -> None:
        """Check that all entries apply the newest manifest."""
        expected = 200 if self.platform.version % 2 else 404
        for entry in self.entries:
            connection = HTTPConnection(entry.callers, timeout=3.0)
            status, _ = call(connection, "GET", ODD_PREFIX)
            connection.close()
            if status != expected:
                text = f"{entry.name}: {status} instead of {expected}"
                self.checker.report("CONFIG", text)


@injector("term")
def terminate(soak: Soak, fault: Fault) -> None:
    """Stop a process gracefully; kill it after its grace time."""
    entry = soak.entry_of(fault)
    process = entry.process
    soak.end_process(entry, signal.SIGTERM, fault.lasts_s / 5)

    def kill() -> None:
        if entry.process is process:
            entry.signal(signal.SIGKILL)

    soak.later(GRACE_S, kill)


@injector("kill")
def kill(soak: Soak, fault: Fault) -> None:
    """Kill a process."""
    entry = soak.entry_of(fault)
    soak.end_process(entry, signal.SIGKILL, fault.lasts_s)


@injector("kill_all")
def kill_all(soak: Soak, fault: Fault) -> None:
    """Kill all processes at once."""
    for entry in soak.entries:
        soak.end_process(entry, signal.SIGKILL, fault.lasts_s / 3)


@injector("pause")
def pause(soak: Soak, fault: Fault) -> Undo:
    """Pause a process."""
    entry = soak.entry_of(fault)
    entry.signal(signal.SIGSTOP)
    return lambda: entry.signal(signal.SIGCONT)


@injector("depose")
def depose(soak: Soak, fault: Fault) -> Undo:
    """Pause the leader, and hide a worker from the others meanwhile."""
    entry = soak.entry_of(fault._replace(entry=LEADER))
    port = soak.platform.worker_servers[fault.worker].port
    others = [each for each in soak.entries if each is not entry]
    links = [soak.proxy.links[(each.host, port)] for each in others]
    for link in links:
        soak.proxy.run(link.cut, ("up", "down"))
    entry.signal(signal.SIGSTOP)

    def resume() -> None:
        entry.signal(signal.SIGCONT)
        for link in links:
            soak.later(fault.delay_s, partial(soak.proxy.run, link.heal))

    return resume


@injector("hup")
def reload(soak: Soak, fault: Fault) -> None:
    """Change a settings file, with a signal."""
    entry = soak.entry_of(fault)
    changed = entry.settings.with_suffix(".new")
    changed.write_text(entry.settings.read_text() + "\n")
    changed.replace(entry.settings)
    entry.signal(signal.SIGHUP)


@injector("manifest")
def write_manifest(soak: Soak, fault: Fault) -> None:
    """Write a new version of the manifest."""
    soak.platform.write_manifest()


@injector("cut_store")
@injector("cut_worker")
def cut(soak: Soak, fault: Fault) -> Undo:
    """Hold what a link transfers, in one direction or both."""
    link = soak.link(fault)
    soak.proxy.run(link.cut, fault.ways)

    def undo() -> None:
        if fault.loses:
            soak.proxy.run(link.reset)
        soak.proxy.run(link.heal)

    return undo


@injector("stall_worker")
def stall(soak: Soak, fault: Fault) -> None:
    """Hold a worker's responses for about as long as a start may take."""
    link = soak.link(fault)
    soak.proxy.run(link.cut, ("down",))
    soak.later(0.1 + fault.delay_s, partial(soak.proxy.run, link.heal))


@injector("delay_store")
@injector("delay_worker")
def delay(soak: Soak, fault: Fault) -> Undo:
    """Delay what a link transfers."""
    link = soak.link(fault)
    link.delay_s = fault.delay_s
    return lambda: soak.proxy.run(link.heal)


@injector("reset_store")
@injector("reset_worker")
def reset(soak: Soak, fault: Fault) -> None:
    """Reset the connections of a link."""
    soak.proxy.run(soak.link(fault).reset)


@injector("silence_store")
@injector("silence_worker")
def silence(soak: Soak, fault: Fault) -> None:
    """Silence the open connections of a link for good."""
    soak.proxy.run(soak.link(fault).silence)


@injector("refuse_store")
def refuse(soak: Soak, fault: Fault) -> Undo:
    """Have the store reject an entry, by status or by resets."""
    if not fault.loses:
        host = soak.entry_of(fault).host
        soak.platform.refused.add(host)
        return lambda: soak.platform.refused.discard(host)
    link = soak.link(fault)
    link.refusing = True
    soak.proxy.run(link.reset)
    return lambda: soak.proxy.run(link.heal)


@injector("store_down")
@injector("store_lost")
def impair_store(soak: Soak, fault: Fault) -> Undo:
    """Have the store refuse all calls, or lose responses of writes."""
    soak.platform.mode = "refuse" if fault.kind == "store_down" else "lost"

    def undo() -> None:
        soak.platform.mode = "up"

    return undo


@injector("compact")
def compact(soak: Soak, fault: Fault) -> None:
    """Discard the history of the store."""
    soak.platform.state.compact(soak.platform.state.revision)


@injector("worker_crash")
def crash_worker(soak: Soak, fault: Fault) -> Undo | None:
    """End a worker without a word; a new life begins later."""
    platform = soak.platform
    worker = platform.soak_workers[fault.worker]
    if not worker.up:
        return None
    worker_id = worker.life.id
    worker.end_life()
    if fault.loses:
        # It starts again under its id.
        return lambda: soak.begin_life(fault.worker, worker_id)
    soak.later(RECORD_S, partial(platform.remove_record, worker_id))
    return lambda: soak.begin_life(fault.worker)


@injector("worker_drain")
def drain_worker(soak: Soak, fault: Fault) -> Undo | None:
    """Drain a worker, which leaves then; a new life begins after that."""
    platform = soak.platform
    worker = platform.soak_workers[fault.worker]
    if not worker.up:
        return None
    life = worker.life
    platform.write_record(fault.worker, "draining")

    def leave() -> None:
        if worker.up and worker.life == life:
            worker.end_life()
            platform.remove_record(life.id)
            soak.begin_life(fault.worker)

    return leave


@injector("worker_unhealthy")
def sicken_worker(soak: Soak, fault: Fault) -> Undo:
    """Have a worker refuse starts."""
    worker = soak.platform.soak_workers[fault.worker]
    worker.unhealthy = True

    def undo() -> None:
        worker.unhealthy = False

    return undo


@injector("odd_record")
def write_odd_record(soak: Soak, fault: Fault) -> None:
    """Leave a record that names no worker among those of the workers."""
    soak.platform.write_odd_record(fault.worker, fault.loses)


@injector("hopeless_job")
def submit_hopeless_job(soak: Soak, fault: Fault) -> None:
    """Submit a job of lasting tasks that no worker can run."""
    submit_lasting(soak, fault, StepPlan(5, lasts=True, label="none"))


@injector("lasting_job")
def submit_lasting_job(soak: Soak, fault: Fault) -> None:
    """Submit a job of tasks that last, few of which may be interrupted."""
    step = StepPlan(
        2 + fault.worker % 5, 250, run_ms=10**9, lasts=True, max_away=1
    )
    submit_lasting(soak, fault, step)


def submit_lasting(soak: Soak, fault: Fault, step: StepPlan) -> None:
    """Submit a job of one step, once."""
    pool = list(POOLS)[fault.worker % len(POOLS)]
    plan = JobPlan(f"ffff{next(soak.order):012x}", pool, ATTEMPTS, (step,))
    soak.checker.record_attempt(plan)
    entry = soak.entry_of(fault)
    connection = HTTPConnection(entry.callers, timeout=0.5)
    path = f"/{pool}/{plan.id}"
    status, _ = call(connection, "POST", path, encode_job(plan))
    connection.close()
    soak.checker.record_response(plan.id, status)


@injector("wave")
def request_wave(soak: Soak, fault: Fault) -> None:
    """Request the maintenance of all machines of a pool."""
    pool = list(POOLS)[fault.worker % len(POOLS)]
    soak.platform.request_wave(pool, 1 + fault.worker // 3)
