"""A stand-in of an executor, as PROTOCOL.md has it."""

import base64
import json
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from http_server import Reply, Server
from standin_store import Store

#: Interval of a worker's writes to the store.
HEARTBEAT_S = 1.5

#: Silence after which the platform removes an entry: three intervals.
ENTRY_EXPIRY_S = 3 * HEARTBEAT_S

MAX_HOLD_MS = 10000
MAX_STOP_S = 0.1
TICK_S = 0.005
MAX_LISTED_ENDS = 500
TARGET = "X-Cyclamenscale-Target-Instance"


class Work(NamedTuple):
    """What a task needs, which a worker finds out by running it.

    :ivar run_s: how long it runs.
    :ivar cpu: thousandths of a core.
    :ivar outcome: how it ends by itself.
    :ivar lasts: whether it runs until it is stopped.
    :ivar until_s: the time before which it doesn't end, 0 for none.
    """

    run_s: float
    cpu: int = 1000
    outcome: str = "done"
    lasts: bool = False
    until_s: float = 0.0


class Run:
    """A run in progress."""

    def __init__(self, work: Work, now_s: float):
        """Begin a run."""
        self.work = work
        self.began_s = now_s
        self.end_s = max(now_s + work.run_s, work.until_s)
        self.outcome = work.outcome

    def percent(self, now_s: float) -> int:
        """Return its progress."""
        if self.work.lasts:
            return 100
        planned_s = max(self.end_s - self.began_s, 0.001)
        share = (now_s - self.began_s) / planned_s
        return int(min(99, 100 * share))


