"""Tests of the HTTP client for endpoints, over sockets."""

import socket

import pytest

from cyclamenscale.errors import EndpointError, EndpointRefusedError
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import Endpoint
from cyclamenscale.requests.channel import Channel, Exchange
from cyclamenscale.requests.endpoints import EndpointClient, EndpointRequest
from cyclamenscale.settings import Settings
from cyclamenscale.standin.endpoint import StandinEndpoint
from cyclamenscale.util.clock import monotonic
from cyclamenscale.util.codec import from_json


class ClientHarness:
    """A client and one stand-in endpoint."""

    def __init__(self, settings):
        self.endpoint = StandinEndpoint("e0")
        self.endpoint.start()
        self.client = EndpointClient(settings, Metrics(settings))
        self.number = 0

    def __call__(
        self,
        new_connection=False,
        first_byte_timeout_s=None,
        timeout_s=20.0,
        **parts,
    ):
        self.number += 1
        request = EndpointRequest(f"r{self.number}", "POST", "/x", (), b"b")
        return self.client.call(
            Endpoint("e0", "p", self.endpoint.address, "dc", "rack"),
            request._replace(**parts),
            new_connection,
            first_byte_timeout_s,
            timeout_s,
        )

    def call_error(self, **parts):
        with pytest.raises(EndpointError) as caught:
            self(**parts)
        return caught.value.reason, caught.value.sent


@pytest.fixture
def call(request):
    caller = ClientHarness(getattr(request, "param", Settings()))
    yield caller
    caller.client.close()
    caller.endpoint.stop()


def test_request_and_answer_arrive_unchanged(call):
    """Guards against altered requests and forwarded hop-by-hop headers."""
    answer = call(
        method="PUT",
        target="/a/../b?q=%20",
        headers=(("Connection", "X-Hop"), ("X-Hop", "1"), ("X-Kept", "2")),
        body=b"one\0two",
    )
    received = from_json(answer.body, "answer")
    assert received["method"] == "PUT"
    assert received["target"] == "/a/../b?q=%20"
    assert received["body"] == "one\0two"
    assert received["headers"]["x-kept"] == "2"
    assert not {"x-hop", "connection", "expect"} & set(received["headers"])


def test_a_new_connection_is_sent_a_request_once(call):
    """Guards against resends by libcurl that run a request twice."""
    call()
    call.endpoint.die = "unanswered"
    assert call.call_error(new_connection=True)[1] is True
    assert call.endpoint.run_counts()["r2"] == 1
    assert call.endpoint.accepted == 2


def test_a_closed_reused_connection_is_not_resent_to(call):
    """Guards against resends by libcurl that no retry budget counts."""
    call()
    call.endpoint.die_on_reuse = True
    assert call.call_error() == ("reused_connection_closed", True)
    assert call.endpoint.run_counts()["r2"] == 1


@pytest.mark.parametrize("die", ["length", "chunked"])
def test_a_truncated_answer_is_no_answer(call, die):
    """Guards against passing on a truncated response as complete."""
    call.endpoint.die = die
    assert call.call_error() == ("answer_truncated", True)


def test_chunked_and_bodyless_answers_are_complete(call):
    """Guards against a completeness check that rejects valid responses."""
    assert call(headers=(("X-Chunked", "1"),)).body
    assert call(method="HEAD", body=b"").body == b""


def test_an_answer_over_the_limit_is_refused(call):
    """Guards against an endpoint that exhausts the entry's memory."""
    call.client.settings = call.client.settings._replace(answer_limit_bytes=9)
    assert call.call_error() == ("answer_too_large", True)


def test_a_refusal_is_not_sent(call):
    """Guards against ``unknown`` for a request that the endpoint refused."""
    call.endpoint.leaving = True
    with pytest.raises(EndpointRefusedError) as caught:
        call()
    assert (caught.value.sent, caught.value.leaving) == (False, True)
    assert not call.endpoint.log


def test_nothing_is_sent_without_a_connection(call):
    """Guards against ``unknown`` when no connection was established."""
    call.endpoint.stop()
    assert call.call_error(new_connection=True) == ("connect_failed", False)


def test_a_silent_reused_connection_is_given_up(call):
    """Guards against long waits on half-open connections.

    All idle connections of the endpoint are closed after the first timeout.
    """
    call()
    call.endpoint.go_silent()
    assert call.call_error(first_byte_timeout_s=0.05) == (
        "first_byte_timeout",
        True,
    )
    assert not call.client.idle
    assert call(first_byte_timeout_s=0.05).status == 200


def test_slow_work_on_a_new_connection_is_not_cut(call):
    """Guards against slow requests that time out on every try."""
    call.endpoint.slow_ms = 100
    assert call(first_byte_timeout_s=0.01).status == 200


def test_a_late_answer_is_never_given_to_the_next_request(call):
    """Guards against reading an earlier response on a reused connection."""
    call()
    call.endpoint.slow_ms = 100
    call.call_error(first_byte_timeout_s=0.01)
    call.endpoint.slow_ms = 0
    assert from_json(call().body, "answer")["request"] == "r3"
    assert call.endpoint.accepted == 2


def test_an_idle_connection_is_not_reused_for_long(call):
    """Guards against idle connections that a middlebox has dropped."""
    call()
    now_s = monotonic()
    call.client.clock = lambda: now_s + 60
    call()
    assert call.endpoint.accepted == 2


def test_connections_to_replaced_endpoints_are_closed(call):
    """Guards against file descriptor leaks as endpoints are replaced."""
    old = call.endpoint
    call()
    call.endpoint = StandinEndpoint("e0")
    call.endpoint.start()
    now_s = monotonic()
    call.client.clock = lambda: now_s + 60
    call()
    assert list(call.client.idle) == [call.endpoint.address]
    old.stop()


def test_sockets_notice_a_dead_connection_by_themselves():
    """Guards against endless waits on half-open connections."""
    settings = Settings().endpoints
    channel = Channel(settings, monotonic)
    address = socket.create_server(("127.0.0.1", 0)).getsockname()

    class Address:
        family = socket.AF_INET
        socktype = socket.SOCK_STREAM
        protocol = 0
        addr = address

    with channel.open_socket(0, Address) as sock:
        get = sock.getsockopt
        assert get(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
        tcp = socket.IPPROTO_TCP
        assert get(tcp, socket.TCP_USER_TIMEOUT) == 10000
        assert get(tcp, socket.TCP_KEEPIDLE) == settings.keepalive_idle_s
        assert get(tcp, socket.TCP_KEEPINTVL) == settings.keepalive_interval_s
    channel.close()


def test_proxies_of_the_environment_are_not_used(call, monkeypatch):
    """Guards against requests that are sent through a proxy."""
    monkeypatch.setenv("http_proxy", "http://127.0.0.1:9")
    assert call().status == 200


def test_a_request_may_be_sent_once_per_exchange():
    """Guards against a change of the rule that blocks libcurl's resends."""
    exchange = Exchange(10)
    assert exchange.before_send() == 0
    assert exchange.before_send() != 0
