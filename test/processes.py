"""Runs entries as processes, over stand-ins in the process of the test."""

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
#: Share of the endpoints, rounded down.
BUDGET = 3

REPLAN = DemoClass("replan", 2000, True, (5, 20), 0.5)
BOOKING = DemoClass("booking", 3000, False, (5, 20), 0.3)
#: Runs longer than an entry admits work after SIGTERM, and than the four
#: ticks of a controller from exclusion to reboot, so that a shutdown or a
#: reboot that does not wait cuts it. With up to 3 s and ticks of 1 s, a
#: controller that did not wait was not noticed.
SETTLEMENT = DemoClass("settlement", 20000, False, (2500, 4000), 0.2)
CLASSES = (REPLAN, BOOKING, SETTLEMENT)

#: Time for a process to start and to be confirmed by the others.
READY_S = 20.0
LOG_TAIL_BYTES = 4000

#: Shorter than the defaults, because tests wait for these times.
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

    :param condition: asked again and again.
    :param timeout_s: bound of the wait.
    :param what: is waited for, in words.
    :returns: how long it took, in seconds.
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
    """One entry as a process.

    :param name: name of the entry.
    :param directory: gets its settings and its log.
    """

    def __init__(self, name: str, directory: Path):
        """Take ports from the system."""
        self.name = name
        # Bound sockets that never listen keep the ports for the process,
        # also between its end and its restart.
        self.reserved = [reserve() for _ in range(3)]
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
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.running:
            os.kill(self.process.pid, number)

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(10)

    def close(self) -> None:
        """End the process and give the ports back."""
        self.kill()
        for each in self.reserved:
            each.close()

    def health(self) -> int:
        """Return the status of ``/health``, 0 without an answer."""
        try:
            url = f"http://{self.callers}/health"
            return attempt("GET", url, None, [], 2.0).status
        except AttemptError:
            return 0

    def status(self) -> dict[str, Any]:
        """Return the status that operators see, empty without an answer."""
        try:
            return Client([self.operators]).read("/v1/status")
        except CyclamenError:
            return {}

    def tail(self) -> str:
        """Return the end of the log."""
        if not self.log.exists():
            return ""
        return self.log.read_bytes()[-LOG_TAIL_BYTES:].decode()


def reserve() -> socket.socket:
    """Bind a port of the system's choice without listening."""
    found = socket.socket()
    found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    found.bind(("127.0.0.1", 0))
    return found


