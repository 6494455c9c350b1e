"""Minimal HTTP/1.1 server and client on asyncio, for loopback only."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit


class Call:
    """One request.

    :ivar peer: address of the client's socket.
    """

    def __init__(self, method, target, headers, body, peer):
        """Split the target into path and query."""
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query))
        self.headers = headers
        self.peer = peer
        self.body = json.loads(body) if body else {}


async def read_message(reader):
    """Read a start line, headers and a body; None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


class HttpServer:
    """Serves requests with a coroutine that returns a status and a table.

    :param handle: coroutine function that takes a :class:`Call`; None as its
        result closes the connection without an answer.
    """

    def __init__(self, handle, host="127.0.0.1"):
        """Bind nothing yet."""
        self.handle = handle
        self.host = host
        self.port = 0
        self.writers = set()
        self.server = None

    @property
    def address(self):
        """Return the bound address."""
        return f"{self.host}:{self.port}"

    async def start(self):
        """Listen at a free port, or at the port that was used before."""
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, backlog=512
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        """Stop listening and reset all connections."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.writers.add(writer)
        peer = writer.get_extra_info("peername")
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                call = Call(method, target, headers, body, peer)
                answer = await self.handle(call)
                if answer is None:
                    writer.transport.abort()
                    return
                status, table = answer
                data = json.dumps(table).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def request(address, method, path, body=None, headers=None, wait_s=3.0):
    """Send one request on a connection of its own.

    :returns: status and body; status 0 if there was no whole answer in time.
    """
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    lines = {"Content-Length": str(len(data)), "Connection": "close"}
    lines |= {"Content-Type": "application/json"} | (headers or {})
    text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode())
            writer.write(data)
            first, _, found = await read_message(reader)
            table = json.loads(found) if found else {}
            return int(first.split(" ")[1]), table
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}
    finally:
        if writer:
            writer.close()
