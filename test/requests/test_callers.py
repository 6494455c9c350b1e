"""Tests of the HTTP interface for callers and its server, over sockets."""

import socket
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection
from threading import Event

import pytest

from cyclamenscale.requests.callers import CallerApp
from cyclamenscale.server import HttpServer
from cyclamenscale.util.codec import from_json
from test.request_path import RequestPath


class CallerServer:
    """An HTTP server for callers over a request path."""

    def __init__(self, path, **bounds):
        self.path = path
        self.app = CallerApp(
            path.settings, path.dispatcher, path, path.metrics
        )
        self.server = HttpServer("127.0.0.1:0", self.app, **bounds)
        self.server.start()

    def get(self, method="GET", target="/x", body=None, **headers):
        """Send a request; ``_`` in a header name is sent as ``-``."""
        connection = HTTPConnection(self.server.address, timeout=20)
        names = {k.replace("_", "-"): v for k, v in headers.items()}
        try:
            connection.request(method, target, body, names)
            response = connection.getresponse()
            return response, response.read()
        finally:
            connection.close()


@pytest.fixture
def caller_server():
    with RequestPath() as path:
        running = CallerServer(path)
        yield running
        running.server.stop(10.0)


def test_an_answer_carries_the_outcome(caller_server):
    """Guards against responses that can't be matched with the log."""
    response, body = caller_server.get(
        "POST", "/a?b=1", b"x", Cyclamen_Class="plan"
    )
    assert response.status == 200
    assert response.headers["Cyclamen-Outcome"] == "answered"
    assert response.headers["Cyclamen-Wait-Ms"].isdigit()
    received = from_json(body, "answer")
    assert received["target"] == "/a?b=1"
    # The endpoint echoes the header, which must not be passed on as well.
    ids = response.headers.get_all("Cyclamen-Request")
    assert ids == [received["request"]]


def test_refusals_have_status_body_and_retry_after(caller_server):
    """Guards against error responses that programs can't interpret."""
    cases = [
        (400, "not_run", {"Cyclamen_Class": "none"}),
        (400, "not_run", {"Cyclamen_Class": "book"}),
    ]
    for status, outcome, headers in cases:
        response, body = caller_server.get(**headers)
        error = from_json(body, "refusal")
        assert (response.status, error["outcome"]) == (status, outcome)
        assert response.headers["Cyclamen-Outcome"] == outcome
    book = {"Cyclamen_Class": "book", "Idempotency_Key": "k"}
    assert caller_server.get("POST", body=b"a", **book)[0].status == 200
    assert caller_server.get("POST", body=b"b", **book)[0].status == 422
    for endpoint in caller_server.path.endpoints:
        endpoint.die = "length"
    lost = {**book, "Idempotency_Key": "k2"}
    assert caller_server.get("POST", **lost)[0].status == 504
    assert caller_server.get("POST", **lost)[0].status == 409
    for endpoint in caller_server.path.endpoints:
        endpoint.leaving = True
    response, body = caller_server.get(Cyclamen_Class="plan")
    assert response.status == 503
    assert response.headers["Retry-After"] == "3"
    assert from_json(body, "refusal")["retry_after_s"] == 2.5


def test_health_follows_freshness_and_shutdown(caller_server):
    """Guards against load balancing to an entry that refuses requests."""
    assert caller_server.get(target="/health")[0].status == 200
    caller_server.path.fresh = False
    assert caller_server.get(target="/health")[0].status == 503
    caller_server.path.fresh = True
    caller_server.app.ready = False
    assert caller_server.get(target="/health")[0].status == 503
    # The balancer may not have noticed yet, so requests are admitted.
    assert caller_server.get(Cyclamen_Class="plan")[0].status == 200


def test_an_incomplete_body_does_not_run(caller_server):
    """Guards against a run whose caller failed while sending the request."""
    host, port = caller_server.server.address.split(":")
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(
            b"POST / HTTP/1.1\r\nHost: e\r\nCyclamen-Class: plan\r\n"
            b"Content-Length: 10\r\n\r\nabc"
        )
        sock.shutdown(socket.SHUT_WR)
        answer = sock.makefile("rb").read()
    assert b"400" in answer.split(b"\r\n")[0]
    assert caller_server.path.runs() == [0, 0]


def test_a_body_over_the_limit_does_not_run(caller_server):
    """Guards against bodies that exhaust the entry's memory."""
    caller_server.server.server.max_request_body_size = 10
    response, _ = caller_server.get(
        "POST", body=b"x" * 11, Cyclamen_Class="plan"
    )
    assert response.status == 413
    assert caller_server.path.runs() == [0, 0]


def test_a_stop_cuts_no_request_in_progress(caller_server):
    """Guards against a graceful shutdown that truncates responses."""
    with ThreadPoolExecutor(2) as pool:
        slow = pool.submit(
            caller_server.get, Cyclamen_Class="plan", X_Run_Ms="200"
        )
        while not any(caller_server.path.runs()):
            caller_server.path.endpoints[0].wait_for(lambda: False, 0.01)
        assert pool.submit(caller_server.server.stop, 10.0).result() is True
        response, body = slow.result()
    assert response.status == 200 and body
    with pytest.raises(OSError):
        caller_server.get(Cyclamen_Class="plan")


def test_silent_connections_take_no_thread():
    """Guards against clients that occupy threads by sending nothing."""
    server = HttpServer("127.0.0.1:0", hello, threads=1, queue_limit=8)
    server.start()
    host, port = server.address.split(":")
    silent = [socket.create_connection((host, int(port))) for _ in range(4)]
    connection = HTTPConnection(server.address, timeout=20)
    connection.request("GET", "/")
    assert connection.getresponse().read() == b"hello"
    connection.close()
    for sock in silent:
        sock.close()
    server.stop(10.0)


def test_a_full_server_answers_not_run():
    """Guards against an unbounded queue in front of the threads."""
    started, end = Event(), Event()

    def wait(environ, start_response):
        started.set()
        end.wait(20)
        return hello(environ, start_response)

    server = HttpServer("127.0.0.1:0", wait, threads=1, queue_limit=1)
    server.start()
    connections = []
    for _ in range(3):
        connection = HTTPConnection(server.address, timeout=20)
        connection.request("GET", "/")
        started.wait(20)
        connections.append(connection)
    refused = connections[2].getresponse()
    assert refused.status == 503
    assert refused.headers["Cyclamen-Outcome"] == "not_run"
    end.set()
    for connection in connections[:2]:
        assert connection.getresponse().read() == b"hello"
        connection.close()
    server.stop(10.0)


def hello(environ, start_response):
    start_response("200 OK", [("Content-Length", "5")])
    return [b"hello"]
