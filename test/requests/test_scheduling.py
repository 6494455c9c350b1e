"""Tests of the pool's scheduler."""

from random import Random

import pytest

from cyclamenscale.errors import NotFoundError
from cyclamenscale.members.messages import (
    SlotInUseItem,
    SlotReleaseItem,
    SlotRequestItem,
)
from cyclamenscale.model import Endpoint
from cyclamenscale.requests.scheduling import PoolScheduler, find_policy
from cyclamenscale.settings import SchedulingSettings, Settings
from cyclamenscale.util.clock import VirtualClock

TARGETS = {"short": 5000.0, "mid": 20_000.0, "long": 600_000.0}
ENDPOINTS = [
    Endpoint(f"x{i}", "p", "", f"dc-{i % 2}", "r", 4) for i in range(4)
]


class Bench:
    """A scheduler with four endpoints of four slots."""

    def __init__(self, **settings):
        self.clock = VirtualClock(50.0)
        whole = Settings(scheduling=SchedulingSettings(**settings))
        self.scheduler = PoolScheduler(whole, self.clock, Random(1))
        self.scheduler.update_classes(TARGETS)
        self.slots(4)
        self.number = 0

    def slots(self, each):
        self.scheduler.update_endpoints(
            ENDPOINTS, {e.name: each for e in ENDPOINTS}
        )

    def learn(self, **run_ms):
        for name, value in run_ms.items():
            for _ in range(50):
                self.scheduler.runtimes.record(name, value)

    def request(self, name, count=1, slack_ms=60_000, entry="e", **more):
        made = []
        for _ in range(count):
            self.number += 1
            made.append(self.number)
            item = SlotRequestItem(self.number, name, slack_ms, **more)
            self.scheduler.add(entry, 1, item)
        return made

    def grants(self):
        return {
            grant.number: grant.endpoint
            for _, grant in self.scheduler.assign_slots()
        }

    def done(self, number):
        self.scheduler.finish("e", SlotReleaseItem(number, 10, True))


@pytest.fixture
def bench():
    made = Bench()
    made.learn(short=100, mid=100, long=5000)
    return made


def test_shorter_target_first_then_slack(bench):
    """Guards against urgent work served after less urgent work."""
    busy = bench.request("short", 16)
    assert set(bench.grants()) == set(busy)
    (mid,) = bench.request("mid", slack_ms=9000)
    (late,) = bench.request("short", slack_ms=9000)
    (soon,) = bench.request("short", slack_ms=4000)
    order = []
    for number in busy[:3]:
        bench.done(number)
        order += bench.grants()
    assert order == [soon, late, mid]


def test_long_work_leaves_slots_to_short_work(bench):
    """Guards against head-of-line blocking by long work."""
    long = bench.request("long", 16)
    given = set(bench.grants())
    # More than 0.4 of 16 slots stay free: long work gets 10 - 1.
    assert given < set(long)
    assert len(given) <= 10
    short = bench.request("short", 6)
    assert set(bench.grants()) == set(short)


def test_starved_long_work_takes_the_next_slot_of_its_share(bench):
    """Guards against long work that waits beyond the stated bound."""
    busy = bench.request("short", 16)
    bench.grants()
    (long,) = bench.request("long", slack_ms=600_000)
    while bench.clock() < 50.0 + 40.0:
        # Short work fills all slots, and more of it always waits.
        bench.clock.advance(0.4)
        for number in busy:
            bench.done(number)
        bench.request("short", 20)
        busy = list(bench.grants())
        if long in busy:
            break
    # Served with the first slot that was free after starvation_s.
    assert 30.0 < bench.clock() - 50.0 < 31.0


def test_straggler_counts_as_long_work(bench):
    """Guards against stragglers and long work filling an endpoint."""
    bench.request("short", 12)
    bench.grants()
    bench.clock.advance(60.0)
    bench.grants()
    assert bench.scheduler.long_used == 12
    bench.request("long", slack_ms=600_000)
    bench.clock.advance(31.0)
    assert not bench.grants()


def test_late_work_is_refused_with_the_drain_time(bench):
    """Guards against work that waits in vain, and a wrong retry-after time."""
    bench.request("short", 16 + 160)
    bench.grants()
    (number,) = bench.request("short", slack_ms=500)
    refused = {g.number: g for _, g in bench.scheduler.assign_slots()}[number]
    assert not refused.endpoint
    # 160 requests of 100 ms ahead on 16 slots.
    assert refused.retry_after_ms == pytest.approx(1000, rel=0.1)


