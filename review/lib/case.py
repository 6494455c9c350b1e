"""Runs a case: the record, the entries as processes, and the proxy."""

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from time import monotonic

from review.lib.http import request

ROOT = Path(__file__).resolve().parents[2]

HELD, BROKEN, CANT_RUN = 0, 1, 2

#: Time after which a case that goes on is given up.
CASE_LIMIT_S = 110

SETTINGS = """\
[entry]
name = {name}
data_centre = z-a
callers_address = {host}:{callers}
ready_address = {host}:{ready}
operators_address = {host}:{operators}
peers_address = {host}:{peers}
metrics_address = {host}:{metrics}
processors = 2
processor_share = 0.537
link_mbps = 1000.0

[store]
adapter = platform
address = {store}
writes_per_s = 400
reads_per_s = 2000

[platform]
address = {cloud}
advice_address = {advice}

[jobs]
max_hold_ms = 10000
holder_pause_ms = 3000
"""


class Record:
    """Writes what was sent, answered and run.

    :ivar rows: all rows as (time, what, details).
    """

    def __init__(self, path):
        """Open the file."""
        self.file = path.open("w")
        self.began_s = monotonic()
        self.rows = []

    def note(self, what, *details):
        """Write one row."""
        at_s = monotonic() - self.began_s
        self.rows.append((at_s, what, details))
        print(f"{at_s:8.3f}", what, *details, file=self.file, flush=True)

    def find(self, what):
        """Return the rows of one kind."""
        return [row for row in self.rows if row[1] == what]


def free_port(host):
    """Return a port that nobody listens at."""
    import socket

    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Entry:
    """A job entry as a process, started as the deploy file says."""

    def __init__(self, number, folder, store, cloud, advice):
        """Write the settings."""
        self.name = f"edge-z-a-{number}"
        host = f"127.0.0.{10 + number}"
        ports = {
            name: free_port(host)
            for name in ("callers", "ready", "operators", "peers", "metrics")
        }
        self.callers = f"{host}:{ports['callers']}"
        self.ready = f"{host}:{ports['ready']}"
        self.settings = folder / f"{self.name}.ini"
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                host=host,
                store=store,
                cloud=cloud,
                advice=advice,
                **ports,
            )
        )
        self.log = folder / f"{self.name}.log"
        self.process = None

    def start(self):
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CYCLAMENSCALE_SETTINGS"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "cyclamenscale", "jobs"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """End the process."""
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait(10)

    async def is_ready(self):
        """Return whether it reports itself ready."""
        status, _ = await request(self.ready, "GET", "/ready", wait_s=1.0)
        return status == 200


async def wait_ready(entries, limit_s=20.0):
    """Wait until all entries are ready; raise TimeoutError otherwise."""
    async with asyncio.timeout(limit_s):
        for entry in entries:
            while not await entry.is_ready():
                await asyncio.sleep(0.1)


async def wait_leader(store, limit_s=20.0):
    """Return the name of the leader once there is one."""
    async with asyncio.timeout(limit_s):
        while not store.read("cyclamen/leader"):
            await asyncio.sleep(0.05)
    return store.read("cyclamen/leader").decode()


class Link:
    """A proxy between one entry and a server.

    :param delay: returns the seconds by which a chunk from the server is
        delayed; chunks of one connection stay in order.
    """

    def __init__(self, target, delay):
        """Listen nowhere yet."""
        self.target = target
        self.delay = delay
        self.address = ""

    async def start(self):
        """Listen at a free port."""
        server = await asyncio.start_server(
            self.accept, "127.0.0.1", 0, backlog=512
        )
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def accept(self, reader, writer):
        """Pass one connection on."""
        host, _, port = self.target.rpartition(":")
        try:
            up_reader, up_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self.transfer(reader, up_writer, lambda: 0.0),
            self.transfer(up_reader, writer, self.delay),
        )

    async def transfer(self, reader, writer, delay):
        """Pass the data of one direction on."""
        try:
            while data := await reader.read(65536):
                if wait_s := delay():
                    await asyncio.sleep(wait_s)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


def trouble():
    """Return whether the case is run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, play):
    """Run a case and exit with its outcome.

    :param play: coroutine function that takes the record and a temporary
        folder, adds the entries it starts to a list, and returns whether the
        rule held.
    """
    record = Record(Path(folder) / "record.txt")
    entries = []
    outcome = CANT_RUN
    keep = os.environ.get("KEEP_LOGS", "")
    with tempfile.TemporaryDirectory() as name:

        async def run():
            async with asyncio.timeout(CASE_LIMIT_S):
                return await play(record, Path(name), entries)

        try:
            loop = asyncio.new_event_loop()
            held = loop.run_until_complete(run())
            outcome = HELD if held else BROKEN
        except Exception as error:
            record.note("could-not-run", repr(error))
            if keep:
                raise
        finally:
            for entry in entries:
                entry.kill()
                if keep:
                    target = Path(keep) / f"{entry.name}.log"
                    target.write_bytes(entry.log.read_bytes())
    record.note("outcome", outcome)
    print({HELD: "held", BROKEN: "broken", CANT_RUN: "could not run"}[outcome])
    record.file.close()
    sys.stdout.flush()
    # Connections that are still open need no orderly end.
    os._exit(outcome)
