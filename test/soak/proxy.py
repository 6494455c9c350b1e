"""Loopback proxy between entries and servers that injects faults.

Each entry has a loopback address of its own. The proxy listens there on the
ports of all servers, and connects from that address, so that a server knows
which entry a connection belongs to.
"""

import asyncio
import socket
import struct
from threading import Thread

CHUNK_BYTES = 65536

UP, DOWN = "up", "down"

#: Closing a socket with this option resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Connection:
    """A proxied connection.

    :ivar silent: transfers nothing any more, and stays open.
    """

    def __init__(self, writers: list[asyncio.StreamWriter]):
        self.writers = writers
        self.silent = False

    def reset(self) -> None:
        """Reset both sides."""
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            if not writer.is_closing():
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                writer.transport.abort()


class Link:
    """All connections from one entry to one server.

    :param source: address of the entry.
    :param port: port of the server.
    :ivar delay_s: delay of each chunk in both directions.
    :ivar refusing: whether new connections are reset.
    """

    def __init__(self, source: str, port: int):
        """Initialise with no faults."""
        self.source = source
        self.port = port
        self.connections: set[Connection] = set()
        self.delay_s = 0.0
        self.refusing = False
        self.open = {UP: asyncio.Event(), DOWN: asyncio.Event()}
        self.heal()

    def heal(self) -> None:
        """End all faults; held data is delivered."""
        self.delay_s = 0.0
        self.refusing = False
        for event in self.open.values():
            event.set()

    def cut(self, directions: tuple[str, ...]) -> None:
        """Hold all data in some directions."""
        for direction in directions:
            self.open[direction].clear()

    def reset(self) -> None:
        """Reset all connections; held data is lost."""
        for connection in list(self.connections):
            connection.reset()

    def silence(self) -> None:
        """Silence the open connections for good."""
        for connection in self.connections:
            connection.silent = True

    async def accept(self, reader, writer) -> None:
        """Proxy one connection until either side closes it."""
        connection = Connection([writer])
        if self.refusing:
            connection.reset()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(
                "127.0.0.1", self.port, local_addr=(self.source, 0)
            )
        except OSError:
            connection.reset()
            return
        connection.writers.append(up_writer)
        self.connections.add(connection)
        await asyncio.gather(
            self.transfer(UP, connection, reader, up_writer),
            self.transfer(DOWN, connection, up_reader, writer),
        )
        self.connections.discard(connection)

    async def transfer(self, direction, connection, reader, writer) -> None:
        """Transfer data in one direction until the sender closes."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self.open[direction].wait()
                if not connection.silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class Proxy:
    """Runs the links in an event loop of its own.

    :ivar links: links by entry address and server port.
    """

    def __init__(self):
        """Start the event loop."""
        self.loop = asyncio.new_event_loop()
        self.loop.set_exception_handler(lambda loop, context: None)
        self.thread = Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.links: dict[tuple[str, int], Link] = {}
        self.servers: list[asyncio.Server] = []

    def add(self, source: str, port: int) -> None:
        """Listen at an entry's address for connections to a server."""

        async def listen() -> None:
            link = self.links[(source, port)] = Link(source, port)
            self.servers.append(
                await asyncio.start_server(link.accept, source, port)
            )

        asyncio.run_coroutine_threadsafe(listen(), self.loop).result(10)

    def run(self, action, *args) -> None:
        """Run an action on links in the event loop."""
        self.loop.call_soon_threadsafe(action, *args)

    def run_now(self, *actions) -> None:
        """Run actions on links in the event loop and wait for them."""

        async def run_all() -> None:
            for action in actions:
                action()

        asyncio.run_coroutine_threadsafe(run_all(), self.loop).result(10)

    def heal(self) -> None:
        """End the faults of all links."""
        for link in self.links.values():
            self.run(link.heal)

    def stop(self) -> None:
        """Close all connections and stop the event loop."""
        for server in self.servers:
            self.run(server.close)
        for link in self.links.values():
            self.run(link.reset)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
