"""Runs entries as processes against stand-ins in the test process."""

import os
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterable
from itertools import count
from pathlib import Path
from random import Random
from threading import Event, Lock, Thread
from typing import Any, NamedTuple

from cyclamenscale.errors import CyclamenError
from cyclamenscale.fleet.ports import PlatformInstance
from cyclamenscale.local import POOL, DemoClass
from cyclamenscale.local_calls import CallResult, call
from cyclamenscale.local_report import build_report
from cyclamenscale.standin.endpoint import RunRecord, StandinEndpoint
from cyclamenscale.standin.platform import PlatformServer
from cyclamenscale.standin.store import StoreServer
from cyclamenscale.ui.client import AttemptError, Client, attempt

ROOT = Path(__file__).parent.parent

ENTRIES = 8
ENDPOINTS = 6
MAX_OUT_SHARE = 0.5
#: Endpoints that may be out: ``MAX_OUT_SHARE`` of them, rounded down.
MAX_OUT = 3

REPLAN = DemoClass("replan", 2000, True, (5, 20), 0.5)
BOOKING = DemoClass("booking", 3000, False, (5, 20), 0.3)
#: Runs longer than an entry admits work after SIGTERM, and longer than the
#: four ticks of a controller from exclusion to reboot, so that a shutdown or
#: reboot that does not wait interrupts it. Runs of up to 3 s with ticks of 1 s
#: do not detect a controller that does not wait.
SETTLEMENT = DemoClass("settlement", 20000, False, (2500, 4000), 0.2)
CLASSES = (REPLAN, BOOKING, SETTLEMENT)

#: Timeout for a process to start and to be confirmed by the others.
READY_S = 20.0
LOG_TAIL_BYTES = 4000

#: Shorter than the defaults, because tests wait for these periods.
UNREADY_S = 1.0
DRAIN_S = 5.0
TICK_S = 0.5

SETTINGS = """\
[entry]
name = {name}
data_centre = dc-{half}
rack = rack-{half}
callers_address = {callers}
operators_address = {operators}
peers_address = {peers}

[peers]
seeds = {seeds}

[store]
address = {store}

[platform]
address = {platform}

[fleet]
tick_s = {tick_s}

[shutdown]
unready_s = {unready_s}
drain_s = {drain_s}
"""


def wait_until(
    condition: Callable[[], Any], timeout_s: float, what: str
) -> float:
    """Wait until a condition holds.

    :param condition: polled until it returns a true value.
    :param timeout_s: timeout of the wait, in seconds.
    :param what: description of the condition, for the error message.
    :returns: time until the condition held, in seconds.
    :raises TimeoutError: if it does not hold in time.
    """
    began_s = time.monotonic()
    pause = Event()
    while not condition():
        if time.monotonic() - began_s > timeout_s:
            raise TimeoutError(f"not within {timeout_s} s: {what}")
        pause.wait(0.05)
    return time.monotonic() - began_s


