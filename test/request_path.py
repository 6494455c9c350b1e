"""The request path over stand-in endpoints, for tests."""

import random
from threading import Lock
from typing import NamedTuple

from cyclamenscale.errors import NotRunError
from cyclamenscale.fleet.ports import PlatformInstance
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import (
    ConfigView,
    InstanceRecord,
    PoolRecord,
    RequestClass,
)
from cyclamenscale.requests.claim_records import ClaimResult
from cyclamenscale.requests.directory import Directory
from cyclamenscale.requests.dispatch import Dispatcher
from cyclamenscale.requests.endpoints import EndpointClient
from cyclamenscale.requests.outliers import PoolsHealth
from cyclamenscale.settings import Settings
from cyclamenscale.standin.endpoint import StandinEndpoint
from cyclamenscale.util.clock import monotonic

CLASSES = {
    "plan": RequestClass("plan", "p", 20000, 0.2),
    "book": RequestClass("book", "p", 20000, 0.2, repeatable=False),
}


class Slot(NamedTuple):
    """A granted slot, as ``slots.py`` returns it."""

    number: int
    pool: str
    endpoint: str


class FakeSlots:
    """Grants slots of usable endpoints in turn; counts slots in use."""

    def __init__(self, path):
        self.path = path
        self.granted = 0
        self.in_use = 0
        self.next_endpoint = ""

    def acquire(self, request_class, slack_ms, exclude, is_disconnected):
        health = self.path.health.pool(request_class.pool)
        usable = sorted(set(health.usable(monotonic())) - exclude)
        if self.next_endpoint:
            usable, self.next_endpoint = [self.next_endpoint], ""
        if not usable:
            raise NotRunError("no_slot", "no endpoint is usable", 2.5)
        self.granted += 1
        self.in_use += 1
        name = usable[self.granted % len(usable)]
        return Slot(self.granted, request_class.pool, name)

    def release(self, slot, run_ms, complete):
        self.in_use -= 1


class FakeClaims:
    """Keeps claims in memory; raises ``fault`` if it is set."""

    def __init__(self):
        self.lock = Lock()
        self.records = {}
        self.fault = None

    def claim(self, class_name, key, digest, attempt_id, timeout_s):
        if self.fault:
            raise self.fault
        with self.lock:
            found = self.records.get((class_name, key))
            if found is None:
                self.records[class_name, key] = [digest, None]
                return ClaimResult("new")
        if found[0] != digest:
            return ClaimResult("mismatch")
        return ClaimResult("recorded" if found[1] else "pending", found[1])

    def record(self, class_name, key, attempt_id, outcome):
        self.records[class_name, key][1] = outcome

    def abandon(self, class_name, key, attempt_id):
        del self.records[class_name, key]


class RequestPath:
    """Stand-in endpoints ``e0``, ``e1``, ... and a dispatcher for them."""

    def __init__(self, count=2, settings=None, first_byte_timeout_s=None):
        self.settings = settings or Settings()
        self.metrics = Metrics(self.settings)
        self.endpoints = [StandinEndpoint(f"e{n}") for n in range(count)]
        records = {e.name: InstanceRecord(e.name, "p") for e in self.endpoints}
        self.view = ConfigView(5, CLASSES, {"p": PoolRecord("p")}, records)
        self.directory = Directory(monotonic)
        self.directory.update_config(self.view)
        self.directory.update_list(
            [
                PlatformInstance(e.name, e.address, "dc", "rack")
                for e in self.endpoints
            ]
        )
        self.health = PoolsHealth(self.settings.outliers)
        self.health.update(self.directory.view.by_pool, monotonic())
        self.fresh = True
        self.slots = FakeSlots(self)
        self.claims = FakeClaims()
        self.client = EndpointClient(self.settings, self.metrics)
        self.dispatcher = Dispatcher(
            self.settings,
            self,
            self,
            self.directory,
            self.health,
            self.slots,
            self.claims,
            self.client,
            self.metrics,
            monotonic,
            random.Random(1),
            lambda name: first_byte_timeout_s,
            lambda wait_s: None,
        )

    def may_admit(self):
        return self.fresh

    def runs(self):
        """Return how often each endpoint ran a request."""
        return [len(e.log) for e in self.endpoints]

    def __enter__(self):
        """Start the endpoints."""
        for endpoint in self.endpoints:
            endpoint.start()
        return self

    def __exit__(self, *details):
        """Stop the endpoints."""
        self.client.close()
        for endpoint in self.endpoints:
            endpoint.stop()
