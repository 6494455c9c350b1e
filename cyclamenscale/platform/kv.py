"""The platform's key-value store over HTTP."""

from base64 import b64decode, b64encode
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any
from urllib.parse import quote

from msgspec import json

from cyclamenscale.errors import (
    CallNotSentError,
    CompactedError,
    CyclamenError,
    FieldError,
    LeaseLostError,
    StoreAnswerLostError,
    StoreUnavailableError,
)
from cyclamenscale.jobs.ports import StoreCalls
from cyclamenscale.settings import Settings
from cyclamenscale.store.port import (
    Compare,
    Delete,
    KeyValue,
    Put,
    RangeResult,
    TxnResult,
    WatchEvent,
)
from cyclamenscale.util.codec import from_json
from cyclamenscale.util.http_client import Answer, HttpClient

#: Time for one call; a slow store takes about 0.25 s.
CALL_TIMEOUT_MS = 1000

#: Least time for a transaction while the store answers quickly.
TXN_TIMEOUT_LEAST_MS = 250

#: A transaction may take this many times as long as those before it.
PATIENCE_FACTOR = 8

#: Time for a renewal, which has to leave time for another.
RENEW_TIMEOUT_MS = 600

#: Added to a watch's own time.
WATCH_MARGIN_MS = 700

#: Answers that say that nothing was done.
REFUSALS = (403, 429, 503)


class Patience:
    """How long to wait for a transaction, by the answers before it.

    An answer that is lost is noticed the sooner; a store that turns slow
    gets twice the time after each call that it did not answer.
    """

    def __init__(self):
        """Start with the full time."""
        self.timeout_ms = float(CALL_TIMEOUT_MS)

    def note_answer(self, took_ms: float) -> None:
        """Note a call that was answered."""
        wanted_ms = PATIENCE_FACTOR * took_ms
        mean_ms = 0.8 * self.timeout_ms + 0.2 * wanted_ms
        self.set(mean_ms)

    def note_silence(self) -> None:
        """Note a call without an answer."""
        self.set(2 * self.timeout_ms)

    def set(self, timeout_ms: float) -> None:
        """Set the time within its bounds."""
        self.timeout_ms = min(
            max(timeout_ms, TXN_TIMEOUT_LEAST_MS), CALL_TIMEOUT_MS
        )


def item(row: dict[str, Any]) -> KeyValue:
    """Decode an item or a tombstone."""
    if row.get("tombstone"):
        return KeyValue(row["key"], b"", 0, row["revision"])
    return KeyValue(
        row["key"],
        b64decode(row.get("value", "")),
        row["created"],
        row["revision"],
        row.get("lease", 0),
    )


def then(
    call: Future,
    decode: Callable[[Answer], Any],
    name: str,
    writes: bool = False,
) -> Future:
    """Return a future with the decoded answer of a call.

    :param decode: gets an answer that is no refusal.
    :param name: name of the call, for errors.
    :param writes: whether a call without an answer may have had an effect.
    """
    outcome: Future = Future()

    def settle(done: Future) -> None:
        error = done.exception()
        if error is not None:
            certain = isinstance(error, CallNotSentError)
            if certain or not writes:
                kind = StoreUnavailableError
            else:
                kind = StoreAnswerLostError
            outcome.set_exception(kind(name, error.reason))
            return
        answer = done.result()
        if answer.status in REFUSALS:
            outcome.set_exception(
                StoreUnavailableError(name, f"status {answer.status}")
            )
            return
        try:
            found = decode(answer)
        except (KeyError, TypeError, ValueError, FieldError) as fault:
            text = f"unreadable answer: {fault}"
            outcome.set_exception(StoreAnswerLostError(name, text))
        except CyclamenError as fault:
            outcome.set_exception(fault)
        else:
            outcome.set_result(found)

    call.add_done_callback(settle)
    return outcome


