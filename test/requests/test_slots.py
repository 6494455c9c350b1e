"""Tests of the slot protocol and of the slot broker with threads."""

from heapq import heappop, heappush
from random import Random
from threading import Event, Thread

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from cyclamenscale.errors import NotRunError
from cyclamenscale.members.messages import (
    GrantBatch,
    GrantItem,
    SlotBatch,
    SlotReleaseItem,
)
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import (
    ConfigView,
    Endpoint,
    PoolRecord,
    RequestClass,
)
from cyclamenscale.requests.queues import RequestKey
from cyclamenscale.requests.runtimes import RunTimeEstimator
from cyclamenscale.requests.slot_client import PoolView, SlotClient
from cyclamenscale.requests.slot_role import SlotRole
from cyclamenscale.requests.slots import SlotBroker
from cyclamenscale.settings import EntrySettings, Settings
from cyclamenscale.util.clock import VirtualClock
from cyclamenscale.util.rendezvous import choose_node

SHORT = RequestClass("short", "p", 5000, 0.2)
LONG = RequestClass("long", "p", 600_000, 0.2)
TARGETS = {"short": 5000.0, "long": 600_000.0}
NAMES = ("e1", "e2", "e3")
ENDPOINTS = [
    Endpoint(f"x{i}", "p", f"10.0.0.{i}:80", f"dc-{i}", "r", 4)
    for i in range(2)
]


def entry_settings(name: str) -> Settings:
    return Settings(entry=EntrySettings(name=name, data_centre="dc-1"))


class Net:
    """Simulated network of the entries of one pool on a virtual clock.

    Messages are delayed or lost, and entries may be paused.
    """

    def __init__(self, names=NAMES, delay_s=0.001):
        self.clock = VirtualClock(100.0)
        self.delay_s = delay_s
        self.alive = set(names)
        self.paused = set()
        self.lost = set()
        self.in_flight = []
        self.sent = 0
        self.allowed = {e.name: e.slots for e in ENDPOINTS}
        self.granted = {}
        self.clients = {}
        self.roles = {}
        for name in names:
            args = (entry_settings(name), "p", self.clock, Random(1))
            times = RunTimeEstimator(args[0], self.clock)
            self.clients[name] = SlotClient(*args, times)
            self.roles[name] = SlotRole(*args, times)
        self.update()

    def update(self):
        view = PoolView(
            ENDPOINTS, self.allowed, TARGETS, {}, frozenset(self.alive)
        )
        for name in self.alive - self.paused:
            self.clients[name].update(view, choose_node("p", self.alive))
            self.roles[name].update(view)

    @property
    def scheduler(self):
        return choose_node("p", self.alive)

    def send(self, source, target, content):
        self.sent += 1
        if source in self.lost or target in self.lost:
            return
        at_s = self.clock() + (self.delay_s if source != target else 0)
        heappush(self.in_flight, (at_s, self.sent, target, content))

    def run(self, for_s=0.05, step_s=0.001):
        end_s = self.clock() + for_s
        for name in self.alive - self.paused:
            self.roles[name].request_missing_resets()
        while self.clock() < end_s:
            self.step()
            self.clock.advance(step_s)
        self.step()

    def step(self):
        held = []
        while self.in_flight and self.in_flight[0][0] <= self.clock():
            item = heappop(self.in_flight)
            target, content = item[2:]
            if target in self.paused:
                held.append(item)
            elif target in self.alive:
                if isinstance(content, SlotBatch):
                    self.roles[target].handle_batch(content)
                else:
                    self.clients[target].handle_grants(content)
        for item in held:
            heappush(self.in_flight, item)
        for name in sorted(self.alive - self.paused):
            client = self.clients[name]
            client.tick()
            for target, batch in client.final_batches:
                self.send(name, target, batch)
            client.final_batches = []
            batch = client.next_batch()
            if batch:
                self.send(name, client.scheduler, batch)
            for target, grants in self.roles[name].next_batches():
                self.send(name, target, grants)
            for grant in client.take_decisions():
                key = (name, grant.number)
                assert key not in self.granted, "decided twice"
                self.granted[key] = grant.endpoint

    def want(self, name, number, class_name="short", slack_ms=5000, **more):
        self.clients[name].request_slot(number, class_name, slack_ms, **more)

    def used(self):
        """Return the number of slots in use by the entries."""
        return sum(len(client.running) for client in self.clients.values())


