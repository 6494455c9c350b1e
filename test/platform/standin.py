"""Stand-in of the users' platform: store, workers and machines over HTTP.

It uses the state of the stand-in store; workers finish their tasks after a
set time.
"""

import time
from base64 import b64decode, b64encode
from threading import Lock

from msgspec import json
from werkzeug.wrappers import Request, Response

from cyclamenscale.errors import CompactedError
from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.model import WorkerRecord
from cyclamenscale.standin.http import HttpServer, connection_dropped
from cyclamenscale.standin.state import (
    Check,
    DeleteOp,
    PutOp,
    RangeOp,
    StoreState,
)
from test.jobs.world import FakeWorker

MANIFEST = {
    "version": 3,
    "routes": [
        {
            "name": "r-1",
            "host": "plan.example",
            "prefix": "/replan/",
            "service": "pool-a",
            "priority": 0,
            "attempts": 2,
            "stretch": 1.6,
            "target-latency-ms": 600,
        }
    ],
    "services": [{"name": "pool-a", "admission-check": True}],
    "limits": {"max-body-bytes": 4096},
}


def json_response(body, status=200) -> Response:
    """Build a JSON response."""
    return Response(json.encode(body), status, mimetype="application/json")


def item_json(stored) -> dict:
    """Return an item or a tombstone in the platform's JSON form."""
    key = stored.key.decode()
    if not stored.version:
        revision = stored.mod_revision
        return {"key": key, "revision": revision, "tombstone": True}
    return {
        "key": key,
        "value": b64encode(stored.value).decode(),
        "revision": stored.mod_revision,
        "created": stored.create_revision,
        "lease": stored.lease,
    }


def prefix_range(prefix: str) -> RangeOp:
    """Return the range of all keys with a prefix."""
    start = prefix.encode()
    return RangeOp(start, start[:-1] + bytes((start[-1] + 1,)))


