"""Tests of the etcd adapter against the stand-in server."""

import json
import socket
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from threading import Event, Thread

import pycurl
import pytest

from cyclamenscale.errors import (
    CompactedError,
    LeaseLostError,
    StoreAnswerLostError,
    StoreUnavailableError,
)
from cyclamenscale.metrics import Metrics
from cyclamenscale.settings import Settings, StoreSettings
from cyclamenscale.standin.store import StoreServer
from cyclamenscale.store.etcd import EtcdStore
from cyclamenscale.store.port import Compare, Delete, Put, open_store


@pytest.fixture(scope="module")
def shared():
    server = StoreServer(threads=24)
    server.start()
    yield server
    server.stop()


@pytest.fixture
def server(shared):
    yield shared
    shared.faults.clear()
    shared.up()


def settings_for(address, **options):
    return Settings(store=StoreSettings(address=address, **options))


@pytest.fixture
def store(server):
    return EtcdStore(settings_for(server.address, call_timeout_s=5.0))


def post(server, path, body):
    curl, data = pycurl.Curl(), bytearray()
    curl.setopt(pycurl.URL, f"http://{server.address}{path}")
    curl.setopt(pycurl.POSTFIELDS, json.dumps(body))
    curl.setopt(pycurl.WRITEFUNCTION, data.extend)
    curl.perform()
    status = curl.getinfo(pycurl.RESPONSE_CODE)
    curl.close()
    return status, json.loads(data)


def test_the_settings_select_the_adapter(server):
    """Guards against an adapter that is not registered."""
    assert open_store(settings_for(server.address)).get("none")[1] is None


def test_keys_values_and_revisions_are_read_as_written(store):
    """Guards against errors in base64, 64-bit integers or omitted zeros."""
    lease = store.lease_grant(600)
    values = {"rt/ž": b"\x00\xff\xfe", "rt/empty": b"", "rt/z": b"x" * 100000}
    done = store.txn(
        [Compare(key, 0) for key in values],
        [Put(key, value, lease) for key, value in values.items()],
    )
    assert done.succeeded and lease > 2**53
    read = store.range("rt/")
    assert {i.key: i.value for i in read.items} == values
    assert {i.mod_revision for i in read.items} == {done.revision}
    assert {i.lease for i in read.items} == {lease}
    assert store.range("rt/", limit=1).more
    assert store.lease_keep_alive(lease) == 600
    store.lease_revoke(lease)
    assert store.get("rt/z")[1] is None
    with pytest.raises(LeaseLostError):
        store.lease_keep_alive(lease)
    with pytest.raises(LeaseLostError):
        store.txn([], [Put("rt/z", b"", lease)])


def test_a_failed_comparison_returns_the_current_keys(store):
    """Guards against a conflict that does not return the other change."""
    first = store.txn([Compare("cas/a", 0)], [Put("cas/a", b"1")])
    second = store.txn(
        [Compare("cas/a", 0), Compare("cas/none", 0)], [Delete("cas/a")]
    )
    assert not second.succeeded
    assert list(second.current) == ["cas/a"]
    assert second.current["cas/a"].mod_revision == first.revision


def test_a_transaction_is_not_repeated_after_a_lost_response(server, store):
    """Guards against libcurl repeating a write that took effect."""
    store.get("warm")
    server.faults.set(lose_next=1)
    with pytest.raises(StoreAnswerLostError):
        store.txn([Compare("lost/a", 0)], [Put("lost/a", b"mine")])
    found = store.get("lost/a")[1]
    assert (found.value, found.create_revision) == (
        b"mine",
        found.mod_revision,
    )
    assert server.faults.lose_next == 0


def test_an_outage_is_reported_as_no_effect_and_keeps_the_state(server, store):
    """Guards against reporting unreachable writes as possibly applied."""
    store.txn([], [Put("down/a", b"1")])
    address = server.address
    for refuse in (False, True):
        server.down(refuse=refuse)
        with pytest.raises(StoreUnavailableError):
            store.txn([], [Put("down/a", b"2")])
        with pytest.raises(StoreUnavailableError):
            store.get("down/a")
        server.up()
        assert server.address == address
        assert store.get("down/a")[1].value == b"1"


def test_a_write_that_times_out_may_have_taken_effect(server):
    """Guards against reporting a write that timed out as not applied."""
    short_timeout = EtcdStore(settings_for(server.address, call_timeout_s=0.1))
    server.faults.set(slow_s=60.0)
    with pytest.raises(StoreAnswerLostError):
        short_timeout.txn([], [Put("slow/a", b"1")])
    with pytest.raises(StoreUnavailableError):
        short_timeout.get("slow/a")
    server.down(refuse=True)


