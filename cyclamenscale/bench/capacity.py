"""Measures the unit costs used in docs/CAPACITY.md.

Each line gives the cost of one more record, message or request. Times
are wall-clock times of one thread on this machine; bytes are exact.
"""

import time
import tracemalloc
from collections.abc import Callable, Iterable
from random import Random
from typing import NamedTuple

from cyclamenscale.configuration.table import ConfigTable
from cyclamenscale.fleet.budget import BUDGET_PREFIX, BudgetRecord
from cyclamenscale.fleet.ports import PlatformInstance
from cyclamenscale.members.messages import (
    ConfigChange,
    Delta,
    GrantBatch,
    GrantItem,
    Heartbeat,
    SlotBatch,
    SlotReleaseItem,
    SlotRequestItem,
    decode_frame,
    encode_frame,
)
from cyclamenscale.model import (
    CLASS_PREFIX,
    INSTANCE_PREFIX,
    POOL_PREFIX,
    ChangeRecord,
    Endpoint,
    InstanceRecord,
    PoolRecord,
    RequestClass,
)
from cyclamenscale.requests.claim_records import CLAIMED, ClaimRecord
from cyclamenscale.requests.directory import merge
from cyclamenscale.requests.runtimes import RunTimeEstimator
from cyclamenscale.requests.scheduling import PoolScheduler
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import VirtualClock
from cyclamenscale.util.codec import encode_record, to_json
from cyclamenscale.util.tables import format_table

#: Numbers of instances measured, of the whole fleet and of one pool.
FLEET_SIZES = (1000, 5000, 23000)
POOL_SIZES = (8, 64, 255)
POOLS = 90
CLASSES_PER_POOL = 4
ROUNDS = 200
#: Size of TCP and IP headers and of the ZMTP 3 frame headers of a message.
MESSAGE_OVERHEAD_BYTES = 44
FRAME_LIMIT_BYTES = 262144


class Line(NamedTuple):
    """One measured cost.

    :ivar what: what was measured.
    :ivar size: number of instances or endpoints, empty if irrelevant.
    :ivar value: measured cost.
    :ivar unit: unit of the cost.
    """

    what: str
    size: object
    value: float
    unit: str


def mean_us(action: Callable[[], object], rounds: int = ROUNDS) -> float:
    """Return the mean time of an action in microseconds."""
    began_s = time.perf_counter()
    for _ in range(rounds):
        action()
    return (time.perf_counter() - began_s) / rounds * 1e6


def generate_fleet_config(size: int) -> Iterable[ConfigChange]:
    """Yield a generated fleet configuration, one revision per key."""
    revision = 0
    for number in range(POOLS):
        revision += 1
        pool = PoolRecord(f"pool-{number}")
        key = POOL_PREFIX + pool.name
        yield ConfigChange(key, encode_record(pool), revision)
        for index in range(CLASSES_PER_POOL):
            revision += 1
            name = f"class-{number}-{index}"
            each = RequestClass(name, pool.name, 1000 * (index + 1), 0.2)
            key = CLASS_PREFIX + name
            yield ConfigChange(key, encode_record(each), revision)
    for number in range(size):
        revision += 1
        name = f"node-{number:05d}"
        record = InstanceRecord(name, f"pool-{number % POOLS}", "live", 1e9)
        key = INSTANCE_PREFIX + name
        yield ConfigChange(key, encode_record(record), revision)


def make_platform_list(size: int) -> list[PlatformInstance]:
    """Return a generated platform list of instances."""
    return [
        PlatformInstance(
            f"node-{n:05d}",
            f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8080",
            f"dc-{n % 43}",
            f"rack-{n // 4}",
            8,
            False,
            "v1",
        )
        for n in range(size)
    ]


def configuration_lines(size: int) -> list[Line]:
    """Measure a configuration table that holds a whole fleet."""
    items = list(generate_fleet_config(size))
    tracemalloc.start()
    table_ = ConfigTable(Settings())
    table_.load(items, len(items))
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    revision = len(items)

    def change() -> None:
        nonlocal revision
        revision += 1
        old = items[-1]
        table_.apply([old._replace(revision=revision)], revision)

    apply_us = mean_us(change, 30)
    tracemalloc.start()
    instances = {each.name: each for each in make_platform_list(size)}
    merged = merge(table_.view, instances)
    list_memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del merged
    merge_us = mean_us(lambda: merge(table_.view, instances), 5)
    list_bytes = len(to_json(list(instances.values())))
    return [
        Line("configuration, memory", size, memory / 1e6, "MB"),
        Line("list and merge, memory", size, list_memory / 1e6, "MB"),
        Line("apply one change", size, apply_us, "us"),
        Line("merge with the platform's list", size, merge_us / 1000, "ms"),
        Line("platform's list, one read", size, list_bytes / 1000, "KB"),
        Line(
            "digests of all buckets",
            size,
            mean_us(table_.digests, 3) / 1000,
            "ms",
        ),
    ]


