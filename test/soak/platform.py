"""The platform of a soak: a store and workers with one address each."""

from base64 import b64decode, b64encode
from itertools import count
from random import Random
from threading import Event, Thread
from time import time

from msgspec import json
from werkzeug.wrappers import Request, Response

from cyclamenscale.jobs.keys import LEADER
from cyclamenscale.standin.http import HttpServer, json_response
from cyclamenscale.standin.state import DeleteOp, PutOp, RangeOp
from test.platform.standin import PlatformStandIn
from test.soak.checker import Checker
from test.soak.worker import Life, SoakWorker

HOST = "127.0.0.1"

#: Interval at which leases and runs end that are due.
TICK_S = 0.01

#: Time for which a machine is down: ``maintenance-s`` and ``migrate-s``.
MAINTENANCE_S = 2.0
MOVE_S = 1.5

#: Ticks between two checks for jobs that have nothing running.
STILL_TICKS = 5

#: Threads for the calls of a coordinator, and of others that were replaced.
WORKER_THREADS = 12

#: Idle connections of all entries to the store.
MAX_IDLE_CONNECTIONS = 2000

POOLS = {"pool-a": False, "pool-b": True}
POOL_CPU = 4000
ATTEMPTS = 3

#: Records that name no worker, by kind.
ODD_RECORDS = {
    "nested": b"[" * 2000,
    "large-number": b'{"service":"pool-a","address":"127.0.0.1:1","state":'
    b'"ready","capacity":{"cpu":1' + b"0" * 400 + b"}}",
    "large-port": b'{"service":"pool-a","address":"127.0.0.1:65536",'
    b'"state":"ready","capacity":{"cpu":4000,"mem-mb":4096}}',
    "nul-in-host": rb"""{"service":"pool-b","address":"127.0.0.1\u0000:1","""
    rb""""state":"ready","capacity":{"cpu":4000,"mem-mb":4096}}""",
}

#: A route that only manifests with an odd version have.
ODD_PREFIX = "/odd/"


def build_manifest(version: int) -> dict:
    """Return a version of the manifest."""
    routes = [
        {
            "name": f"r-{pool}",
            "host": "soak.example",
            "prefix": f"/{pool}/",
            "service": pool,
            "priority": priority,
            "attempts": ATTEMPTS,
            "stretch": 1.6,
            "target-latency-ms": 500 + version,
        }
        for priority, pool in enumerate(POOLS)
    ]
    if version % 2:
        routes.append(routes[0] | {"name": "r-odd", "prefix": ODD_PREFIX})
    services = [
        {"name": pool, "admission-check": guarded}
        for pool, guarded in POOLS.items()
    ]
    return {"version": version, "routes": routes, "services": services}