class Fleet:
    """Entries as processes, stand-ins as threads.

    :param directory: for settings and logs.
    """

    def __init__(self, directory: Path):
        """Make the stand-ins."""
        self.directory = directory
        self.store = StoreServer()
        self.platform = PlatformServer()
        self.endpoints = {
            name: StandinEndpoint(name)
            for name in (f"node-{n}" for n in range(1, ENDPOINTS + 1))
        }
        self.entries: dict[str, EntryProcess] = {}
        self.numbers = count(1)
        #: How long each change took, in seconds.
        self.times: list[float] = []

    def start(self) -> None:
        """Start everything, and configure it as an operator does."""
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
            self.add(f"entry-{number}")
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

    def add(self, name: str) -> EntryProcess:
        """Make one more entry; it is not started."""
        entry = EntryProcess(name, self.directory)
        self.entries[name] = entry
        return entry

    def write_settings(self, entry: EntryProcess) -> None:
        """Write the settings of an entry; two others are its seeds."""
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
        """Bring back what an earlier test has taken away."""
        self.store.faults.set(lose_share=0.0)
        self.store.up()
        for entry in self.entries.values():
            entry.signal(signal.SIGCONT)
            if not entry.running:
                entry.start()
        self.wait_admitting()
        self.wait_usable()

    def stop(self) -> None:
        """End all processes and stand-ins."""
        for entry in self.entries.values():
            entry.close()
        for endpoint in self.endpoints.values():
            endpoint.stop()
        self.platform.stop()
        self.store.stop()

    def tails(self) -> str:
        """Return the ends of all logs, for a test that failed."""
        return "\n".join(
            f"--- {name}\n{entry.tail()}"
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
        """Wait until all entries have all endpoints in use.

        Endpoints that are new or back begin with some of their slots.
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
        """Return a client of one entry, by default of all that run."""
        chosen = [self.entries[name]] if name else self.entries.values()
        return Client([each.operators for each in chosen if each.running])

    def put(self, path: str, fields: dict | None, name: str = "") -> float:
        """Make a change; None removes the record.

        :returns: the time until it was in force, in seconds.
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
        self.times.append(taken_s)
        return taken_s

    def put_class(self, demo: DemoClass, name: str = "", **more) -> float:
        """Create or change a class; return the time until in force."""
        fields = {
            "pool": POOL,
            "finish_within_ms": demo.finish_within_ms,
            "max_out_share": MAX_OUT_SHARE,
            "repeatable": demo.repeatable,
        }
        return self.put(f"classes/{demo.name}", {**fields, **more}, name)

    def holder(self, pool: str) -> str:
        """Return the entry that controls a pool, empty if none does."""
        for name, entry in self.entries.items():
            if entry.running:
                state = entry.status().get("pools", {}).get(pool, {})
                if state.get("controlled_here"):
                    return name
        return ""

    def send(self, name: str, demo: DemoClass, run_ms: int = 5) -> "Sent":
        """Send one request through an entry."""
        return self.send_number(name, next(self.numbers), demo, run_ms)

    def send_number(
        self, name: str, number: int, demo: DemoClass, run_ms: int
    ) -> "Sent":
        """Send a request with a number of the caller's choice."""
        began_s = time.monotonic()
        result = call(self.entries[name].callers, number, demo, run_ms)
        return Sent(name, began_s, time.monotonic(), result)

    def explain(self, sent: Iterable["Sent"], outcome: str) -> list[str]:
        """Return the traces of some requests that ended with an outcome.

        Ask soon: an entry remembers only its latest requests.
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

    def counted(self, name: str) -> float:
        """Return a counter's sum over all entries."""
        return sum(
            each.status().get("metrics", {}).get(name, 0)
            for each in self.entries.values()
        )

    def runs(self) -> list[RunRecord]:
        """Return what all endpoints ran."""
        found = []
        for endpoint in self.endpoints.values():
            with endpoint.changed:
                found += endpoint.log
        return found

    def faults(
        self, sent: Iterable["Sent"], killed: frozenset[str] = frozenset()
    ) -> list[str]:
        """Account for requests against the endpoints' logs.

        :param sent: the requests.
        :param killed: entries whose open requests may end without an
            outcome.
        :returns: a line for each broken promise.
        """
        sent = list(sent)
        runs = self.runs()
        counted = [
            each.result
            for each in sent
            if not (each.entry in killed and each.result.outcome == "lost")
        ]
        names = sorted({each.result.class_name for each in sent})
        found = build_report(counted, runs, names).violations
        # A key that was sent through a killed entry is not counted there.
        keys = {each.result.key for each in sent}
        twice = [
            key
            for key, times in Counter(run.key for run in runs).items()
            if key in keys and times > 1
        ]
        ran = {run.request_id for run in runs}
        phantom = [
            each.result.request_id
            for each in sent
            if each.result.outcome == "answered"
            and each.result.class_name == REPLAN.name
            and each.result.request_id not in ran
        ]
        if twice:
            found.append(f"keys that ran more than once: {twice}")
        if phantom:
            found.append(f"answered but did not run: {phantom}")
        return found


class Sent(NamedTuple):
    """A request of a test.

    :ivar entry: name of the entry that got it.
    :ivar began_s: when it was sent.
    :ivar ended_s: when its outcome was known.
    :ivar result: what the caller got.
    """

    entry: str
    began_s: float
    ended_s: float
    result: CallResult


class Load:
    """Callers that send requests until told to stop.

    A part of the keys that must not be repeated is sent again through
    another entry, and each one whose outcome is not known.

    :param fleet: gets the requests.
    :param demo: class of the requests.
    :param threads: callers at once.

    :ivar targets: names of the entries that get requests, replaced as a
        whole, as the platform's balancer does.
    """

    def __init__(self, fleet: Fleet, demo: DemoClass, threads: int = 8):
        """Prepare; :meth:`__enter__` begins to send."""
        self.fleet = fleet
        self.demo = demo
        self.targets = list(fleet.entries)
        self.stopped = Event()
        # Guards sent.
        self.lock = Lock()
        self.sent: list[Sent] = []
        self.threads = [
            Thread(target=self.run, args=(Random(seed),), daemon=True)
            for seed in range(threads)
        ]

    def __enter__(self) -> "Load":
        """Begin to send."""
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_) -> None:
        """Send no more, and wait for the outcomes."""
        self.stopped.set()
        for thread in self.threads:
            thread.join(40)

    def run(self, rng: Random) -> None:
        """Send requests, one after the other."""
        while not self.stopped.is_set():
            number = next(self.fleet.numbers)
            run_ms = rng.randint(*self.demo.run_ms)
            outcome = self.send(rng, number, run_ms)
            if self.demo.repeatable:
                continue
            if outcome in ("unknown", "lost") or rng.random() < 0.1:
                self.send(rng, number, run_ms)

    def send(self, rng: Random, number: int, run_ms: int) -> str:
        """Send one request and keep what came of it."""
        name = rng.choice(self.targets)
        sent = self.fleet.send_number(name, number, self.demo, run_ms)
        with self.lock:
            self.sent.append(sent)
        return sent.result.outcome

    def so_far(self) -> list[Sent]:
        """Return the requests whose outcome is known."""
        with self.lock:
            return list(self.sent)

    def wait_answered(self, more: int, timeout_s: float) -> None:
        """Wait until some more requests have been answered."""
        began_s = time.monotonic()
        wait_until(
            lambda: (
                sum(
                    each.began_s >= began_s
                    and each.result.outcome == "answered"
                    for each in self.so_far()
                )
                >= more
            ),
            timeout_s,
            f"{more} more requests of class {self.demo.name} are answered",
        )


def outcomes(sent: Iterable[Sent]) -> dict[str, int]:
    """Count the outcomes that callers got."""
    return dict(Counter(each.result.outcome for each in sent))
