"""Tests of the client to endpoints, over real sockets."""

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


class Caller:
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

    def fails(self, **parts):
        with pytest.raises(EndpointError) as caught:
            self(**parts)
        return caught.value.reason, caught.value.sent


@pytest.fixture
def call(request):
    caller = Caller(getattr(request, "param", Settings()))
    yield caller
    caller.client.close()
    caller.endpoint.stop()


def test_request_and_answer_arrive_unchanged(call):
    """Guards against changed paths, bodies and hop-by-hop headers."""
    answer = call(
        method="PUT",
        target="/a/../b?q=%20",
        headers=(("Connection", "X-Hop"), ("X-Hop", "1"), ("X-Kept", "2")),
        body=b"one\0two",
    )
    seen = from_json(answer.body, "answer")
    assert seen["method"] == "PUT"
    assert seen["target"] == "/a/../b?q=%20"
    assert seen["body"] == "one\0two"
    assert seen["headers"]["x-kept"] == "2"
    assert not {"x-hop", "connection", "expect"} & set(seen["headers"])


def test_a_new_connection_is_sent_a_request_once(call):
    """Guards against libcurl's resend of work that must not run twice."""
    call()
    call.endpoint.die = "unanswered"
    assert call.fails(new_connection=True)[1] is True
    assert call.endpoint.runs()["r2"] == 1
    assert call.endpoint.accepted == 2


def test_a_closed_reused_connection_is_not_resent_to(call):
    """Guards against libcurl's resend, which no retry budget counts."""
    call()
    call.endpoint.die_on_reuse = True
    assert call.fails() == ("reused_connection_closed", True)
    assert call.endpoint.runs()["r2"] == 1


@pytest.mark.parametrize("die", ["length", "chunked"])
def test_a_truncated_answer_is_no_answer(call, die):
    """Guards against a cut answer that is passed on as complete."""
    call.endpoint.die = die
    assert call.fails() == ("answer_truncated", True)


def test_chunked_and_bodyless_answers_are_complete(call):
    """Guards against a completeness check that refuses good answers."""
    assert call(headers=(("X-Chunked", "1"),)).body
    assert call(method="HEAD", body=b"").body == b""


def test_an_answer_over_the_limit_is_refused(call):
    """Guards against an endpoint that exhausts the entry's memory."""
    call.client.settings = call.client.settings._replace(answer_limit_bytes=9)
    assert call.fails() == ("answer_too_large", True)


def test_a_refusal_is_not_sent(call):
    """Guards against "unknown" for work that the endpoint refused."""
    call.endpoint.leaving = True
    with pytest.raises(EndpointRefusedError) as caught:
        call()
    assert (caught.value.sent, caught.value.leaving) == (False, True)
    assert not call.endpoint.log


def test_nothing_is_sent_without_a_connection(call):
    """Guards against "unknown" when no connection was made."""
    call.endpoint.stop()
    assert call.fails(new_connection=True) == ("connect_failed", False)


def test_a_silent_reused_connection_is_given_up(call):
    """Guards against half-open connections that hold repeatable work.

    All idle connections of the endpoint are dropped with the first one.
    """
    call()
    call.endpoint.go_silent()
    assert call.fails(first_byte_timeout_s=0.05) == (
        "first_byte_timeout",
        True,
    )
    assert not call.client.idle
    assert call(first_byte_timeout_s=0.05).status == 200


def test_slow_work_on_a_new_connection_is_not_cut(call):
    """Guards against stragglers that are cut again and again."""
    call.endpoint.slow_ms = 100
    assert call(first_byte_timeout_s=0.01).status == 200


def test_a_late_answer_is_never_given_to_the_next_request(call):
    """Guards against answers of another request on a kept connection."""
    call()
    call.endpoint.slow_ms = 100
    call.fails(first_byte_timeout_s=0.01)
    call.endpoint.slow_ms = 0
    assert from_json(call().body, "answer")["request"] == "r3"
    assert call.endpoint.accepted == 2


def test_an_idle_connection_is_not_reused_for_long(call):
    """Guards against connections that a middlebox forgot while idle."""
    call()
    now_s = monotonic()
    call.client.clock = lambda: now_s + 60
    call()
    assert call.endpoint.accepted == 2


def test_connections_to_replaced_endpoints_are_closed(call):
    """Guards against descriptors that pile up with each new address."""
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
    """Guards against waits without end on half-open connections."""
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
    """Guards against requests that leave through a proxy."""
    monkeypatch.setenv("http_proxy", "http://127.0.0.1:9")
    assert call().status == 200


def test_a_request_may_be_sent_once_per_exchange():
    """Guards against a change of the rule that stops libcurl's resend."""
    exchange = Exchange(10)
    assert exchange.before_send() == 0
    assert exchange.before_send() != 0
