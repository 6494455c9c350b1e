"""A stand-in of the platform's metadata store, as PROTOCOL.md has it."""

import threading
import time
from base64 import b64decode
from bisect import bisect_left, bisect_right, insort
from urllib.parse import parse_qs, urlsplit

from http_server import Reply, Server

#: Interval at which leases are checked.
LEASE_TICK_S = 0.01

#: Items on one page of a range.
PAGE_ITEMS = 500


class Store:
    """Keys with revisions, leases and watches; loses nothing.

    :ivar refused: source addresses of entries that it turns away with 503.
    :ivar down_since_s: since when it is down and answers 503 to all, 0 if it
        is up; leases pause meanwhile.
    """

    def __init__(self):
        """Start with no keys."""
        self.changed = threading.Condition()
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.keys: list[str] = []
        self.history: list[dict] = []
        self.leases: dict[int, list[float]] = {}
        self.next_lease = 1
        self.refused: set[str] = set()
        self.down_since_s = 0.0
        self.server = Server(self.handle)
        threading.Thread(target=self.expire_leases, daemon=True).start()

    @property
    def address(self) -> str:
        """Return its ``host:port``."""
        return self.server.address

    def handle(self, method, target, headers, body, source) -> Reply:
        """Serve one call."""
        if source in self.refused or self.down_since_s:
            return Reply(503, {})
        url = urlsplit(target)
        query = {name: found[0] for name, found in parse_qs(url.query).items()}
        path = url.path
        if path == "/kv-key":
            with self.changed:
                item = self.items.get(query["key"])
            return Reply(200, item) if item else Reply(404, {})
        if path == "/kv-range":
            return self.read_range(query)
        if path == "/kv-watch":
            return self.watch(query)
        if path == "/kv-txn":
            return self.transact(body)
        if path == "/kv-lease":
            return self.grant(body["ttl-ms"])
        lease = int(path.rpartition("/")[2])
        with self.changed:
            if lease not in self.leases:
                return Reply(404, {})
            if path.startswith("/kv-keep/"):
                ttl_s = self.leases[lease][0]
                self.leases[lease][1] = time.monotonic() + ttl_s
            else:
                self.end_lease(lease)
        return Reply(200, {})

    def read_range(self, query: dict) -> Reply:
        """Return a page of the keys below a prefix."""
        prefix, after = query["prefix"], query.get("after", "")
        with self.changed:
            first = max(
                bisect_left(self.keys, prefix), bisect_right(self.keys, after)
            )
            keys = [
                key
                for key in self.keys[first : first + PAGE_ITEMS + 1]
                if key.startswith(prefix)
            ]
            page = [self.items[key] for key in keys[:PAGE_ITEMS]]
            more = len(keys) > PAGE_ITEMS
            as_of = self.revision
        return Reply(200, {"items": page, "has-more": more, "as-of": as_of})

    def watch(self, query: dict) -> Reply:
        """Wait for the events below a prefix."""
        prefix, after = query["prefix"], int(query["after"])
        end_s = time.monotonic() + int(query["wait-ms"]) / 1000
        with self.changed:
            while True:
                events = []
                for event in reversed(self.history):
                    if event["revision"] <= after:
                        break
                    if event["key"].startswith(prefix):
                        events.append(event)
                left_s = end_s - time.monotonic()
                if events or left_s <= 0:
                    found = {"events": events[::-1], "as-of": self.revision}
                    return Reply(200, found)
                self.changed.wait(left_s)

    def transact(self, body: dict) -> Reply:
        """Carry out a transaction."""
        with self.changed:
            rows = body.get("expected-rev", [])
            found = [self.items.get(row["key"]) for row in rows]
            actual = [item["revision"] if item else 0 for item in found]
            if actual != [row["revision"] for row in rows]:
                items = [item for item in found if item]
                return Reply(412, {"items": items})
            puts = body.get("puts", [])
            for put in puts:
                if put.get("lease") and put["lease"] not in self.leases:
                    return Reply(404, {})
            self.apply(puts, body.get("deletes", []))
            return Reply(200, {"revision": self.revision})

    def apply(self, puts: list, deletes: list) -> None:
        """Apply changes under one new revision; the lock is held."""
        self.revision += 1
        for put in puts:
            key = put["key"]
            known = self.items.get(key)
            item = {
                "key": key,
                "value": put["value"],
                "revision": self.revision,
                "created": known["created"] if known else self.revision,
                "lease": put.get("lease", 0),
            }
            if not known:
                insort(self.keys, key)
            self.items[key] = item
            self.history.append(item)
        for key in deletes:
            if self.items.pop(key, None):
                del self.keys[bisect_left(self.keys, key)]
                event = {
                    "key": key,
                    "revision": self.revision,
                    "tombstone": True,
                }
                self.history.append(event)
        self.changed.notify_all()

    def set_down(self, down: bool) -> None:
        """Begin or end an outage, in which leases pause."""
        with self.changed:
            now_s = time.monotonic()
            if not down:
                for lease in self.leases.values():
                    lease[1] += now_s - self.down_since_s
            self.down_since_s = now_s if down else 0.0

    def write(self, key: str, value: str) -> None:
        """Write a key as the operator or a worker does, if it is up."""
        with self.changed:
            if not self.down_since_s:
                self.apply([{"key": key, "value": value}], [])

    def remove(self, key: str) -> None:
        """Remove a key as the platform does."""
        with self.changed:
            if key in self.items:
                self.apply([], [key])

    def value(self, key: str) -> bytes:
        """Return a value, empty if there is none."""
        with self.changed:
            item = self.items.get(key)
        return b64decode(item["value"]) if item else b""

    def grant(self, ttl_ms: int) -> Reply:
        """Grant a lease."""
        with self.changed:
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl_s = ttl_ms / 1000
            self.leases[lease] = [ttl_s, time.monotonic() + ttl_s]
        return Reply(200, {"lease": lease, "ttl-ms": ttl_ms})

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys; the lock is held."""
        del self.leases[lease]
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.apply([], keys)

    def expire_leases(self) -> None:
        """End the leases that are due."""
        while True:
            time.sleep(LEASE_TICK_S)
            now_s = time.monotonic()
            with self.changed:
                for lease, (_, end_s) in list(self.leases.items()):
                    if end_s <= now_s and not self.down_since_s:
                        self.end_lease(lease)
