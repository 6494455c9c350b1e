"""A small deployment on loopback addresses for the cases of this review.

Entries are processes started by the command of the deploy file, with settings
made from its template; the platform and the workers are stand-ins.
"""

import base64
import http.client
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

from http_server import Reply, Server
from standin_store import Store
from standin_worker import Work, Worker

ROOT = Path(__file__).resolve().parents[2]
HOST = "plan.example"

BROKEN, HELD, NOT_RUN = 1, 0, 2

READY_S = 30.0


#: Ports of an entry, those of the platform's settings and of the template.
PORTS = (8622, 8623, 8624, 7060, 9464)


class NotRunError(Exception):
    """The case could not run."""


def free_address(slot: int, number: int) -> str:
    """Return a loopback address on which all ports of an entry are free."""
    for offset in range(200):
        address = f"127.{(os.getpid() + offset) % 200 + 20}.{slot}.{number}"
        try:
            for port in PORTS:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((address, port))
        except OSError:
            continue
        return address
    raise NotRunError("no address has free ports")


class Entry:
    """A job entry as a process with a loopback address of its own."""

    def __init__(self, number: int, deployment: "Deployment"):
        """Write its settings."""
        self.name = f"edge-{number}"
        self.ip = free_address(deployment.slot, number)
        self.front = f"{self.ip}:8624"
        self.ready = f"{self.ip}:8622"
        self.deployment = deployment
        self.process: subprocess.Popen | None = None
        self.settings = deployment.folder / f"{self.name}.ini"
        self.log = deployment.folder / f"{self.name}.log"
        fields = {
            "node-name": self.name,
            "zone": "zone-a",
            "ip": self.ip,
            "listen.front": self.front,
            "listen.ready": self.ready,
            "listen.control": f"{self.ip}:8623",
            "port-range.0": "7060",
            "limits.cores": "2",
            "limits.cpu-share": "0.537",
            "limits.link-mbps": "1000.0",
            "platform.address": deployment.store.address,
            "platform.writes-per-s": "400",
            "platform.reads-per-s": "2000",
            "cloud-api.address": deployment.cloud.address,
            "advice": deployment.cloud.address,
            "bounds.max-hold-ms": "10000",
            "bounds.lease-ms": "3000",
        }
        role = deployment.role
        template = (ROOT / role["template"]).read_text()
        text = re.sub(r"{{([^}]*)}}", lambda m: fields[m[1]], template)
        self.settings.write_text(text)

    def start(self) -> None:
        """Start the process."""
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["CYCLAMENSCALE_SETTINGS"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.deployment.role["run"].split(" "),
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.deployment.record(self.name, "started")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.deployment.record(self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait(10)

    def call(
        self, method: str, path: str, body: dict | None = None, wait_s=3.0
    ) -> tuple[int, dict]:
        """Send a request; the status is 0 if there is no answer."""
        data = json.dumps(body).encode() if body is not None else None
        headers = {
            "Host": HOST,
            "X-Cyclamenscale-Deadline-Ms": str(int(wait_s * 1000)),
            "Content-Type": "application/json",
        }
        connection = http.client.HTTPConnection(self.front, timeout=wait_s)
        try:
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            text = response.read()
            found = json.loads(text) if text else {}
            status = response.status
        except (OSError, http.client.HTTPException, ValueError):
            status, found = 0, {}
        finally:
            connection.close()
        self.deployment.record(
            "client", f"{method} {path} at {self.name}: {status} {found}"
        )
        return status, found

    def is_ready(self) -> bool:
        """Return whether it reports itself ready."""
        connection = http.client.HTTPConnection(self.ready, timeout=1.0)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class Deployment:
    """The store, the machine list, workers and entries of one case.

    :param case: folder of the case, where the record is written.
    :param entries: number of entries.
    """

    def __init__(self, case: Path, entries: int = 2):
        """Create all parts; nothing is started."""
        if not (ROOT / "target" / "deps").is_dir():
            raise NotRunError("the build line has not been run")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.role = deploy["roles"]["entry"]
        self.slot = int(case.name) if case.name.isdecimal() else 1
        self.began_s = time.monotonic()
        self.lock = threading.Lock()
        self.lines = (case / "record.txt").open("w")
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.temporary.name)
        self.store = Store()
        self.cloud = Server(self.serve_cloud)
        self.workers: list[Worker] = []
        self.works: dict[str, Work] = {}
        self.version = 0
        self.entries = [Entry(number + 1, self) for number in range(entries)]

    def record(self, who: str, what: str) -> None:
        """Write a line to the record."""
        with self.lock:
            if not self.lines.closed:
                now_s = time.monotonic() - self.began_s
                self.lines.write(f"{now_s:8.3f}  {who:<10} {what}\n")
                self.lines.flush()

    def serve_cloud(self, method, path, headers, body, source) -> Reply:
        """List the machines; no other order is expected."""
        if not path.startswith("/machines"):
            self.record("cloud", f"{method} {path} {body}")
            return Reply(409, {"reason": "busy"})
        rows = [
            {
                "machine": f"m-{worker.name}",
                "pool": worker.service,
                "state": "up",
                "zone": "zone-a",
                "labels": ["kind-a", worker.rack],
                "capacity": {"cpu": worker.cpu, "mem-mb": 65536, "gpu": 0},
                "id": worker.name,
            }
            for worker in self.workers
        ]
        return Reply(200, {"machines": rows})

    def add_worker(self, name: str, service: str, **options) -> Worker:
        """Add a worker."""
        worker = Worker(
            name, service, self.store, self.work_of, self.record, **options
        )
        self.workers.append(worker)
        return worker

    def work_of(self, task: str) -> Work:
        """Return the work of a task: that of its step, or of its job."""
        job, _, step, _ = task.split(".")
        found = self.works.get(f"{job}.{step}") or self.works.get(job)
        return found or Work(0.1)

    def write_manifest(
        self, routes: dict[str, str], prefixes: dict[str, str] | None = None
    ) -> None:
        """Write a version of the manifest.

        :param routes: service by queue.
        :param prefixes: prefix by queue, by default the queue's name.
        """
        prefixes = prefixes or {}
        self.version += 3
        rows = [
            {
                "name": name,
                "host": HOST,
                "prefix": prefixes.get(name, f"/{name}/"),
                "service": service,
                "priority": 0,
                "attempts": 3,
                "stretch": 1.6,
                "target-latency-ms": 600,
            }
            for name, service in routes.items()
        ]
        services = sorted(
            {worker.service for worker in self.workers} | set(routes.values())
        )
        body = {
            "version": self.version,
            "routes": rows,
            "services": [
                {"name": name, "admission-check": True} for name in services
            ],
            "limits": {"max-body-bytes": 262144},
        }
        text = json.dumps(body).encode()
        self.store.write("op/config", base64.b64encode(text).decode())
        text = f"manifest {self.version}: {routes} {prefixes}"
        self.record("operator", text)

    def start(self) -> None:
        """Start all entries and wait until they are ready."""
        for entry in self.entries:
            entry.start()
        end_s = time.monotonic() + READY_S
        while not all(entry.is_ready() for entry in self.entries):
            if time.monotonic() > end_s:
                raise NotRunError("the entries are not ready")
            time.sleep(0.1)
        while not self.leader_name():
            if time.monotonic() > end_s:
                raise NotRunError("there is no leader")
            time.sleep(0.1)

    def leader_name(self) -> str:
        """Return the name of the entry that leads, empty if none does."""
        return self.store.value("cyclamen/leader").decode()

    def leader(self) -> Entry:
        """Return the entry that leads."""
        name = self.leader_name()
        found = [entry for entry in self.entries if entry.name == name]
        if not found:
            raise NotRunError("there is no leader")
        return found[0]

    def stop(self) -> None:
        """End all processes that were started."""
        for entry in self.entries:
            entry.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for entry in self.entries:
                target = Path(keep) / f"{entry.name}.log"
                target.write_bytes(entry.log.read_bytes())
        with self.lock:
            self.lines.close()
        self.temporary.cleanup()


def has_trouble() -> bool:
    """Return whether the case's disruption is to be caused."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case: Path, play, entries: int = 2) -> None:
    """Play a case and exit with its result.

    :param play: called with the deployment; returns what broke the rule, as
        a list of sentences.
    """
    try:
        deployment = Deployment(case, entries)
    except (NotRunError, OSError) as error:
        print(f"not run: {error}")
        sys.exit(NOT_RUN)
    status = NOT_RUN
    try:
        broken = play(deployment)
        for line in broken:
            deployment.record("rule", line)
            print(line)
        status = BROKEN if broken else HELD
        deployment.record("rule", "broken" if broken else "held")
    except NotRunError as error:
        deployment.record("case", f"not run: {error}")
        print(f"not run: {error}")
    finally:
        deployment.stop()
    print({BROKEN: "broken", HELD: "held", NOT_RUN: "not run"}[status])
    sys.stdout.flush()
    os._exit(status)