def scheduler_lines(size: int) -> list[Line]:
    """Measure the scheduling of one request in a pool."""
    clock = VirtualClock(1.0)
    settings = Settings()
    scheduler = PoolScheduler(
        settings, clock, Random(1), RunTimeEstimator(settings, clock)
    )
    endpoints = [
        Endpoint(f"n{n}", "p", "127.0.0.1:1", f"dc-{n % 4}", "r")
        for n in range(size)
    ]
    scheduler.update_classes({"replan": 1000.0, "rebuild": 60000.0})
    scheduler.update_entries({"e1": "dc-1"})
    scheduler.update_endpoints(endpoints, {e.name: 8 for e in endpoints})
    number = 0

    def cycle() -> None:
        nonlocal number
        for _ in range(4):
            number += 1
            scheduler.add("e1", 1, SlotRequestItem(number, "replan", 1000))
        for _, grant in scheduler.assign_slots():
            scheduler.finish("e1", SlotReleaseItem(grant.number, 10, True))
        clock.advance(0.01)

    cycle()
    return [
        Line(
            "schedule one request",
            f"{size} endpoints",
            mean_us(cycle) / 4,
            "us",
        )
    ]


def message_lines() -> list[Line]:
    """Measure size and coding time of messages between entries."""
    heartbeat = Heartbeat(
        "entry-123",
        1700000000,
        "10.1.2.3:7000",
        "dc-12",
        10**6,
        10**6,
        2**47,
        True,
        2**47,
    )
    slot_batch = SlotBatch(
        "entry-123",
        "pool-12",
        1700000000,
        False,
        [SlotRequestItem(10**6, "class-12-1", 1000)],
        [SlotReleaseItem(10**6, 250, True)],
        [],
        [],
    )
    grant = GrantBatch(
        "entry-123", "pool-12", 1700000000, [GrantItem(10**6, "node-00001")]
    )
    change = ConfigChange(
        INSTANCE_PREFIX + "node-00001",
        encode_record(InstanceRecord("node-00001", "pool-12", "live", 1e9)),
        10**6,
    )
    delta = Delta("entry-123", 10**6, 10**6, True, [change])
    frames = [
        ("heartbeat", heartbeat),
        ("want and done of one request", slot_batch),
        ("grant of one request", grant),
        ("delta of one change", delta),
    ]
    lines = []
    for name, message in frames:
        size = len(encode_frame(message)) + MESSAGE_OVERHEAD_BYTES
        lines.append(Line(f"{name}, on the wire", "", size, "bytes"))
    both_us = mean_us(
        lambda: decode_frame(encode_frame(heartbeat), FRAME_LIMIT_BYTES)
    )
    lines.append(Line("encode and decode a heartbeat", "", both_us, "us"))
    return lines


def record_lines() -> list[Line]:
    """Measure the encoded size of store records."""
    claim = ClaimRecord(
        "entry-123-0123456789abcdef",
        "0123456789abcdef0123456789abcdef",
        CLAIMED,
        "settlement",
        "entry-123",
        1e9,
    )
    change = ChangeRecord(
        "0123456789ab-0123456789ab",
        "operator",
        CLASS_PREFIX + "class-12-1",
        "more time for replans",
        1e9,
        encode_record(RequestClass("class-12-1", "pool-12", 1, 0.2)).decode(),
        encode_record(RequestClass("class-12-1", "pool-12", 2, 0.2)).decode(),
    )
    budget = BudgetRecord()
    return [
        Line("claim", "", len(encode_record(claim)), "bytes"),
        Line("change record", "", len(encode_record(change)), "bytes"),
        Line(
            "budget record without outages",
            "",
            len(encode_record(budget)) + len(BUDGET_PREFIX),
            "bytes",
        ),
    ]


def run() -> str:
    """Measure all unit costs.

    :returns: a table.
    """
    lines: list[Line] = []
    for size in FLEET_SIZES:
        lines += configuration_lines(size)
    for size in POOL_SIZES:
        lines += scheduler_lines(size)
    lines += message_lines()
    lines += record_lines()
    rows = [(each[0], each[1], f"{each[2]:.1f}", each[3]) for each in lines]
    return format_table(("what", "size", "cost", "unit"), rows)