class EntryProcess:
    """An entry that runs as a process.

    :param name: name of the entry.
    :param directory: directory of its settings and log.
    """

    def __init__(self, name: str, directory: Path):
        """Reserve ports."""
        self.name = name
        # Bound sockets that never listen reserve the ports for the process,
        # also between its end and its restart.
        self.reserved = [reserve_port() for _ in range(3)]
        self.callers, self.operators, self.peers = (
            "{}:{}".format(*each.getsockname()) for each in self.reserved
        )
        self.path = directory / f"{name}.ini"
        self.log = directory / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "cyclamenscale"]
                + ["entry", "--settings", str(self.path)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.running:
            os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(10)

    def close(self) -> None:
        """Kill the process and release the ports."""
        self.kill()
        for each in self.reserved:
            each.close()

    def health(self) -> int:
        """Return the HTTP status of ``/health``, 0 without a response."""
        try:
            url = f"http://{self.callers}/health"
            return attempt("GET", url, None, [], 2.0).status
        except AttemptError:
            return 0

    def status(self) -> dict[str, Any]:
        """Return the status for operators, empty without a response."""
        try:
            return Client([self.operators]).read("/v1/status")
        except CyclamenError:
            return {}

    def log_tail(self) -> str:
        """Return the end of the log."""
        if not self.log.exists():
            return ""
        return self.log.read_bytes()[-LOG_TAIL_BYTES:].decode()


def reserve_port() -> socket.socket:
    """Bind a free port without listening."""
    found = socket.socket()
    found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    found.bind(("127.0.0.1", 0))
    return found


class Fleet:
    """Entries that run as processes and stand-ins that run as threads.

    :param directory: directory of settings and logs.
    """

    def __init__(self, directory: Path):
        """Create the stand-ins."""
        self.directory = directory
        self.store = StoreServer()
        self.platform = PlatformServer()
        self.endpoints = {
            name: StandinEndpoint(name)
            for name in (f"node-{n}" for n in range(1, ENDPOINTS + 1))
        }
        self.entries: dict[str, EntryProcess] = {}
        self.request_numbers = count(1)
        #: Time until each change was in force, in seconds.
        self.change_times_s: list[float] = []

    def start(self) -> None:
        """Start everything and configure it as an operator does."""
        self.store.start()
        self.platform.start()
        for number, (name, endpoint) in enumerate(self.endpoints.items()):
            endpoint.start()
            half = number % 2 + 1
            listed = PlatformInstance(
                name, endpoint.address, f"dc-{half}", f"rack-{half}"
            )
            self.platform.add(listed, lambda each=endpoint: each.running)
        for number in range(1, ENTRIES + 1):
            self.add_entry(f"entry-{number}")
        for each in self.entries.values():
            self.write_settings(each)
            each.start()
        self.wait_admitting()
        self.put(f"pools/{POOL}", {})
        for each in CLASSES:
            self.put_class(each)
        for name in self.endpoints:
            self.put(f"instances/{name}", {"pool": POOL})
        self.wait_usable()

    def add_entry(self, name: str) -> EntryProcess:
        """Add an entry without starting it."""
        entry = EntryProcess(name, self.directory)
        self.entries[name] = entry
        return entry

    def write_settings(self, entry: EntryProcess) -> None:
        """Write the settings of an entry, with two others as its seeds."""
        others = [each for each in self.entries.values() if each is not entry]
        entry.path.write_text(
            SETTINGS.format(
                name=entry.name,
                half=len(entry.name + entry.peers) % 2 + 1,
                callers=entry.callers,
                operators=entry.operators,
                peers=entry.peers,
                seeds=", ".join(each.peers for each in others[:2]),
                store=self.store.address,
                platform=self.platform.address,
                unready_s=UNREADY_S,
                drain_s=DRAIN_S,
                tick_s=TICK_S,
            )
        )

    def restore(self) -> None:
        """Undo faults and restart processes that earlier tests stopped."""
        self.store.faults.set(lose_share=0.0)
        self.store.up()
        for entry in self.entries.values():
            entry.signal(signal.SIGCONT)
            if not entry.running:
                entry.start()
        self.wait_admitting()
        self.wait_usable()

    def stop(self) -> None:
        """Stop all processes and stand-ins."""
        for entry in self.entries.values():
            entry.close()
        for endpoint in self.endpoints.values():
            endpoint.stop()
        self.platform.stop()
        self.store.stop()

    def log_tails(self) -> str:
        """Return the ends of all logs, for a failed test."""
        return "\n".join(
            f"--- {name}\n{entry.log_tail()}"
            for name, entry in self.entries.items()
        )

    def wait_admitting(self) -> None:
        """Wait until all entries admit work."""
        for entry in self.entries.values():
            wait_until(
                lambda each=entry: each.health() == 200,
                READY_S,
                f"{entry.name} admits work",
            )

    def wait_usable(self) -> None:
        """Wait until all entries can use all endpoints.

        New and returning endpoints start with only some of their slots.
        """
        for entry in self.entries.values():
            wait_until(
                lambda each=entry: self.usable_slots(each) >= ENDPOINTS,
                READY_S,
                f"{entry.name} can use the endpoints",
            )

    def usable_slots(self, entry: EntryProcess) -> int:
        """Return the slots that an entry may use now."""
        pools = entry.status().get("pools", {})
        return pools.get(POOL, {}).get("usable_slots", 0)

    def client(self, name: str = "") -> Client:
        """Return a client of one entry, by default of all running ones."""
        chosen = [self.entries[name]] if name else self.entries.values()
        return Client([each.operators for each in chosen if each.running])

    def put(self, path: str, fields: dict | None, name: str = "") -> float:
        """Create or replace a record; None removes it.

        :returns: time until the change was in force, in seconds.
        """
        began_s = time.monotonic()
        self.client(name).change(
            "DELETE" if fields is None else "PUT",
            f"/v1/{path}",
            fields,
            who="test",
            why="test",
        )
        taken_s = time.monotonic() - began_s
        self.change_times_s.append(taken_s)
        return taken_s

    def put_class(self, demo: DemoClass, name: str = "", **more) -> float:
        """Create or change a class; return the time until it is in force."""
        fields = {
            "pool": POOL,
            "finish_within_ms": demo.finish_within_ms,
            "max_out_share": MAX_OUT_SHARE,
            "repeatable": demo.repeatable,
        }
        return self.put(f"classes/{demo.name}", {**fields, **more}, name)

    def controller_of(self, pool: str) -> str:
        """Return the entry that controls a pool, empty if none does."""
        for name, entry in self.entries.items():
            if entry.running:
                state = entry.status().get("pools", {}).get(pool, {})
                if state.get("controlled_here"):
                    return name
        return ""

    def send(
        self, name: str, demo: DemoClass, run_ms: int = 5
    ) -> "SentRequest":
        """Send one request through an entry."""
        return self.send_number(name, next(self.request_numbers), demo, run_ms)

    def send_number(
        self, name: str, number: int, demo: DemoClass, run_ms: int
    ) -> "SentRequest":
        """Send one request with a given number."""
        began_s = time.monotonic()
        result = call(self.entries[name].callers, number, demo, run_ms)
        return SentRequest(name, began_s, time.monotonic(), result)

    def request_traces(
        self, sent: Iterable["SentRequest"], outcome: str
    ) -> list[str]:
        """Return the traces of up to 20 requests with a given outcome.

        Call it soon, since entries keep only the latest requests.
        """
        found = []
        for each in list(sent):
            if each.result.outcome != outcome or len(found) >= 20:
                continue
            path = f"/v1/explain/request/{each.result.request_id}"
            try:
                client = Client([self.entries[each.entry].operators])
                found.append(str(client.read(path)))
            except CyclamenError as error:
                found.append(f"{each}: {error}")
        return found

    def counter_sum(self, name: str) -> float:
        """Return the sum of a counter over all entries."""
        return sum(
            each.status().get("metrics", {}).get(name, 0)
            for each in self.entries.values()
        )

    def runs(self) -> list[RunRecord]:
        """Return the runs of all endpoints."""
        found = []
        for endpoint in self.endpoints.values():
            with endpoint.changed:
                found += endpoint.log
        return found

    def violations(
        self,
        sent: Iterable["SentRequest"],
        killed: frozenset[str] = frozenset(),
    ) -> list[str]:
        """Check the outcomes of requests against the logs of the endpoints.

        :param sent: requests to check.
        :param killed: entries whose pending requests may end without an
            outcome.
        :returns: a description of each violated guarantee.
        """
        sent = list(sent)
        runs = self.runs()
        accounted = [
            each.result
            for each in sent
            if not (each.entry in killed and each.result.outcome == "lost")
        ]
        names = sorted({each.result.class_name for each in sent})
        found = build_report(accounted, runs, names).violations
        # The account leaves out lost requests of killed entries, so keys are
        # checked separately.
        keys = {each.result.key for each in sent}
        repeated = [
            key
            for key, times in Counter(run.key for run in runs).items()
            if key in keys and times > 1
        ]
        ran = {run.request_id for run in runs}
        not_run = [
            each.result.request_id
            for each in sent
            if each.result.outcome == "answered"
            and each.result.class_name == REPLAN.name
            and each.result.request_id not in ran
        ]
        if repeated:
            found.append(f"keys that ran more than once: {repeated}")
        if not_run:
            found.append(f"answered but did not run: {not_run}")
        return found


class SentRequest(NamedTuple):
    """A request sent by a test.

    :ivar entry: name of the entry that received it.
    :ivar began_s: time when it was sent.
    :ivar ended_s: time when its outcome was known.
    :ivar result: result that the caller received.
    """

    entry: str
    began_s: float
    ended_s: float
    result: CallResult


class Load:
    """Callers that send requests in the background.

    If the class is not repeatable, some keys are sent a second time through
    any entry, and so is every key whose outcome is unknown.

    :param fleet: fleet that the requests are sent to.
    :param demo: class of the requests.
    :param threads: number of concurrent callers.

    :ivar targets: names of the entries that receive requests; replaced as a
        whole, as by the platform's load balancer.
    """

    def __init__(self, fleet: Fleet, demo: DemoClass, threads: int = 8):
        """Create the threads; :meth:`__enter__` starts them."""
        self.fleet = fleet
        self.demo = demo
        self.targets = list(fleet.entries)
        self.stopped = Event()
        # Guards sent.
        self.lock = Lock()
        self.sent: list[SentRequest] = []
        self.threads = [
            Thread(target=self.run, args=(Random(seed),), daemon=True)
            for seed in range(threads)
        ]

    def __enter__(self) -> "Load":
        """Start to send requests."""
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_) -> None:
        """Stop sending and wait for the outcomes."""
        self.stopped.set()
        for thread in self.threads:
            thread.join(40)

    def run(self, rng: Random) -> None:
        """Send requests one after the other."""
        while not self.stopped.is_set():
            number = next(self.fleet.request_numbers)
            run_ms = rng.randint(*self.demo.run_ms)
            outcome = self.send(rng, number, run_ms)
            if self.demo.repeatable:
                continue
            if outcome in ("unknown", "lost") or rng.random() < 0.1:
                self.send(rng, number, run_ms)

    def send(self, rng: Random, number: int, run_ms: int) -> str:
        """Send one request and record its outcome."""
        name = rng.choice(self.targets)
        sent = self.fleet.send_number(name, number, self.demo, run_ms)
        with self.lock:
            self.sent.append(sent)
        return sent.result.outcome

    def finished(self) -> list[SentRequest]:
        """Return the requests whose outcome is known."""
        with self.lock:
            return list(self.sent)

    def wait_answered(self, more: int, timeout_s: float) -> None:
        """Wait until a number of new requests have been answered."""
        began_s = time.monotonic()
        wait_until(
            lambda: (
                sum(
                    each.began_s >= began_s
                    and each.result.outcome == "answered"
                    for each in self.finished()
                )
                >= more
            ),
            timeout_s,
            f"{more} more requests of class {self.demo.name} are answered",
        )


def outcomes(sent: Iterable[SentRequest]) -> dict[str, int]:
    """Return the number of requests by outcome."""
    return dict(Counter(each.result.outcome for each in sent))