@pytest.mark.parametrize(
    ("status", "error", "expected"),
    [
        ("503", "etcdserver: no leader", StoreUnavailableError),
        ("503", "etcdserver: request timed out", StoreAnswerLostError),
        ("503", "etcdserver: leader changed", StoreAnswerLostError),
        ("429", "etcdserver: too many requests", StoreUnavailableError),
        ("500", "context canceled", StoreAnswerLostError),
    ],
)
def test_store_errors_decide_whether_a_write_may_have_taken_effect(
    status, error, expected
):
    """Guards against treating a 503 after a write as a rejection."""
    body = json.dumps({"error": error, "code": 14})
    response = (
        f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n{body}"
    )
    with raises_for_response(response, expected) as store:
        store.txn([], [Put("a", b"1")])


@pytest.mark.parametrize(
    "response",
    [
        'HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{"succeeded": true}',
        'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{"succeeded": tr',
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{",
    ],
)
def test_a_truncated_response_to_a_write_is_lost(response):
    """Guards against a truncated response that is taken as complete."""
    with raises_for_response(response, StoreAnswerLostError) as store:
        store.txn([], [Put("a", b"1")])


@contextmanager
def raises_for_response(response, expected):
    """Serve one raw response to the block, which must raise ``expected``."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        connection, _ = listener.accept()
        with connection:
            received = b""
            while b'"failure":[]' not in received:
                received += connection.recv(65536)
            connection.sendall(response.encode())

    thread = Thread(target=serve, daemon=True)
    thread.start()
    host, port = listener.getsockname()
    with listener, pytest.raises(expected):
        yield EtcdStore(settings_for(f"{host}:{port}", call_timeout_s=5.0))
    thread.join(5.0)


def test_a_watch_delivers_from_a_past_revision_and_ends_on_close(store):
    """Guards against changes missed between a read and a watch."""
    start = store.txn([], [Put("w/a", b"1")]).revision
    end = store.txn([], [Delete("w/a"), Put("w/b", b"2")]).revision
    store.txn([], [Put("elsewhere", b"")])
    watch = store.watch("w/", start)
    events = watch.events()
    seen, revision = [], 0
    while revision <= end:
        event = next(events)
        assert event.revision >= revision
        revision = event.revision
        seen += [(k.key, k.value, k.create_revision) for k in event.changed]
    assert seen == [("w/a", b"1", start), ("w/a", b"", 0), ("w/b", b"2", end)]
    Thread(target=watch.close).start()
    assert all(not event.changed for event in events)
    assert store.call_counts() == {"txn": 3, "watch": 1}


def test_a_silent_watch_fails(server):
    """Guards against a watch that waits forever on a dead connection."""
    store = EtcdStore(settings_for(server.address, watch_silence_s=1.0))
    events = store.watch("", 0).events()
    assert next(events).changed == []
    server.faults.set(mute_watches=True)
    with pytest.raises(StoreUnavailableError, match="silent"):
        list(events)


@pytest.mark.parametrize("refuse", [True, False])
def test_an_outage_ends_a_watch(server, store, refuse):
    """Guards against a watch that hangs when its connection is lost."""
    events = store.watch("", 0).events()
    next(events)
    server.down(refuse=refuse)
    with pytest.raises(StoreUnavailableError):
        list(events)
    with pytest.raises(StoreUnavailableError):
        next(store.watch("", 0).events())


def test_a_watch_from_a_compacted_revision_fails(server, store):
    """Guards against a watch that silently skips compacted changes."""
    revision = store.txn([], [Put("c/a", b"1")]).revision
    server.state.compact(revision)
    with pytest.raises(CompactedError) as caught:
        list(store.watch("c/", revision).events())
    assert caught.value.revision == revision + 1


def test_concurrent_calls_are_all_made_and_counted(server):
    """Guards against handles shared by threads, and lost counts."""
    metrics = Metrics(Settings())
    settings = settings_for(server.address, call_timeout_s=20.0)
    store = EtcdStore(settings, metrics)
    ready = Event()

    def work(number):
        ready.wait(10.0)
        succeeded = 0
        for step in range(10):
            key = f"many/{step}"
            succeeded += store.txn(
                [Compare(key, 0)], [Put(key, b"")]
            ).succeeded
            store.get(f"many/{number}")
        return succeeded

    with ThreadPoolExecutor(8) as pool:
        results = [pool.submit(work, number) for number in range(8)]
        ready.set()
        assert sum(result.result() for result in results) == 10
    assert store.call_counts() == {"txn": 80, "get": 80}
    assert metrics.snapshot()["store.calls.txn"] == 80


def test_faults_change_over_http(server, store):
    """Guards against fault requests that are accepted but have no effect."""
    assert post(server, "/faults", {"down": True})[1]["down"]
    with pytest.raises(StoreUnavailableError):
        store.get("a")
    assert post(server, "/faults", {"down": False})[0] == 200
    lease = store.lease_grant(600)
    assert post(server, "/faults", {"expire_leases": True})[0] == 200
    with pytest.raises(LeaseLostError):
        store.lease_keep_alive(lease)
    assert post(server, "/faults", {"down": "yes"})[0] == 400
    assert post(server, "/faults", {"unknown": 1})[0] == 400
    assert post(server, "/v3/unknown", {})[0] == 404