class PlatformStandIn:
    """Serves the store, the workers and the machines at one address.

    :ivar mode: ``up``, ``refuse`` (the store responds 503) or ``lost``
        (transactions are executed, but get no response).
    :ivar task_s: how long tasks run.
    :ivar second_server: the same at a second address, for an entry that the
        store is to refuse.
    :ivar second_refuses: whether the second address responds 503.
    """

    def __init__(
        self, workers: int = 2, task_s: float = 0.1, threads: int = 48
    ):
        """Register workers, all with the address of this server."""
        self.state = StoreState()
        self.server = HttpServer(self.handle, "127.0.0.1:0", threads)
        self.second_server = HttpServer(self.handle_second, "127.0.0.1:0", 24)
        self.second_refuses = False
        self.mode = "up"
        self.task_s = task_s
        # Protects workers.
        self.lock = Lock()
        self.workers: dict[str, FakeWorker] = {}
        for number in range(workers):
            self.register(f"w{number}")
        self.write("op/config", MANIFEST)

    def write(self, key: str, body: dict) -> None:
        """Write a key as operators and workers do."""
        put = PutOp(key.encode(), json.encode(body), 0)
        self.state.transact([], [put], [])

    def register(self, name: str) -> None:
        """Register a worker."""
        record = WorkerRecord(
            name,
            5,
            "pool-a",
            self.server.address,
            "dc",
            "r1",
            ("a", "r1"),
            Resources(8.0, 8.0),
        )
        self.workers[name] = FakeWorker(record, time.monotonic)
        body = {
            "service": "pool-a",
            "address": self.server.address,
            "zone": "dc",
            "state": "ready",
            "sequence": 1,
            "born": 5,
            "capacity": {"cpu": 8000, "mem-mb": 8192},
            "labels": ["a", "r1"],
            "machine": f"m-{name}",
        }
        self.write(f"servers/{name}", body)

    def handle_second(self, request: Request) -> Response:
        """Serve one request at the second address."""
        if self.second_refuses:
            return json_response({}, 503)
        return self.handle(request)

    def handle(self, request: Request) -> Response:
        """Serve one request."""
        path = request.path
        if path.startswith("/kv-"):
            if self.mode == "refuse":
                return json_response({}, 503)
            response = self.serve_store(request, path)
            if self.mode == "lost" and path == "/kv-txn":
                raise connection_dropped()
            return response
        if path == "/machines":
            return json_response({"machines": [], "next-token": None})
        return self.serve_worker(request, path)

    def serve_store(self, request: Request, path: str) -> Response:
        """Serve a request to the store."""
        args = request.args
        if path == "/kv-key":
            _, found = self.state.read(RangeOp(args["key"].encode()))
            return (
                json_response(item_json(found.items[0]))
                if found.items
                else json_response({}, 404)
            )
        if path == "/kv-range":
            revision, found = self.state.read(prefix_range(args["prefix"]))
            items = [item_json(stored) for stored in found.items]
            body = {"items": items, "has-more": False, "as-of": revision}
            return json_response(body)
        if path == "/kv-watch":
            return self.watch(args)
        if path == "/kv-txn":
            return self.txn(json.decode(request.get_data()))
        if path == "/kv-lease":
            ttl_ms = json.decode(request.get_data())["ttl-ms"]
            lease = self.state.grant(ttl_ms / 1000)
            return json_response({"lease": lease, "ttl-ms": ttl_ms})
        lease = int(path.rpartition("/")[2])
        if path.startswith("/kv-keep/"):
            return json_response(
                {}, 200 if self.state.keep_alive(lease) else 404
            )
        self.state.revoke(lease)
        return json_response({})

    def watch(self, args) -> Response:
        """Wait for changes under a prefix."""
        watched = prefix_range(args["prefix"])
        after = int(args["after"])
        end_s = time.monotonic() + int(args["wait-ms"]) / 1000
        with self.state.changed:
            while True:
                try:
                    revision, found = self.state.events_from(
                        watched.key, watched.range_end, after + 1
                    )
                except CompactedError:
                    return json_response({}, 410)
                events = [item_json(stored) for stored in found]
                remaining_s = end_s - time.monotonic()
                if events or remaining_s <= 0 or self.server.closing.is_set():
                    return json_response({"events": events, "as-of": revision})
                self.state.changed.wait(min(remaining_s, 0.2))

    def txn(self, body: dict) -> Response:
        """Execute a transaction."""
        checks = [
            Check(item["key"].encode(), "MOD", "EQUAL", item["revision"])
            for item in body["expected-rev"]
        ]
        writes = [
            PutOp(
                put["key"].encode(),
                b64decode(put["value"]),
                put.get("lease", 0),
            )
            for put in body["puts"]
        ]
        writes += [DeleteOp(key.encode()) for key in body["deletes"]]
        reads = [RangeOp(check.key) for check in checks]
        done, revision, answers = self.state.transact(checks, writes, reads)
        if done:
            return json_response({"revision": revision})
        items = [item_json(s) for answer in answers for s in answer.items]
        return json_response({"items": items}, 412)

    def serve_worker(self, request: Request, path: str) -> Response:
        """Serve an order to a worker."""
        name = request.headers["X-Cyclamenscale-Target-Instance"]
        body = json.decode(request.get_data())
        with self.lock:
            worker = self.workers.get(name)
            if worker is None:
                return json_response({"clock-ms": 1}, 421)
            clock_ms = worker.now_ms()
            if body["fencing-token"] < worker.fence:
                return json_response(
                    {"clock-ms": clock_ms, "reason": "fence"}, 409
                )
            worker.fence = body["fencing-token"]
            if path == "/hold":
                return self.poll(worker, body)
            key = (body["task"], body["run-id"])
            if path == "/run-start":
                worker.runs[key] = time.monotonic()
            elif key in worker.runs:
                worker.end(key, "stopped")
            return json_response({"clock-ms": clock_ms})

    def poll(self, worker: FakeWorker, body: dict) -> Response:
        """Report runs and ends; tasks that ran long enough are done."""
        for key, since_s in list(worker.runs.items()):
            if time.monotonic() - since_s > self.task_s:
                worker.end(key, "done")
        seen = body["last-seen"]
        worker.ends = [end for end in worker.ends if end.number > seen]
        return json_response(
            {
                "clock-ms": worker.now_ms(),
                "born": 5,
                "running": [[*key, "", 50] for key in worker.runs],
                "ended": [list(end) for end in worker.ends],
            }
        )