def test_requests_beyond_the_slots_wait_for_a_release():
    """Guards against grants beyond the slots, and lost requests."""
    net = Net()
    for number in range(9):
        net.want(NAMES[number % 3], number)
    net.run()
    assert len(net.granted) == net.used() == 8
    (name, number) = next(iter(net.granted))
    net.clients[name].release(number, 20, True)
    net.run()
    assert len(net.granted) == 9


def test_new_scheduler_learns_which_slots_are_in_use():
    """Guards against a slot granted twice after the scheduler failed."""
    net = Net()
    for number in range(8):
        net.want(NAMES[number % 3], number)
    net.run()
    dead = net.scheduler
    held = len(net.clients[dead].running)
    net.alive.discard(dead)
    net.update()
    left = sorted(net.alive)
    for number in range(10, 18):
        net.want(left[number % 2], number)
    net.run()
    # The failed entry's slots are free again, the others are still in use.
    assert net.used() == 8 + held


@pytest.mark.parametrize("fault", ["paused", "lost"])
def test_silent_scheduler_leads_to_fallback_until_it_responds(fault):
    """Guards against requests that wait for an unresponsive scheduler."""
    net = Net()
    silent = net.scheduler
    getattr(net, fault).add(silent)
    others = sorted(net.alive - {silent})
    for number in range(2):
        net.want(others[0], number)
    net.run(2.0)
    client = net.clients[others[0]]
    assert client.local_scheduler is not None
    assert len(client.running) == 2
    getattr(net, fault).discard(silent)
    net.run(2.0)
    assert client.local_scheduler is None
    assert len(net.roles[silent].scheduler.running) == 2


def test_grants_of_an_older_epoch_are_not_used():
    """Guards against a late grant of a slot that no scheduler counts."""
    net = Net()
    net.want("e1", 1)
    net.run()
    client = net.clients["e1"]
    client.request_slot(2, "short", 5000)
    old = GrantBatch(client.scheduler, "p", client.epoch - 1, [], 1)
    client.handle_grants(old._replace(grants=[GrantItem(2, "x0")]))
    assert 2 in client.waiting
    net.run()
    assert net.granted[("e1", 2)]


def test_grant_for_a_cancelled_request_is_returned():
    """Guards against a slot leak when a cancellation crosses a grant."""
    net = Net(delay_s=0.01)
    name = next(n for n in NAMES if n != net.scheduler)
    net.want(name, 1)
    net.run(0.015)
    net.clients[name].cancel(1)
    net.run()
    assert not net.granted
    assert not net.roles[net.scheduler].scheduler.running


def test_lost_message_is_detected_and_leads_to_a_reset():
    """Guards against slots and requests that are lost with one message."""
    net = Net()
    name = next(n for n in NAMES if n != net.scheduler)
    net.want(name, 1)
    net.run()
    net.lost.add(name)
    net.clients[name].release(1, 20, True)
    net.run()
    net.lost.clear()
    net.want(name, 2)
    net.run()
    running = net.roles[net.scheduler].scheduler.running
    assert [key.number for key in running] == [2]


def test_slot_is_handed_over_once_while_a_grant_crosses():
    """Guards against a slot lost, or used twice, by a crossing grant."""
    net = Net()
    name = next(n for n in NAMES if n != net.scheduler)
    for number in range(1, 13):
        net.want(name, number)
        net.run(0.002)
    # Within 0.25 s the scheduler responds to requests without a slot.
    net.run(0.3)
    client = net.clients[name]
    scheduler = net.roles[net.scheduler].scheduler
    assert len(client.waiting) == 4
    # The first slot is handed over at once, and another one that becomes free
    # makes the scheduler grant a slot to the same request meanwhile.
    client.release(1, 20, True)
    key = RequestKey(name, 9)
    assert 9 in client.running
    scheduler.finish(name, SlotReleaseItem(2, 20, True))
    client.running.pop(2)
    net.run(0.2)
    assert key in scheduler.running
    assert not scheduler.duplicate_grants
    assert len(client.running) == len(scheduler.running) == net.used() == 8


