"""Demonstration: a small deployment in one process, and a load test on it.

``cyclamenscale local`` starts stand-ins for the platform and for endpoints,
and two entries, as threads on loopback. It creates classes through the
operators' interface, sends requests through both entries while one endpoint
drains and one drops its connections, and checks the outcome of each request
against the endpoints' logs.
"""

import time
from concurrent.futures import ThreadPoolExecutor
from random import Random
from threading import Event
from typing import NamedTuple

from cyclamenscale.entry import Entry
from cyclamenscale.fleet.ports import PlatformInstance
from cyclamenscale.local_calls import CallResult, call
from cyclamenscale.local_report import Report, build_report
from cyclamenscale.settings import Settings
from cyclamenscale.standin.endpoint import StandinEndpoint
from cyclamenscale.standin.platform import PlatformServer
from cyclamenscale.standin.store import StoreServer
from cyclamenscale.ui.client import Client

ENTRIES = 2
ENDPOINTS = 4
POOL = "planners"
SPARE_POOL = "reporting"
REQUESTS = 400
CALLER_THREADS = 16
SEED = 1

#: Maximum wait after the start until the entries admit requests.
READY_TIMEOUT_S = 15.0


class DemoClass(NamedTuple):
    """A request class of the load test, and the shape of its requests.

    :ivar name: name of the class.
    :ivar finish_within_ms: its latency target.
    :ivar repeatable: whether a request may run more than once.
    :ivar run_ms: shortest and longest run time of a request.
    :ivar share: its share of all requests.
    """

    name: str
    finish_within_ms: int
    repeatable: bool
    run_ms: tuple[int, int]
    share: float


CLASSES = (
    DemoClass("replan", 2000, True, (5, 20), 0.6),
    DemoClass("booking", 3000, False, (5, 20), 0.2),
    DemoClass("rebuild", 20000, True, (150, 400), 0.2),
)