class Worker:
    """An executor with a lease, fences, capacity and numbered ends.

    :param work_of: returns the work of a task, given its name.
    :param record: writes a line to the record.
    :ivar cut: whether it is cut off from all other machines; it runs on.
    :ivar unhealthy: whether it answers starts with 503.
    :ivar delay_s: time for which a request and its answer take on the link.
    """

    def __init__(
        self,
        name: str,
        service: str,
        store: Store,
        work_of: Callable[[str], Work],
        record: Callable[..., None],
        cpu: int = 8000,
        rack: str = "r-1",
    ):
        """Begin a life that holds and knows nothing."""
        self.name = name
        self.service = service
        self.store = store
        self.work_of = work_of
        self.record = record
        self.cpu = cpu
        self.rack = rack
        self.state = "ready"
        self.born_ms = int(time.time() * 1000)
        self.began_s = time.monotonic()
        self.changed = threading.Condition()
        self.cut = False
        self.unhealthy = False
        self.delay_s = 0.0
        self.fence = 0
        self.lease_end_ms = 0.0
        self.runs: dict[tuple[str, int], Run] = {}
        self.refused_up_to: dict[str, int] = {}
        self.ends: list[list] = []
        self.ends_count = 0
        self.sequence = 0
        #: When the end of a run was taken note of, by task and number.
        self.noted_s: dict[tuple[str, int], float] = {}
        self.lapsed = False
        #: When the lease lapsed, with or without runs.
        self.lapses_s: list[float] = []
        #: Times of the runs: task, run, start, end or None, outcome.
        self.history: list[list] = []
        self.server = Server(self.handle)
        threading.Thread(target=self.run_forever, daemon=True).start()
        threading.Thread(target=self.register_forever, daemon=True).start()

    def clock_ms(self) -> float:
        """Return its own steady clock."""
        return (time.monotonic() - self.began_s) * 1000

    def used_cpu(self) -> int:
        """Return what its runs occupy; the lock is held."""
        return sum(run.work.cpu for run in self.runs.values())

    def set_cut(self, cut: bool) -> None:
        """Cut the worker off, or heal the cut."""
        with self.changed:
            self.cut = cut
            self.changed.notify_all()
        self.record(self.name, "cut off" if cut else "reachable again")

    def fall_silent(self) -> None:
        """Crash without a word; the worker does not come back."""
        with self.changed:
            for key in list(self.runs):
                for row in self.history:
                    if row[:2] == list(key) and row[3] is None:
                        row[3:] = [time.monotonic(), "crash"]
            self.runs = {}
            self.cut = True
            self.changed.notify_all()
        self.record(self.name, "crashes")

    def register_forever(self) -> None:
        """Keep the entry in the store while it is reached."""
        last_s = -1e9
        key = f"servers/{self.name}"
        while True:
            now_s = time.monotonic()
            if not self.cut and now_s - last_s >= HEARTBEAT_S:
                last_s = now_s
                self.sequence += 1
                text = json.dumps(self.entry()).encode()
                self.store.write(key, base64.b64encode(text).decode())
            elif self.cut and now_s - last_s >= ENTRY_EXPIRY_S:
                self.store.remove(key)
            time.sleep(0.05)

    def entry(self) -> dict:
        """Return its entry."""
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": "zone-a",
            "version": "1",
            "slots": 8,
            "state": self.state,
            "sequence": self.sequence,
            "born": self.born_ms,
            "capacity": {"cpu": self.cpu, "mem-mb": 65536, "gpu": 0},
            "labels": ["kind-a", self.rack],
            "machine": f"m-{self.name}",
        }

    def run_forever(self) -> None:
        """End runs that are due, and all when the lease has expired."""
        while True:
            time.sleep(TICK_S)
            with self.changed:
                now_s = time.monotonic()
                self.note_lapse()
                for key, run in list(self.runs.items()):
                    if run.end_s <= now_s:
                        self.end_run(key, run.outcome)
                if self.runs and self.clock_ms() >= self.lease_end_ms:
                    for key in list(self.runs):
                        self.end_run(key, "lapsed")

    def end_run(self, key: tuple[str, int], outcome: str) -> None:
        """End a run and list its end; the lock is held."""
        task, number = key
        del self.runs[key]
        self.refuse_up_to(task, number)
        self.ends_count += 1
        self.ends.append([self.ends_count, task, number, outcome, ""])
        for row in self.history:
            if row[:2] == [task, number] and row[3] is None:
                row[3:] = [time.monotonic(), outcome]
        self.record(self.name, f"run {task} #{number} ended {outcome}")
        self.changed.notify_all()

    def refuse_up_to(self, task: str, number: int) -> None:
        """Refuse the runs of a task up to a number."""
        highest = self.refused_up_to.get(task, 0)
        self.refused_up_to[task] = max(highest, number)

    def handle(self, method, path, headers, body, source) -> Reply:
        """Serve an order; a cut holds it until the sender has gone."""
        if self.delay_s:
            time.sleep(self.delay_s / 2)
        with self.changed:
            if self.cut:
                self.changed.wait_for(lambda: not self.cut)
                return Reply(0)
            reply = self.serve(path, headers.get(TARGET, ""), body)
            if self.cut:
                self.changed.wait_for(lambda: not self.cut)
                return Reply(0)
        if self.delay_s:
            time.sleep(self.delay_s / 2)
        return reply

    def reply(self, status: int = 200, **fields) -> Reply:
        """Build a reply with the worker's clock."""
        clock = {"clock-ms": int(self.clock_ms()), "born": self.born_ms}
        return Reply(status, clock | fields)

    def serve(self, path: str, target: str, body: dict) -> Reply:
        """Carry out an order; the lock is held."""
        if target != self.name:
            return self.reply(421)
        fence = body.get("fencing-token", 0)
        if fence < self.fence:
            return self.reply(409, reason="fence")
        self.fence = fence
        if path == "/hold":
            return self.hold(body)
        key = (body["task"], body["run-id"])
        if path == "/run-start":
            return self.start(key, body)
        if path == "/run-stop":
            run = self.runs.get(key)
            if run:
                run.end_s = time.monotonic() + MAX_STOP_S
                run.outcome = "stopped"
            else:
                self.refuse_up_to(*key)
            self.record(self.name, f"stop {key[0]} #{key[1]}")
        return self.reply()

    def note_lapse(self) -> None:
        """Note that the lease has lapsed, if it has; the lock is held."""
        if not self.lease_end_ms or self.lapsed:
            return
        if self.clock_ms() >= self.lease_end_ms:
            self.lapsed = True
            self.lapses_s.append(time.monotonic())

    def extend_lease(self, body: dict) -> None:
        """Extend the lease; it never shortens."""
        deadline_ms = body.get("deadline-ms", 0)
        if deadline_ms:
            self.note_lapse()
            self.lapsed = False
            longest_ms = self.clock_ms() + MAX_HOLD_MS
            self.lease_end_ms = max(
                self.lease_end_ms, min(deadline_ms, longest_ms)
            )

    def start(self, key: tuple[str, int], body: dict) -> Reply:
        """Start a task unless it must be refused."""
        task, number = key
        if self.unhealthy:
            self.record(self.name, f"start {task} #{number} answered 503")
            return self.reply(503)
        if key in self.runs:
            return self.reply()
        if number <= self.refused_up_to.get(task, 0):
            self.extend_lease(body)
            return self.reply(409, reason="old")
        if body["deadline-ms"] <= self.clock_ms():
            return self.reply(409, reason="late")
        self.extend_lease(body)
        work = self.work_of(task)
        if self.used_cpu() + work.cpu > self.cpu:
            return self.reply(409, reason="room")
        now_s = time.monotonic()
        self.runs[key] = Run(work, now_s)
        self.history.append([task, number, now_s, None, ""])
        fence = body["fencing-token"]
        self.record(self.name, f"run {task} #{number} begins, fence {fence}")
        return self.reply()

    def hold(self, body: dict) -> Reply:
        """Extend the lease and report runs and ends."""
        seen = body["last-seen"]
        self.note_lapse()
        for number, task, run, *_ in self.ends:
            if number <= seen:
                self.noted_s[(task, run)] = time.monotonic()
        self.ends = [end for end in self.ends if end[0] > seen]
        self.extend_lease(body)
        self.changed.wait_for(
            lambda: self.ends or self.cut, body.get("wait-ms", 0) / 1000
        )
        now_s = time.monotonic()
        running = [
            [task, number, "", run.percent(now_s), run.work.cpu]
            for (task, number), run in self.runs.items()
        ]
        ended = self.ends[:MAX_LISTED_ENDS]
        return self.reply(running=running, ended=ended)
