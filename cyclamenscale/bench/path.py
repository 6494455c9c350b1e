"""Measures the request path on real sockets, relative to direct calls.

Callers, entries and stand-in endpoints share one process and therefore one
interpreter lock, so the absolute figures understate the performance; they
are also given as ratios to direct calls to the same endpoints in the same run.
"""

import time
from concurrent.futures import ThreadPoolExecutor
from io import BytesIO
from typing import NamedTuple

import pycurl

from cyclamenscale.local import DemoClass, Deployment
from cyclamenscale.settings import CallersSettings, Settings, ShutdownSettings
from cyclamenscale.util.curl import new_curl
from cyclamenscale.util.quantiles import quantile
from cyclamenscale.util.tables import format_table

LATENCY_CALLS = 300
LOAD_CALLS = 1500
LOAD_THREADS = 16
REQUEST_CLASS = DemoClass("replan", 5000, True, (0, 0), 1.0)

#: (entries, endpoints, additional classes) of each row of the table.
DEPLOYMENT_SHAPES = ((1, 4, 0), (1, 16, 0), (2, 4, 0), (4, 4, 0), (1, 4, 50))


class PathFigures(NamedTuple):
    """Latency and throughput of calls to a set of addresses.

    :ivar p50_ms: median latency with a single caller.
    :ivar p99_ms: 99th percentile of latency with a single caller.
    :ivar per_s: requests per second with 16 concurrent callers.
    :ivar cpu_ms: CPU time of the whole process per request.
    """

    p50_ms: float
    p99_ms: float
    per_s: float
    cpu_ms: float


class Caller:
    """Caller that reuses its connection.

    :param address: ``host:port``.
    :param headers: headers sent with each request.
    """

    def __init__(self, address: str, headers: list[str]):
        """Create the curl handle."""
        self.curl = new_curl(f"http://{address}/plan")
        self.curl.setopt(pycurl.HTTPHEADER, headers)

    def call(self) -> float:
        """Make one call.

        :returns: its duration in milliseconds.
        :raises RuntimeError: if the status is not 200.
        """
        body = BytesIO()
        self.curl.setopt(pycurl.WRITEFUNCTION, body.write)
        began_s = time.perf_counter()
        self.curl.perform()
        taken_ms = (time.perf_counter() - began_s) * 1000
        status = self.curl.getinfo(pycurl.RESPONSE_CODE)
        if status != 200:
            raise RuntimeError(f"status {status}: {body.getvalue()[:200]!r}")
        return taken_ms


def measure_calls(addresses: list[str], headers: list[str]) -> PathFigures:
    """Measure latency and throughput of calls to the addresses."""

    def work(number: int) -> list[float]:
        caller = Caller(addresses[number % len(addresses)], headers)
        calls = LOAD_CALLS // LOAD_THREADS
        return [caller.call() for _ in range(calls)]

    single = Caller(addresses[0], headers)
    for _ in range(20):
        single.call()
    latency = [single.call() for _ in range(LATENCY_CALLS)]
    cpu_s, began_s = time.process_time(), time.perf_counter()
    with ThreadPoolExecutor(LOAD_THREADS) as pool:
        done = sum(len(each) for each in pool.map(work, range(LOAD_THREADS)))
    wall_s = time.perf_counter() - began_s
    cpu_s = time.process_time() - cpu_s
    return PathFigures(
        quantile(latency, 0.5),
        quantile(latency, 0.99),
        done / wall_s,
        cpu_s / done * 1000,
    )


def measure_shape(
    entries: int, endpoints: int, classes: int
) -> tuple[PathFigures, PathFigures]:
    """Measure direct calls and calls through entries in one deployment."""
    settings = Settings(
        shutdown=ShutdownSettings(unready_s=0.1),
        callers=CallersSettings(threads=LOAD_THREADS * 2),
    )
    deployment = Deployment(entries, endpoints, settings)
    more = tuple(
        REQUEST_CLASS._replace(name=f"class-{n}") for n in range(classes)
    )
    try:
        deployment.start()
        deployment.configure((REQUEST_CLASS, *more))
        deployment.wait_usable()
        direct = measure_calls(
            [each.address for each in deployment.endpoints.values()], []
        )
        through = measure_calls(
            [each.callers.address for each in deployment.entries],
            [f"Cyclamen-Class: {REQUEST_CLASS.name}"],
        )
    finally:
        deployment.stop()
    return direct, through


def format_row(
    shape: tuple[int, int, int], direct: PathFigures, through: PathFigures
) -> list:
    """Return one row of the table."""
    return [
        *shape,
        f"{through.p50_ms:.2f}",
        f"{through.p99_ms:.2f}",
        f"{through.per_s:.0f}",
        f"{through.cpu_ms:.2f}",
        f"{through.p50_ms / direct.p50_ms:.2f}",
        f"{through.per_s / direct.per_s:.2f}",
        f"{through.cpu_ms / direct.cpu_ms:.2f}",
    ]


def run() -> str:
    """Measure all deployment shapes.

    :returns: a table; ratios are to direct calls in the same run.
    """
    columns = (
        "entries",
        "endpoints",
        "more classes",
        "p50 ms",
        "p99 ms",
        "requests/s",
        "cpu ms",
        "p50 ratio",
        "requests/s ratio",
        "cpu ratio",
    )
    rows = [
        format_row(shape, *measure_shape(*shape))
        for shape in DEPLOYMENT_SHAPES
    ]
    return format_table(columns, rows)