class SlotMachine(RuleBasedStateMachine):
    """Entries that request, cancel and release slots despite lost messages."""

    numbers = Bundle("numbers")

    def __init__(self):
        super().__init__()
        self.net = Net()
        self.number = 0
        self.requested = set()
        self.cancelled = set()

    @rule(
        target=numbers,
        name=st.sampled_from(NAMES),
        kind=st.sampled_from(["short", "long"]),
        excluded=st.sampled_from([frozenset(), frozenset(["x0"])]),
    )
    def want(self, name, kind, excluded):
        self.number += 1
        self.net.want(name, self.number, kind, 60_000, exclude=excluded)
        self.requested.add((name, self.number))
        return name, self.number

    @rule(one=consumes(numbers))
    def finish(self, one):
        name, number = one
        client = self.net.clients[name]
        if number in client.waiting:
            client.cancel(number)
            self.cancelled.add(one)
        else:
            client.release(number, 30 + number, True)

    @rule(name=st.sampled_from(NAMES))
    def lose(self, name):
        """Lose all messages of an entry for a short time."""
        self.net.lost.add(name)
        self.net.run(0.01)
        self.net.lost.clear()

    @rule()
    def later(self):
        self.net.run(0.02)

    @invariant()
    def no_endpoint_has_more_than_its_slots(self):
        for role in self.net.roles.values():
            for spot in role.scheduler.spots.values():
                assert 0 <= spot.used <= spot.allowed
                assert 0 <= spot.long_used <= spot.used

    def teardown(self):
        """Check that each request ends once and frees its slot."""
        net = self.net
        for _ in range(self.number + 4):
            net.run(1.0, 0.01)
            for name, client in net.clients.items():
                for number in list(client.running):
                    client.release(number, 40, True)
                assert not client.local_scheduler, name
        for _ in range(12):
            net.run(1.0, 0.05)
        assert set(net.granted) | self.cancelled == self.requested
        assert not set(net.granted) & self.cancelled
        for role in net.roles.values():
            assert not role.scheduler.waiting_classes
            assert not role.scheduler.running


SlotMachine.TestCase.settings = hypothesis_settings(
    max_examples=25, stateful_step_count=30, derandomize=True, deadline=None
)
TestSlotMachine = SlotMachine.TestCase


class Hub:
    """Links between brokers in one process, without delay."""

    def __init__(self):
        self.links = {}

    def link(self, name):
        self.links[name] = HubLink(self, name)
        return self.links[name]


class HubLink:
    """One entry's end of a :class:`Hub`."""

    def __init__(self, hub, name):
        self.hub = hub
        self.name = name
        self.handlers = {}

    def on(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, name, content):
        self.hub.links[name].handlers[type(content)](content)
        return True

    def alive(self):
        return set(self.hub.links)


class Config:
    """The applied configuration."""

    view = ConfigView(
        1, {"short": SHORT, "long": LONG}, {"p": PoolRecord("p")}
    )


@pytest.fixture
def brokers():
    hub = Hub()
    stop = Event()
    made = [
        SlotBroker(
            entry_settings(name),
            Config(),
            lambda pool: {e.name: e.slots for e in ENDPOINTS},
            lambda pool: ENDPOINTS,
            hub.link(name),
            Metrics(Settings()),
        )
        for name in NAMES
    ]
    threads = [Thread(target=one.run, args=(stop,)) for one in made]
    for thread in threads:
        thread.start()
    yield made
    stop.set()
    for one in made:
        one.wake.set()
    for thread in threads:
        thread.join(10)


def test_threads_share_the_slots_of_all_entries(brokers):
    """Guards against deadlocks, and free slots that are not granted."""
    ended = []

    def work(broker):
        for _ in range(20):
            slot = broker.acquire(SHORT, 20_000, frozenset())
            broker.release(slot, 1, True)
            ended.append(slot)

    threads = [Thread(target=work, args=(brokers[i % 3],)) for i in range(24)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)
    assert len(ended) == 24 * 20
    assert {slot.endpoint for slot in ended} == {"x0", "x1"}


def test_passed_deadline_refuses_and_removes_the_request(brokers):
    """Guards against callers that wait beyond their deadline."""
    slots = [brokers[0].acquire(LONG, 60_000, frozenset()) for _ in range(5)]
    with pytest.raises(NotRunError) as caught:
        brokers[1].acquire(LONG, 50, frozenset())
    assert caught.value.retry_after_s > 0
    for slot in slots:
        brokers[0].release(slot, 1, True)
    assert brokers[1].acquire(LONG, 60_000, frozenset()).pool == "p"
