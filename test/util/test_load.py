"""Tests of the load figures of the event loop and of the HTTP client."""

from concurrent.futures import Future, wait
from threading import Thread

import pytest
from werkzeug.wrappers import Response

from cyclamenscale.errors import CallError
from cyclamenscale.standin.http import HttpServer
from cyclamenscale.util.clock import VirtualClock
from cyclamenscale.util.http_client import HttpClient
from cyclamenscale.util.loop import Loop


def test_a_late_timer_shows_as_lag():
    """Guards against an overloaded loop that reports no lag."""
    clock = VirtualClock(10.0)
    loop = Loop(clock)
    loop.call_later(0.1, lambda: None)
    clock.advance(0.4)
    loop.run_once()
    assert loop.take_load().lag_s == pytest.approx(0.3)
    assert loop.take_load().lag_s == 0.0


def test_work_shows_as_busy_share():
    """Guards against a busy loop that seems to wait for events."""
    clock = VirtualClock(10.0)
    loop = Loop(clock)
    loop.call_soon(lambda: clock.advance(1.5))
    loop.run_once()
    assert loop.take_load().busy_share == pytest.approx(1.0)


@pytest.fixture
def client():
    """Provide a client whose loop runs in a thread."""
    loop = Loop()
    thread = Thread(target=loop.run, daemon=True)
    thread.start()
    yield HttpClient(loop)
    loop.stop()
    thread.join(5.0)


def test_requests_carry_no_needless_headers(client):
    """Guards against a link that is filled by headers nobody reads.

    The default User-Agent of pycurl is as long as a short poll.
    """
    names = []

    def serve(request):
        names.extend(name for name, _ in request.headers)
        return Response(b"")

    server = HttpServer(serve, "127.0.0.1:0", 2)
    server.start()
    try:
        url = f"http://{server.address}/"
        assert settle(client, "POST", url, b"{}").result().status == 200
    finally:
        server.stop()
    assert sorted(names) == ["Content-Length", "Content-Type", "Host"]


def settle(client: HttpClient, method: str, url: str, body: bytes) -> Future:
    """Make a call and wait until it has ended."""
    call = client.loop.submit(lambda: client.request(method, url, body))
    wait([call], 5.0)
    return call


def test_traffic_of_calls_is_counted(client):
    """Guards against a congested link that the load does not show."""
    server = HttpServer(lambda request: Response(b"x" * 300), "127.0.0.1:0", 2)
    server.start()
    try:
        url = f"http://{server.address}/"
        assert settle(client, "POST", url, b"y" * 500).result().status == 200
    finally:
        server.stop()
    assert isinstance(settle(client, "POST", url, b"").exception(), CallError)
    load = client.loop.submit(client.take_load).result(5.0)
    assert load.calls == 2
    assert load.pending == 0
    assert load.unanswered == 1
    assert load.connections >= 1
    # The body once, and headers that are shorter than it.
    assert 500 < load.sent_bytes < 1000
    assert load.received_bytes == 300
    assert client.loop.submit(client.take_load).result(5.0).calls == 0
