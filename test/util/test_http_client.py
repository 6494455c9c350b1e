"""Tests of the HTTP client, against a server on real sockets."""

import socket
from threading import Thread

import pytest

from cyclamenscale.errors import CallNotSentError, CallUnansweredError
from cyclamenscale.util.http_client import HttpClient
from cyclamenscale.util.loop import Loop

BODY = b'{"run-id":1}'
ACCEPTED = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
REFUSED = b"HTTP/1.1 503 Unhealthy\r\nContent-Length: 2\r\n\r\n{}"

#: Longest wait for the server's thread.
THREAD_TIMEOUT_S = 5.0


class ScriptedServer:
    """A server that plays a script of responses.

    :ivar received: bodies of the requests it has read.
    """

    def __init__(self, *connections: list[bytes]):
        """Start a thread that serves one connection after another.

        :param connections: responses to the requests on each connection; an
            empty one means that it reads the request and closes the
            connection, the last one also the listener before.
        """
        self.received: list[bytes] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        port = self.listener.getsockname()[1]
        self.url = f"http://127.0.0.1:{port}/run-start"
        self.thread = Thread(target=self.serve, args=connections, daemon=True)
        self.thread.start()

    def serve(self, *connections: list[bytes]) -> None:
        """Serve the connections, then refuse further ones."""
        for number, responses in enumerate(connections, 1):
            connection, _ = self.listener.accept()
            with connection:
                for response in responses:
                    self.received.append(read_body(connection))
                    if not response and number == len(connections):
                        self.listener.close()
                    connection.sendall(response)
        self.listener.close()


def read_body(connection: socket.socket) -> bytes:
    """Read one request and return its body."""
    data = b""
    while not data.endswith(BODY):
        received = connection.recv(4096)
        assert received
        data += received
    return data.partition(b"\r\n\r\n")[2]


def send(client: HttpClient, url: str):
    """Send a request and return its future once it is done."""
    call = client.request("POST", url, BODY)
    while not call.done():
        client.loop.run_once()
    return call


def test_a_request_that_was_read_on_a_broken_connection_counts_as_sent():
    """Guards against a start that is placed again although it was read.

    The server reads the request on a reused connection and ends; libcurl
    repeats the request on a new connection, which is refused.
    """
    server = ScriptedServer([ACCEPTED, b""])
    client = HttpClient(Loop())
    assert send(client, server.url).result().status == 200
    error = send(client, server.url).exception()
    server.thread.join(THREAD_TIMEOUT_S)
    assert server.received == [BODY, BODY]
    assert isinstance(error, CallUnansweredError)


def test_a_refused_connection_counts_as_not_sent():
    """Guards against waiting for a start that no worker can have read."""
    server = ScriptedServer([ACCEPTED])
    client = HttpClient(Loop())
    assert send(client, server.url).result().status == 200
    server.thread.join(THREAD_TIMEOUT_S)
    with pytest.raises(CallNotSentError):
        # The handle has sent a request before, on another call.
        send(client, f"http://127.0.0.1:{unused_port()}/").result()


def test_a_response_to_a_repeated_request_says_so():
    """Guards against reading a refusal of libcurl's repeat as "never ran"."""
    server = ScriptedServer([ACCEPTED, b""], [REFUSED])
    client = HttpClient(Loop())
    assert not send(client, server.url).result().resent
    response = send(client, server.url).result()
    assert response.status == 503
    assert response.resent
    assert server.received == [BODY] * 3


def test_a_response_on_a_reused_connection_is_not_a_repeat():
    """Guards against stopping runs that a busy worker has refused once."""
    server = ScriptedServer([ACCEPTED, REFUSED])
    client = HttpClient(Loop())
    send(client, server.url)
    assert not send(client, server.url).result().resent


def unused_port() -> int:
    """Return a port on which nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


@pytest.mark.parametrize("host", ["b\u00e9ta:1", "w\0:1", "w:1\0"])
def test_an_unusable_address_fails_the_call_alone(host):
    """Guards against a registration that stops the polls of all workers."""
    call = send(HttpClient(Loop()), f"http://{host}/hold")
    assert isinstance(call.exception(), CallNotSentError)


def test_an_unusable_header_fails_the_call_alone():
    """Guards against the same for the id that an order names."""
    client = HttpClient(Loop())
    call = client.request("POST", "http://w:1/hold", BODY, ("Id: w\0",))
    assert isinstance(call.exception(), CallNotSentError)
