"""Job entries that run as processes, and callers that use them."""

import signal
import subprocess
import sys
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException
from itertools import count
from pathlib import Path
from random import Random
from threading import Event, Thread
from time import monotonic

from msgspec import json

from test.processes import ROOT
from test.soak.checker import Checker, JobPlan, StepPlan
from test.soak.platform import ATTEMPTS, POOLS

SETTINGS = """\
[entry]
name = {name}
callers_address = {callers}
ready_address = {ready}
metrics_address = {host}:0
peers_address = {peers}

[store]
adapter = platform
address = {host}:{store_port}

[platform]
address = {host}:{store_port}
"""

#: Ports for callers, readiness and peers; the system selects none of them.
PORTS = (8001, 8002, 8003)

#: Time for an interpreter to start on a busy machine.
STARTING_S = 2.0

#: How long callers wait for a response, and for its delivery.
CALL_DEADLINE_MS = 2000
CALL_TIMEOUT_S = 3.0

#: Attempts to submit a job while its outcome is unknown.
MAX_ATTEMPTS = 6

#: Mean pause of a caller between its calls.
CALLER_PAUSE_S = 0.15


class EntryProcess:
    """A job entry that runs as a process at a loopback address of its own.

    :param number: determines name and address.
    :param network: first three numbers of the address.
    :ivar killed: whether the soak has ended the process.
    """

    def __init__(
        self, number: int, network: str, directory: Path, store_port: int
    ):
        """Write the settings."""
        self.name = f"e{number}"
        self.host = f"{network}.{number + 1}"
        self.callers, self.ready, self.peers = (
            f"{self.host}:{port}" for port in PORTS
        )
        self.settings = directory / f"{self.name}.ini"
        self.log = directory / f"{self.name}.log"
        self.process: subprocess.Popen | None = None
        self.killed = False
        self.restart_s = 0.0
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                host=self.host,
                callers=self.callers,
                ready=self.ready,
                peers=self.peers,
                store_port=store_port,
            )
        )

    def start(self) -> None:
        """Start the process, in a session of its own."""
        self.killed = False
        self.started_s = monotonic()
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "cyclamenscale"]
                + ["jobs", "--settings", str(self.settings)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    @property
    def running(self) -> bool:
        """Return whether the process runs or is paused."""
        return self.process is not None and self.process.poll() is None

    def has_failed(self) -> bool:
        """Return whether the process has ended by itself.

        SIGHUP ends an interpreter that has not installed its handler yet.
        """
        hung_up = self.process.returncode == -signal.SIGHUP
        starting = monotonic() - self.started_s < STARTING_S
        return (
            not self.running and not self.killed and not (hung_up and starting)
        )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.running:
            self.process.send_signal(number)

    def close(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait(10)

    def is_ready(self) -> bool:
        """Return whether the entry reports itself as ready."""
        connection = HTTPConnection(self.ready, timeout=1.0)
        status, _ = call(connection, "GET", "/ready")
        connection.close()
        return status == 200


def call(
    connection: HTTPConnection, method: str, path: str, body: bytes = b""
) -> tuple[int, dict]:
    """Send a request.

    :returns: status and body; status 0 if there was no complete response,
        after which the connection is closed.
    """
    headers = {
        "Host": "soak.example",
        "X-Cyclamenscale-Deadline-Ms": str(CALL_DEADLINE_MS),
    }
    try:
        connection.request(method, path, body or None, headers)
        response = connection.getresponse()
        data = response.read()
        return response.status, json.decode(data) if data else {}
    except (OSError, HTTPException):
        connection.close()
        return 0, {}


def draw_job(rng: Random, job: str) -> JobPlan:
    """Draw a job; its tasks take a small part of a worker."""
    first = StepPlan(
        rng.randint(1, 4),
        rng.choice([250, 500, 1000]),
        run_ms=rng.choice([20, 60, 150, 400, 900]),
        failures=rng.choice([0, 0, 0, 0, 1, ATTEMPTS]),
        copies=rng.random() < 0.2,
    )
    steps = [first]
    if rng.random() < 0.5:
        second = StepPlan(rng.randint(1, 2), 500, (0,), rng.randint(50, 400))
        steps.append(second)
    if rng.random() < 0.1:
        steps = [StepPlan(1, 250, run_ms=10**9, lasts=True)]
    return JobPlan(job, rng.choice(list(POOLS)), ATTEMPTS, tuple(steps))


def encode_job(plan: JobPlan) -> bytes:
    """Return the body that submits a job."""
    steps = [
        {
            "count": step.count,
            "cpu": step.cpu,
            "mem-mb": 64,
            "estimate-ms": min(step.run_ms, 1000),
            "after": list(step.after),
            "speculative": step.copies,
            "long-running": step.lasts,
            "required-label": step.label,
            "max-unavailable": step.max_away,
        }
        for step in plan.steps
    ]
    return json.encode({"spec": plan.id, "steps": steps})


class Caller(Thread):
    """Submits jobs, reads their states and cancels some.

    It uses a connection to an entry until it breaks.

    :ivar submitting: whether it submits more jobs.
    """

    def __init__(
        self,
        number: int,
        rng: Random,
        checker: Checker,
        pick_entry: Callable[[Random], EntryProcess],
    ):
        """Initialise; :meth:`start` starts to call."""
        super().__init__(daemon=True)
        self.rng = rng
        self.checker = checker
        self.pick_entry = pick_entry
        self.ids = (f"{number:04x}{each:012x}" for each in count(1))
        self.connection: HTTPConnection | None = None
        self.plans: list[JobPlan] = []
        self.submitting = True
        self.stopped = Event()

    def run(self) -> None:
        """Call until stopped."""
        while not self.stopped.wait(self.rng.expovariate(1 / CALLER_PAUSE_S)):
            action = self.rng.random()
            if action < 0.5 and self.submitting:
                plan = draw_job(self.rng, next(self.ids))
                self.plans.append(plan)
                self.submit(plan)
            elif self.plans:
                plan = self.rng.choice(self.plans[-30:])
                if action > 0.95 and self.submitting:
                    self.cancel(plan)
                else:
                    self.ask(plan)

    def call(self, method: str, plan: JobPlan, body: bytes = b""):
        """Send a request about a job on the open connection."""
        if self.connection is None or self.connection.sock is None:
            entry = self.pick_entry(self.rng)
            self.connection = HTTPConnection(
                entry.callers, timeout=CALL_TIMEOUT_S
            )
        return call(self.connection, method, f"/{plan.pool}/{plan.id}", body)

    def submit(self, plan: JobPlan) -> None:
        """Submit a job, again while its outcome is unknown."""
        self.checker.record_attempt(plan)
        for _ in range(MAX_ATTEMPTS):
            status, _ = self.call("POST", plan, encode_job(plan))
            self.checker.record_response(plan.id, status)
            if status not in (0, 502, 504) or self.stopped.wait(0.1):
                return

    def cancel(self, plan: JobPlan) -> None:
        """Cancel a job."""
        self.checker.record_cancel(plan.id)
        status, _ = self.call("DELETE", plan)
        self.checker.record_cancel(plan.id, status)

    def ask(self, plan: JobPlan) -> str:
        """Read the state of a job."""
        status, body = self.call("GET", plan)
        state = body.get("state", "")
        self.checker.record_state(plan.id, status, state)
        return state if status == 200 else ""