class SoakPlatform(PlatformStandIn):
    """Serves the store and the workers.

    :param checker: receives what the workers see.
    :param workers: number of workers, in turn of each pool.
    :param threads: calls to the store that are served at once.
    :ivar refused: addresses of entries that the store refuses.
    """

    def __init__(
        self, checker: Checker, workers: int, threads: int, rng: Random
    ):
        """Create the servers."""
        super().__init__(workers=0, threads=threads)
        self.checker = checker
        self.refused: set[str] = set()
        self.stopped = Event()
        self.lives = count(1)
        self.waves = count(1)
        #: Numbers of the workers that were maintained, by wave.
        self.maintained: dict[int, set[int]] = {}
        #: State of machines that were taken down, and when they come back.
        self.taken_down: dict[int, tuple[str, float]] = {}
        self.version = 0
        self.soak_workers: list[SoakWorker] = []
        self.worker_servers: list[HttpServer] = []
        pools = list(POOLS)
        for number in range(workers):
            pool = pools[number % len(pools)]
            worker = SoakWorker(pool, POOL_CPU, POOLS[pool], checker, rng)
            worker.advance_all = self.advance_workers
            self.soak_workers.append(worker)
            self.worker_servers.append(
                HttpServer(
                    lambda request, to=worker: serve_order(request, to),
                    f"{HOST}:0",
                    WORKER_THREADS,
                )
            )

    def start(self) -> None:
        """Serve, and begin the lives of all workers."""
        for server in (self.server, *self.worker_servers):
            server.start()
        self.server.server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        self.write_manifest()
        for number in range(len(self.soak_workers)):
            self.begin_life(number)
        Thread(target=self.tick, daemon=True).start()

    def stop(self) -> None:
        """Stop all servers."""
        self.stopped.set()
        for server in (self.server, self.second_server, *self.worker_servers):
            server.stop()

    def tick(self) -> None:
        """End leases and runs that are due."""
        for number in count():
            if self.stopped.wait(TICK_S):
                return
            self.state.expire_due_leases()
            self.advance_workers()
            if number % STILL_TICKS == 0:
                for pool in POOLS:
                    self.checker.check_still(pool, self.used_share(pool))

    def advance_workers(self) -> None:
        """End the runs that are due on all workers."""
        with self.checker.lock:
            for worker in self.soak_workers:
                if worker.up:
                    worker.advance()

    def list_machines(self) -> Response:
        """Return the machines, one for each worker."""
        with self.checker.lock:
            rows = [
                {
                    "machine": f"m-{number}",
                    "pool": worker.pool,
                    "state": self.machine_state(number),
                    "labels": ["a", f"rack-{number % 3}"],
                    "id": worker.life.id if worker.up else "",
                }
                for number, worker in enumerate(self.soak_workers)
            ]
        return json_response({"machines": rows, "next-token": None})

    def machine_state(self, number: int) -> str:
        """Return the state of a machine."""
        if self.soak_workers[number].up:
            return "up"
        return self.taken_down.get(number, ("down", 0.0))[0]

    def order_machine(self, path: str, body: dict) -> Response:
        """Maintain or move a machine, which comes back by itself."""
        number = int(body["machine"].removeprefix("m-"))
        worker = self.soak_workers[number]
        with self.checker.lock:
            moves = path == "/machine-move"
            done = self.maintained.setdefault(body.get("wave", 0), set())
            if worker.pool == body["pool"] if moves else number in done:
                return json_response({})
            if not worker.up:
                return json_response({"reason": "busy"}, 409)
            self.checker.check_interrupted(str(worker.life))
            ended = worker.life.id
            worker.end_life()
            if moves:
                worker.pool = body["pool"]
                worker.guarded = POOLS[worker.pool]
                state, away_s = "moving", MOVE_S
            else:
                done.add(number)
                state, away_s = "upkeep", MAINTENANCE_S
            self.taken_down[number] = (state, self.checker.clock() + away_s)
        self.remove_record(ended)
        return json_response({})

    def due_machines(self) -> list[int]:
        """Return the machines that come back now."""
        with self.checker.lock:
            now_s = self.checker.clock()
            due = [
                number
                for number, (_, due_s) in self.taken_down.items()
                if due_s <= now_s
            ]
            for number in due:
                del self.taken_down[number]
        return due

    def request_wave(self, pool: str, limit: int) -> None:
        """Request the maintenance of all machines of a pool."""
        wave = next(self.waves)
        machines = [
            f"m-{number}"
            for number, worker in enumerate(self.soak_workers)
            if worker.pool == pool
        ]
        body = {
            "wave": wave,
            "machines": machines,
            "duration-s": 30,
            "max-count": limit,
        }
        self.write(f"op/wave/{wave}", body)

    def used_share(self, pool: str) -> float:
        """Return the share of a pool's processors that is in use."""
        with self.checker.lock:
            workers = [
                worker
                for worker in self.soak_workers
                if worker.pool == pool and worker.up
            ]
            used = sum(worker.used_cpu() for worker in workers)
            return used / max(sum(worker.cpu for worker in workers), 1)

    def write_manifest(self) -> None:
        """Write the next version of the manifest, as operators do."""
        self.version += 1
        self.write("op/config", build_manifest(self.version))

    def begin_life(self, number: int, worker_id: str = "") -> None:
        """Begin a worker's next life, by default under a new id."""
        life = next(self.lives)
        worker = self.soak_workers[number]
        born_ms = int(time() * 1000)
        worker.begin_life(Life(worker_id or f"w{number}-{life}", born_ms))
        self.write_record(number, "ready")

    def write_record(self, number: int, state: str) -> None:
        """Write a worker's registration."""
        worker = self.soak_workers[number]
        body = {
            "service": worker.pool,
            "address": self.worker_servers[number].address,
            "zone": "dc",
            "state": state,
            "sequence": 1,
            "born": worker.life.born_ms,
            "capacity": {"cpu": worker.cpu, "mem-mb": 65536},
            "labels": ["a", f"rack-{number % 3}"],
            "machine": f"m-{number}",
        }
        self.write(f"servers/{worker.life.id}", body)

    def write_odd_record(self, number: int, first: bool) -> None:
        """Write a record of another writer among those of the workers.

        :param number: determines its kind.
        :param first: whether its key comes before those of the workers.
        """
        kinds = list(ODD_RECORDS)
        kind = kinds[number % len(kinds)]
        key = f"servers/{'a' if first else 'x'}-{kind}".encode()
        self.state.transact([], [PutOp(key, ODD_RECORDS[kind], 0)], [])

    def remove_record(self, worker_id: str) -> None:
        """Remove a worker's registration."""
        delete = DeleteOp(f"servers/{worker_id}".encode())
        self.state.transact([], [delete], [])

    def leader(self) -> str:
        """Return the name of the entry that leads, empty if none does."""
        _, found = self.state.read(RangeOp(LEADER.encode()))
        return found.items[0].value.decode() if found.items else ""

    def handle(self, request: Request) -> Response:
        """Serve one request to the store or about machines."""
        if request.remote_addr in self.refused:
            return json_response({}, 503)
        if request.path == "/machines":
            return self.list_machines()
        if request.path in ("/machine-upkeep", "/machine-move"):
            body = json.decode(request.get_data())
            return self.order_machine(request.path, body)
        response = super().handle(request)
        if request.args.get("prefix", "").startswith("servers/"):
            return translate(response, request.remote_addr)
        return response


def serve_order(request: Request, worker: SoakWorker) -> Response:
    """Serve an order to a worker."""
    target = request.headers["X-Cyclamenscale-Target-Instance"]
    return worker.serve(request.path, target, json.decode(request.get_data()))


def translate(response: Response, host: str) -> Response:
    """Replace the addresses of workers by those that an entry reaches."""
    if response.status_code != 200:
        return response
    body = json.decode(response.get_data())
    for item in body.get("items", []) + body.get("events", []):
        if "value" in item:
            value = b64decode(item["value"]).replace(
                HOST.encode(), host.encode()
            )
            item["value"] = b64encode(value).decode()
    return json_response(body)
