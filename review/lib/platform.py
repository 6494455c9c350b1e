"""Stand-ins of the platform's store and machine list, as PROTOCOL.md has them.

The store answers each call after ``ANSWER_S``, as the sheets say.
"""

import asyncio
import base64
import json
from itertools import count
from time import monotonic

from review.lib.http import HttpServer

#: Time that the store takes to answer, from the sheets.
ANSWER_S = 0.004

PAGE_ITEMS = 500
MIN_TTL_MS = 1000


class Store:
    """The platform's store: keys, leases, transactions and watches."""

    def __init__(self):
        """Initialise empty, with a revision above 0."""
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.lease_ids = count(7001)
        self.changed = asyncio.Condition()
        self.server = HttpServer(self.handle)

    async def start(self):
        """Serve, and end leases."""
        await self.server.start()
        self.ticker = asyncio.create_task(self.expire_leases())

    async def expire_leases(self):
        """End the leases that are due."""
        while True:
            await asyncio.sleep(0.01)
            now_s = monotonic()
            for lease, (_, end_s) in list(self.leases.items()):
                if now_s >= end_s:
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        """Remove a lease and its keys."""
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            await self.commit([], keys)

    async def commit(self, puts, deletes):
        """Apply changes under one new revision."""
        self.revision += 1
        for put in puts:
            known = self.items.get(put["key"])
            item = {
                "key": put["key"],
                "value": put["value"],
                "revision": self.revision,
                "created": known["created"] if known else self.revision,
                "lease": put.get("lease", 0),
            }
            self.items[put["key"]] = item
            self.history.append(item)
        for key in deletes:
            if self.items.pop(key, None):
                self.history.append(
                    {"key": key, "revision": self.revision, "tombstone": True}
                )
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def write(self, key, table):
        """Write a key as the operator or an executor does."""
        value = base64.b64encode(json.dumps(table).encode()).decode()
        return await self.commit([{"key": key, "value": value}], [])

    async def remove(self, key):
        """Remove a key as the platform does."""
        await self.commit([], [key])

    def read(self, key):
        """Return the decoded value of a key, None if there is none."""
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    async def handle(self, call):
        """Serve one call."""
        path, query = call.path, call.query
        if path == "/kv-watch":
            return await self.watch(query)
        # The call is carried out on its arrival and answered later.
        if path == "/kv-key":
            item = self.items.get(query["key"])
            found = (200, item) if item else (404, {})
        elif path == "/kv-range":
            found = self.range(query["prefix"], query.get("after", ""))
        elif path == "/kv-txn":
            found = await self.transact(call.body)
        elif path == "/kv-lease":
            ttl_ms = max(int(call.body["ttl-ms"]), MIN_TTL_MS)
            lease = next(self.lease_ids)
            self.leases[lease] = (ttl_ms, monotonic() + ttl_ms / 1000)
            found = (200, {"lease": lease, "ttl-ms": ttl_ms})
        elif path.startswith("/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease in self.leases:
                ttl_ms = self.leases[lease][0]
                self.leases[lease] = (ttl_ms, monotonic() + ttl_ms / 1000)
                found = (200, {"lease": lease, "ttl-ms": ttl_ms})
            else:
                found = (404, {})
        elif path.startswith("/kv-lease-end/"):
            await self.end_lease(int(path.rpartition("/")[2]))
            found = (200, {})
        else:
            found = (404, {})
        await asyncio.sleep(ANSWER_S)
        return found

    def range(self, prefix, after):
        """Return one page of the items below a prefix."""
        keys = sorted(k for k in self.items if k.startswith(prefix))
        keys = [key for key in keys if key > after]
        items = [self.items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        table = {"items": items, "has-more": more, "as-of": self.revision}
        return 200, table

    async def transact(self, body):
        """Apply a transaction if all its comparisons hold."""
        expected = body.get("expected-rev") or []
        puts, deletes = body.get("puts") or [], body.get("deletes") or []
        assert len(expected) + len(puts) + len(deletes) <= 32
        for put in puts:
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [row["key"] for row in expected]
                found = [self.items[key] for key in keys if key in self.items]
                return 412, {"items": found}
        return 200, {"revision": await self.commit(puts, deletes)}

    async def watch(self, query):
        """Return the changes after a revision, or wait for one."""
        prefix, after = query["prefix"], int(query["after"])
        end_s = monotonic() + int(query["wait-ms"]) / 1000
        while True:
            events = []
            for item in reversed(self.history):
                if item["revision"] <= after:
                    break
                if item["key"].startswith(prefix):
                    events.append(item)
            left_s = end_s - monotonic()
            if events or left_s <= 0:
                events.reverse()
                return 200, {"events": events, "as-of": self.revision}
            try:
                async with asyncio.timeout(left_s), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                pass


class Cloud:
    """The platform's machine list; moves and upkeep are refused as busy.

    :param executors: the executors whose machines are listed.
    """

    def __init__(self, executors):
        """Initialise with all machines up."""
        self.executors = executors
        self.server = HttpServer(self.handle)

    async def handle(self, call):
        """Serve one call."""
        await asyncio.sleep(ANSWER_S)
        if call.path == "/machines":
            rows = [executor.machine_row() for executor in self.executors]
            return 200, {"machines": rows, "next-token": None}
        return 409, {"reason": "busy"}