def test_lost_capacity_sheds_the_least_urgent_work(bench):
    """Guards against urgent work refused before less urgent work."""
    bench.request("short", 16)
    bench.grants()
    mid = set(bench.request("mid", 100, slack_ms=1500))
    short = set(bench.request("short", 100, slack_ms=1500))
    bench.slots(2)
    refused = {number for number, place in bench.grants().items() if not place}
    assert refused <= mid
    assert len(refused) > 50
    assert len(bench.scheduler.waiting_classes) == 200 - len(refused)
    assert short <= {key.number for key in bench.scheduler.waiting_classes}


def test_full_queue_refuses_the_least_urgent_work():
    """Guards against a queue that grows without bound."""
    bench = Bench(queue_limit=20)
    bench.request("short", 16)
    bench.grants()
    long = bench.request("long", 20, slack_ms=600_000)
    (short,) = bench.request("short")
    (more,) = bench.request("long", slack_ms=600_000)
    assert bench.grants() == {long[-1]: "", more: ""}
    assert len(bench.scheduler.waiting_classes) == 20


def test_own_data_centre_is_preferred_while_it_has_slots(bench):
    """Guards against a use of remote slots that costs more than it saves."""
    bench.scheduler.update_entries({"e": "dc-1"})
    bench.request("short", 8)
    given = bench.grants()
    assert len(given) == 8
    assert set(given.values()) == {"x1", "x3"}
    # A local slot is expected after 100 / 8 ms; the latency to the other data
    # centre is 1 ms.
    (number,) = bench.request("short")
    assert bench.grants()[number] in ("x0", "x2")


def test_request_waits_for_its_data_centre_at_most_a_trip(bench):
    """Guards against a request that waits longer while slots are free."""
    bench.learn(short=2)
    bench.scheduler.update_entries({"e": "dc-1"})
    bench.scheduler.runtimes.classes.clear()
    bench.learn(short=2)
    bench.request("short", 8)
    bench.grants()
    (number,) = bench.request("short")
    assert not bench.grants()
    until_s = bench.scheduler.local_wait_until_s
    assert until_s == pytest.approx(bench.clock() + 0.001)
    bench.clock.advance(0.0011)
    assert bench.grants()[number] in ("x0", "x2")


def test_excluded_endpoints_are_not_used(bench):
    """Guards against a retry at the endpoint that failed before."""
    bench.request("short", 14)
    bench.grants()
    free = {s.name for s in bench.scheduler.spots.values() if s.free > 0}
    (first,) = bench.request("short", exclude=tuple(free), slack_ms=4000)
    (second,) = bench.request("short", slack_ms=9000)
    assert set(bench.grants()) == {second}
    (none,) = bench.request("short", exclude=("x0", "x1", "x2", "x3"))
    assert bench.grants()[none] == ""
    assert first in {key.number for key in bench.scheduler.waiting_classes}


def test_reset_replaces_the_state_of_an_entry(bench):
    """Guards against slots counted twice after a reset."""
    numbers = bench.request("short", 4)
    bench.grants()
    bench.request("short", 1, entry="other")
    in_use = [SlotInUseItem(numbers[0], "short", "x0", 50)]
    bench.scheduler.reset("e", 2, [SlotRequestItem(99, "short", 5000)], in_use)
    assert len(bench.scheduler.running) == 1
    assert sum(s.used for s in bench.scheduler.spots.values()) == 1
    assert set(bench.grants()) == {99, 5}
    bench.scheduler.remove_entry("e")
    assert {key.entry for key in bench.scheduler.running} == {"other"}


def test_cancelled_requests_are_removed_from_the_heap(bench):
    """Guards against a heap that grows with cancelled requests."""
    bench.request("short", 16)
    bench.grants()
    for number in bench.request("short", 1000):
        bench.scheduler.cancel("e", number)
    assert not bench.scheduler.waiting_classes
    assert len(bench.scheduler.queues["short"].heap) <= 64


def test_unknown_policy_is_a_typed_error():
    """Guards against an untyped KeyError for a misspelt setting."""
    with pytest.raises(NotFoundError):
        find_policy("fastest")


def test_grant_and_handover_may_cross(bench):
    """Guards against a crash when a paused scheduler resumes."""
    first, second, _ = bench.request("short", 3)
    bench.grants()
    bench.scheduler.finish("e", SlotReleaseItem(first, 10, True, second))
    assert sum(s.used for s in bench.scheduler.spots.values()) == 3
    bench.scheduler.finish("e", SlotReleaseItem(-second, 0, False))
    assert sum(s.used for s in bench.scheduler.spots.values()) == 2