class KvStore(StoreCalls):
    """Calls the store.

    :param settings: ``[store] address``.
    :param client: makes the calls.
    """

    def __init__(self, settings: Settings, client: HttpClient):
        """Keep the address."""
        self.base = f"http://{settings.store.address}"
        self.client = client
        self.patience = Patience()

    def get(self, path: str, timeout_ms: int = CALL_TIMEOUT_MS) -> Future:
        """Make a reading call."""
        return self.client.request(
            "GET", self.base + path, timeout_ms=timeout_ms
        )

    def post(
        self,
        path: str,
        body: Any = None,
        timeout_ms: int = CALL_TIMEOUT_MS,
        method: str = "POST",
    ) -> Future:
        """Make a writing call."""
        data = json.encode(body) if body is not None else b""
        return self.client.request(
            method, self.base + path, data, timeout_ms=timeout_ms
        )

    def read(self, key: str) -> Future:
        """Read one key."""

        def decode(answer: Answer) -> KeyValue | None:
            if answer.status == 404:
                return None
            return item(from_json(answer.body, key))

        return then(self.get(f"/kv-key?key={quote(key)}"), decode, "read")

    def read_range(self, prefix: str) -> Future:
        """Read all pages under a prefix."""
        outcome: Future = Future()
        items: list[KeyValue] = []
        first: list[int] = []

        def page(after: str) -> None:
            path = f"/kv-range?prefix={quote(prefix)}"
            if after:
                path += f"&after={quote(after)}"
            then(self.get(path), decode, "range").add_done_callback(take)

        def decode(answer: Answer) -> dict:
            table = from_json(answer.body, prefix)
            table["items"] = [item(row) for row in table["items"]]
            return table

        def take(done: Future) -> None:
            if done.exception():
                outcome.set_exception(done.exception())
                return
            table = done.result()
            # Pages are no snapshot: what changed after the first page is
            # delivered by a watch from its revision.
            first.append(table["as-of"])
            items.extend(table["items"])
            if table.get("has-more") and table["items"]:
                page(table["items"][-1].key)
            else:
                outcome.set_result(RangeResult(first[0], items))

        page("")
        return outcome

    def watch(self, prefix: str, after: int, wait_ms: int) -> Future:
        """Wait for changes under a prefix."""

        def decode(answer: Answer) -> WatchEvent:
            if answer.status == 410:
                raise CompactedError(after)
            table = from_json(answer.body, prefix)
            changed = [item(row) for row in table.get("events") or ()]
            return WatchEvent(table["as-of"], changed)

        path = f"/kv-watch?prefix={quote(prefix)}&after={after}"
        call = self.get(f"{path}&wait-ms={wait_ms}", wait_ms + WATCH_MARGIN_MS)
        return then(call, decode, "watch")

    def txn(self, compares: list[Compare], writes: list[Put | Delete]):
        """Make all writes if all comparisons hold."""
        body = {
            "expected-rev": [
                {"key": compare.key, "revision": compare.mod_revision}
                for compare in compares
            ],
            "puts": [
                {
                    "key": write.key,
                    "value": b64encode(write.value).decode(),
                    "lease": write.lease,
                }
                for write in writes
                if isinstance(write, Put)
            ],
            "deletes": [
                write.key for write in writes if isinstance(write, Delete)
            ],
        }
        for put in body["puts"]:
            if not put["lease"]:
                del put["lease"]

        def decode(answer: Answer) -> TxnResult:
            if answer.status == 404:
                raise LeaseLostError(0)
            table = from_json(answer.body, "txn")
            if answer.status == 412:
                rows = [row for row in table["items"] if "created" in row]
                found = [item(row) for row in rows]
                current = {kv.key: kv for kv in found if kv.create_revision}
                return TxnResult(False, 0, current)
            return TxnResult(True, table["revision"], {})

        sent_s = self.client.loop.clock()
        call = self.post("/kv-txn", body, int(self.patience.timeout_ms))
        call.add_done_callback(lambda done: self.learn(done, sent_s))
        return then(call, decode, "txn", writes=True)

    def learn(self, done: Future, sent_s: float) -> None:
        """Learn from a transaction how long the next one may take."""
        if done.exception():
            self.patience.note_silence()
        else:
            took_s = self.client.loop.clock() - sent_s
            self.patience.note_answer(took_s * 1000)

    def grant_lease(self, ttl_ms: int) -> Future:
        """Make a lease."""

        def decode(answer: Answer) -> int:
            return from_json(answer.body, "lease")["lease"]

        call = self.post("/kv-lease", {"ttl-ms": ttl_ms})
        return then(call, decode, "lease", writes=True)

    def renew_lease(self, lease: int) -> Future:
        """Renew a lease."""
        call = self.post(f"/kv-keep/{lease}", timeout_ms=RENEW_TIMEOUT_MS)
        return then(
            call, lambda answer: answer.status == 200, "keep", writes=True
        )

    def revoke_lease(self, lease: int) -> Future:
        """End a lease."""
        call = self.post(f"/kv-lease-end/{lease}", method="DELETE")
        return then(call, lambda answer: None, "lease-end", writes=True)
