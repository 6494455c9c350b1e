"""Tests of registrations that another writer left among those of workers."""

from concurrent.futures import Future

import pytest
from msgspec import json

from cyclamenscale.jobs.registry import WorkerRegistry
from cyclamenscale.platform import decode
from cyclamenscale.store.port import KeyValue, WatchEvent
from test.jobs.test_acceptance import FakeLoop
from test.jobs.world import World

PREFIX = "servers/"

VALID = {
    "service": "pool-a",
    "address": "10.0.0.1:80",
    "zone": "dc",
    "state": "ready",
    "capacity": {"cpu": 64000, "mem-mb": 262144, "gpu": 0},
    "labels": ["a", "r1"],
    "born": 5,
    "machine": "m1",
}


def nested(depth: int) -> bytes:
    """Return JSON lists that are nested to a depth."""
    return b"[" * depth + b"]" * depth


def with_raw(name: str, value: bytes) -> bytes:
    """Return a valid registration with one field replaced by raw JSON."""
    table = {key: found for key, found in VALID.items() if key != name}
    return (
        json.encode(table)[:-1] + b',"' + name.encode() + b'":' + value + b"}"
    )


#: Values that name no worker to use.
UNUSABLE = {
    "no-json": b"\xff\x00",
    "unclosed": b"[" * 2000,
    "nested": nested(2000),
    "nested-in-a-field": with_raw("notes", nested(2000)),
    "nested-label": with_raw("labels", b'["a",' + nested(900) + b"]"),
    "nested-state": with_raw("state", nested(900)),
    "label-of-another-type": with_raw("labels", b'["a",7]'),
    "large-integer": with_raw("born", b"1" + b"0" * 400),
    "larger-integer": with_raw("born", b"1" + b"0" * 5000),
    "large-float": with_raw("born", b"1e400"),
    "large-capacity": with_raw("capacity", b'{"cpu":1' + b"0" * 400 + b"}"),
    "float-capacity": with_raw("capacity", b'{"cpu":1e300,"mem-mb":1e300}'),
    "large-gpu": with_raw("capacity", b'{"cpu":1,"gpu":1e300}'),
    "port-too-large": with_raw("address", b'"10.0.0.1:65536"'),
    "port-zero": with_raw("address", b'"10.0.0.1:0"'),
    "port-of-many-digits": with_raw(
        "address", b'"10.0.0.1:' + b"9" * 5000 + b'"'
    ),
    "port-in-other-digits": with_raw("address", '"10.0.0.1:٨٠"'.encode()),
    "host-with-nul": with_raw("address", rb'"10.0.0.1\u0000:80"'),
    "host-with-a-path": with_raw("address", b'"10.0.0.1/x?y=:80"'),
    "unknown-state": with_raw("state", b'"asleep"'),
    "service-of-another-type": with_raw("service", b"[]"),
}


class ReadRegistry:
    """A registry that has read its first items.

    :param items: values by worker id, in the order of the store.
    """

    def __init__(self, items: dict[str, bytes]):
        """Read all items."""
        world = World(workers=0)
        self.coordinator = world.lead()
        self.store = world.store
        self.watches: list[Future] = []
        self.store.watch = self.watch
        for name, value in items.items():
            self.store.put(PREFIX + name, value)
        self.registry = WorkerRegistry(
            FakeLoop(),
            self.store,
            world.events,
            PREFIX,
            decode.worker_record,
            1000,
            self.coordinator,
            lambda: None,
        )

    def watch(self, prefix: str, after: int, wait_ms: int) -> Future:
        """Record a call that :meth:`change` answers."""
        self.watches.append(Future())
        return self.watches[-1]

    @property
    def known(self) -> set[str]:
        """Return the ids of the workers that are known."""
        return set(self.coordinator.state.registry)

    def change(self, name: str, value: bytes) -> None:
        """Deliver a changed registration."""
        revision = self.store.put(PREFIX + name, value)
        item = KeyValue(PREFIX + name, value, revision, revision)
        self.watches[-1].set_result(WatchEvent(revision, [item]))


@pytest.mark.parametrize("kind", UNUSABLE)
def test_an_odd_registration_hides_no_worker(kind):
    """Guards against one entry that keeps the leader from all behind it."""
    valid = json.encode(VALID)
    found = ReadRegistry({"a": valid, "b": UNUSABLE[kind], "c": valid})
    assert found.known == {"a", "c"}


@pytest.mark.parametrize("kind", UNUSABLE)
def test_an_odd_registration_does_not_stop_the_watch(kind):
    """Guards against a leader that learns of no worker after an odd entry."""
    found = ReadRegistry({"a": json.encode(VALID)})
    watched = len(found.watches)
    found.change("b", UNUSABLE[kind])
    assert len(found.watches) == watched + 1
    found.change("c", json.encode(VALID))
    assert found.known == {"a", "c"}


@pytest.mark.parametrize(
    "name", ["w\r\nX-Other: 1", "w\x00", "w w", "wórker", "", "w" * 300]
)
def test_a_registration_under_an_odd_key_names_no_worker(name):
    """Guards against an id that can't be sent in the header of an order."""
    valid = json.encode(VALID)
    found = ReadRegistry({"a": valid, name: valid, "z": valid})
    assert found.known == {"a", "z"}


def test_a_worker_whose_registration_becomes_odd_gets_no_new_tasks():
    """Guards against tasks for a worker that its entry no longer names."""
    found = ReadRegistry({"a": json.encode(VALID)})
    found.coordinator.run_once()
    assert found.coordinator.state.workers["a"].in_registry
    found.change("a", UNUSABLE["nested"])
    assert not found.known
    found.change("a", json.encode(VALID))
    assert found.known == {"a"}