class Deployment:
    """Stand-ins and entries on loopback, in this process.

    :param entries: number of entries.
    :param endpoints: number of endpoints in the pool.
    :param settings: settings that all entries share.
    """

    def __init__(
        self,
        entries: int = ENTRIES,
        endpoints: int = ENDPOINTS,
        settings: Settings | None = None,
    ):
        """Create the stand-ins; :meth:`start` creates the entries."""
        self.base = settings or Settings()
        self.count = entries
        self.store = StoreServer()
        self.platform = PlatformServer()
        self.endpoints = {
            name: StandinEndpoint(name)
            for name in (f"node-{n}" for n in range(1, endpoints + 1))
        }
        self.entries: list[Entry] = []

    def start(self) -> None:
        """Start everything and wait until the entries admit requests."""
        self.store.start()
        self.platform.start()
        for number, (name, endpoint) in enumerate(self.endpoints.items()):
            endpoint.start()
            self.platform.add(
                PlatformInstance(
                    name,
                    endpoint.address,
                    f"dc-{number % 2 + 1}",
                    f"rack-{number % 2 + 1}",
                    endpoint.slots,
                )
            )
        for number in range(1, self.count + 1):
            self.add_entry(f"entry-{number}")
        self.wait_admitting()

    def add_entry(self, name: str) -> Entry:
        """Start one more entry, with the first one as its seed."""
        seeds = tuple(each.link.address for each in self.entries[:1])
        number = len(self.entries) % 2 + 1
        base = self.base
        entry = Entry(
            base._replace(
                entry=base.entry._replace(
                    name=name,
                    data_centre=f"dc-{number}",
                    rack=f"rack-{number}",
                    callers_address="127.0.0.1:0",
                    operators_address="127.0.0.1:0",
                    peers_address="127.0.0.1:0",
                ),
                peers=base.peers._replace(seeds=seeds),
                store=base.store._replace(address=self.store.address),
                platform=base.platform._replace(address=self.platform.address),
            )
        )
        entry.start()
        entry.link.ready.wait(READY_TIMEOUT_S)
        self.entries.append(entry)
        return entry

    def wait_admitting(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until all entries admit requests.

        :raises TimeoutError: if an entry does not within the timeout.
        """
        until_s = time.monotonic() + timeout_s
        for entry in self.entries:
            while not entry.freshness.may_admit():
                if time.monotonic() > until_s:
                    raise TimeoutError(
                        f"{entry.settings.entry.name} admits no requests: "
                        f"{entry.freshness.not_admitting_reason()}"
                    )
                entry.table.wait(entry.table.covered + 1, 0.05)

    def configure(self, classes: tuple[DemoClass, ...] = CLASSES) -> None:
        """Create pools, classes and instances, as an operator would."""
        client = Client([each.operators.address for each in self.entries])

        def put(path: str, fields: dict) -> None:
            client.change(
                "PUT", f"/v1/{path}", fields, who="local", why="set-up"
            )

        put(f"pools/{POOL}", {})
        put(f"pools/{SPARE_POOL}", {"spare": True})
        for each in classes:
            fields = {
                "pool": POOL,
                "finish_within_ms": each.finish_within_ms,
                "max_out_share": 0.25,
                "repeatable": each.repeatable,
            }
            put(f"classes/{each.name}", fields)
        for name in self.endpoints:
            put(f"instances/{name}", {"pool": POOL})

    def wait_usable(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until every entry can use all endpoints.

        :raises TimeoutError: if an entry cannot within the timeout.
        """
        until_s = time.monotonic() + timeout_s
        for entry in self.entries:
            while len(entry.directory.endpoints(POOL)) < len(self.endpoints):
                if time.monotonic() > until_s:
                    raise TimeoutError("not all endpoints are listed")
                entry.table.wait(entry.table.covered + 1, 0.05)

    def stop(self) -> None:
        """Stop all entries gracefully, then the stand-ins."""
        # One by one: an entry needs the acknowledgement of a majority of
        # the members to leave the member list.
        for entry in self.entries:
            entry.stop()
        for endpoint in self.endpoints.values():
            endpoint.stop()
        self.platform.stop()
        self.store.stop()


class PlannedRequest(NamedTuple):
    """A request to send.

    :ivar number: its number.
    :ivar demo_class: its class.
    :ivar run_ms: run time at the endpoint.
    :ivar entry: index of the entry that it is sent to.
    :ivar repeated: whether its key is sent again through the other entry.
    """

    number: int
    demo_class: DemoClass
    run_ms: int
    entry: int
    repeated: bool


def plan_requests(
    count: int, entries: int, rng: Random
) -> list[PlannedRequest]:
    """Generate random requests."""
    weights = [each.share for each in CLASSES]
    planned_requests = []
    for number in range(count):
        demo_class = rng.choices(CLASSES, weights)[0]
        planned_requests.append(
            PlannedRequest(
                number,
                demo_class,
                rng.randint(*demo_class.run_ms),
                rng.randrange(entries),
                not demo_class.repeatable and rng.random() < 0.3,
            )
        )
    return planned_requests


def send(deployment: Deployment, planned: PlannedRequest) -> list[CallResult]:
    """Send a request, and its key a second time if that is planned."""
    entries = deployment.entries
    first = entries[planned.entry]
    results = [
        call(
            first.callers.address,
            planned.number,
            planned.demo_class,
            planned.run_ms,
        )
    ]
    if planned.repeated:
        other = entries[(planned.entry + 1) % len(entries)]
        results.append(
            call(
                other.callers.address,
                planned.number,
                planned.demo_class,
                planned.run_ms,
            )
        )
    return results


def inject_faults(deployment: Deployment, done: int, count: int) -> None:
    """Drain one endpoint after a third of the requests; break one at half.

    The second one drops its connections.
    """
    names = list(deployment.endpoints)
    if done == count // 3:
        deployment.endpoints[names[0]].leaving = True
        deployment.platform.set_leaving(names[0], True)
    elif done == count // 2:
        deployment.endpoints[names[1]].drop = True
        deployment.endpoints[names[1]].close_connections()


def run_requests(deployment: Deployment) -> Report:
    """Send all requests and build the report."""
    planned_requests = plan_requests(
        REQUESTS, len(deployment.entries), Random(SEED)
    )
    results: list[CallResult] = []
    with ThreadPoolExecutor(CALLER_THREADS) as pool:
        futures = []
        for done, planned in enumerate(planned_requests):
            if done >= CALLER_THREADS:
                futures[done - CALLER_THREADS].result()
            inject_faults(deployment, done, len(planned_requests))
            futures.append(pool.submit(send, deployment, planned))
        for future in futures:
            results += future.result()
    runs = [run for each in deployment.endpoints.values() for run in each.log]
    return build_report(results, runs, [each.name for each in CLASSES])


def run(serve: bool = False) -> int:
    """Run the demonstration, or serve until interrupted.

    :param serve: keep the deployment up for callers and operators.
    :returns: exit status, 0 if the report has no violations.
    """
    deployment = Deployment()
    try:
        deployment.start()
        deployment.configure()
        deployment.wait_usable()
        if serve:
            return serve_until_interrupted(deployment)
        report = run_requests(deployment)
    finally:
        deployment.stop()
    print(report.table())
    for violation in report.violations:
        print(violation)
    return 1 if report.violations else 0


def serve_until_interrupted(deployment: Deployment) -> int:
    """Print the addresses and wait for an interrupt."""
    entry = deployment.entries[0]
    for each in deployment.entries:
        print(
            f"{each.settings.entry.name}: callers http://"
            f"{each.callers.address} operators {each.operators.address}"
        )
    print(
        f"try: curl -i -H 'Cyclamen-Class: replan' http://"
        f"{entry.callers.address}/plan\n"
        f"     cyclamenscale status --entry {entry.operators.address}",
        flush=True,
    )
    try:
        Event().wait()
    except KeyboardInterrupt:
        return 0
    return 0
