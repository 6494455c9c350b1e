"""HTTP client of the platform's key-value store."""

from base64 import b64decode, b64encode
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any
from urllib.parse import quote

from loguru import logger
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
from cyclamenscale.util.http_client import HttpClient, HttpResponse

#: Timeout of a call; a slow store takes about 0.25 s to respond.
CALL_TIMEOUT_MS = 1000

#: Timeout of one page of a range. A page has up to 1 MB, which takes seconds
#: on a narrow link, so that a page fails earlier only if no data arrives.
PAGE_TIMEOUT_MS = 10_000

#: Shortest timeout of a transaction, used while the store responds quickly.
MIN_TXN_TIMEOUT_MS = 250

#: The timeout of a transaction tends to this multiple of response times.
TXN_TIMEOUT_FACTOR = 8

#: Timeout of a lease renewal; it must leave time for a second attempt.
RENEW_TIMEOUT_MS = 600

#: Added to the time that a watch waits, for its timeout.
WATCH_MARGIN_MS = 700

#: Statuses of responses which mean that nothing was changed.
REFUSED_STATUSES = (403, 429, 503)


class AdaptiveTimeout:
    """Adapts the timeout of transactions to recent response times.

    A short timeout detects lost responses early. The timeout doubles after
    each call without a response, so that a store that becomes slow gets
    enough time again.
    """

    def __init__(self):
        """Initialise with the longest timeout."""
        self.timeout_ms = float(CALL_TIMEOUT_MS)

    def record_response(self, took_ms: float) -> None:
        """Record the response time of a call."""
        target_ms = TXN_TIMEOUT_FACTOR * took_ms
        mean_ms = 0.8 * self.timeout_ms + 0.2 * target_ms
        self.set_timeout(mean_ms)

    def record_timeout(self) -> None:
        """Record a call without a response."""
        self.set_timeout(2 * self.timeout_ms)

    def set_timeout(self, timeout_ms: float) -> None:
        """Set the timeout, limited to its bounds."""
        self.timeout_ms = min(
            max(timeout_ms, MIN_TXN_TIMEOUT_MS), CALL_TIMEOUT_MS
        )


def decode_item(row: dict[str, Any]) -> KeyValue:
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


def decode_response(
    call: Future,
    decode: Callable[[HttpResponse], Any],
    name: str,
    writes: bool = False,
) -> Future:
    """Return a future of the decoded response to a call.

    :param decode: decodes a response whose status is not a refusal.
    :param name: name of the call, for errors.
    :param writes: whether a call without a response may have had an effect.
    """
    outcome: Future = Future()

    def settle(done: Future) -> None:
        error = done.exception()
        if error is not None:
            not_sent = isinstance(error, CallNotSentError)
            if not_sent or not writes:
                kind = StoreUnavailableError
            else:
                kind = StoreAnswerLostError
            outcome.set_exception(kind(name, error.reason))
            return
        answer = done.result()
        if answer.status in REFUSED_STATUSES:
            # A refused repeat does not tell what became of the first copy.
            lost = writes and answer.resent
            kind = StoreAnswerLostError if lost else StoreUnavailableError
            outcome.set_exception(kind(name, f"status {answer.status}"))
            return
        try:
            found = decode(answer)
        except (KeyError, TypeError, ValueError, FieldError) as fault:
            text = f"unreadable answer: {fault}"
            outcome.set_exception(StoreAnswerLostError(name, text))
        except CyclamenError as fault:
            outcome.set_exception(fault)
        except Exception as fault:
            # A call that never ends would stop a watch for good.
            logger.exception("response of the store can't be read")
            text = f"unreadable answer: {fault!r}"
            outcome.set_exception(StoreAnswerLostError(name, text))
        else:
            outcome.set_result(found)

    call.add_done_callback(settle)
    return outcome


class KvStore(StoreCalls):
    """Client of the store.

    :param settings: ``[store] address`` is used.
    :param client: the HTTP client.
    """

    def __init__(self, settings: Settings, client: HttpClient):
        """Initialise with the address of the store."""
        self.base = f"http://{settings.store.address}"
        self.client = client
        self.txn_timeout = AdaptiveTimeout()

    def get(self, path: str, timeout_ms: int = CALL_TIMEOUT_MS) -> Future:
        """Send a GET request."""
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
        """Send a request that writes."""
        data = json.encode(body) if body is not None else b""
        return self.client.request(
            method, self.base + path, data, timeout_ms=timeout_ms
        )

    def read(self, key: str) -> Future:
        """Read one key."""

        def decode(answer: HttpResponse) -> KeyValue | None:
            if answer.status == 404:
                return None
            return decode_item(from_json(answer.body, key))

        return decode_response(
            self.get(f"/kv-key?key={quote(key)}"), decode, "read"
        )

    def read_range(self, prefix: str) -> Future:
        """Read all pages under a prefix."""
        outcome: Future = Future()
        items: list[KeyValue] = []
        revisions: list[int] = []

        def request_page(after: str) -> None:
            path = f"/kv-range?prefix={quote(prefix)}"
            if after:
                path += f"&after={quote(after)}"
            page = self.client.request(
                "GET",
                self.base + path,
                timeout_ms=PAGE_TIMEOUT_MS,
                detect_stall=True,
            )
            decode_response(page, decode, "range").add_done_callback(
                handle_page
            )

        def decode(answer: HttpResponse) -> dict:
            table = from_json(answer.body, prefix)
            table["items"] = [decode_item(row) for row in table["items"]]
            return table

        def handle_page(done: Future) -> None:
            if done.exception():
                outcome.set_exception(done.exception())
                return
            table = done.result()
            # The pages are not a snapshot. Changes after the first page are
            # delivered by a watch that starts at the first page's revision.
            revisions.append(table["as-of"])
            items.extend(table["items"])
            if table.get("has-more") and table["items"]:
                request_page(table["items"][-1].key)
            else:
                outcome.set_result(RangeResult(revisions[0], items))

        request_page("")
        return outcome

    def watch(self, prefix: str, after: int, wait_ms: int) -> Future:
        """Wait for changes under a prefix after a revision."""

        def decode(answer: HttpResponse) -> WatchEvent:
            if answer.status == 410:
                raise CompactedError(after)
            table = from_json(answer.body, prefix)
            changed = [decode_item(row) for row in table.get("events") or ()]
            return WatchEvent(table["as-of"], changed)

        path = f"/kv-watch?prefix={quote(prefix)}&after={after}"
        call = self.get(f"{path}&wait-ms={wait_ms}", wait_ms + WATCH_MARGIN_MS)
        return decode_response(call, decode, "watch")

    def txn(self, compares: list[Compare], writes: list[Put | Delete]):
        """Execute all writes if all comparisons succeed."""
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

        def decode(answer: HttpResponse) -> TxnResult:
            if answer.status == 404:
                raise LeaseLostError(0)
            table = from_json(answer.body, "txn")
            if answer.status == 412:
                rows = [row for row in table["items"] if "created" in row]
                found = [decode_item(row) for row in rows]
                current = {kv.key: kv for kv in found if kv.create_revision}
                return TxnResult(False, 0, current)
            return TxnResult(True, table["revision"], {})

        sent_s = self.client.loop.clock()
        call = self.post("/kv-txn", body, int(self.txn_timeout.timeout_ms))
        call.add_done_callback(
            lambda done: self.update_txn_timeout(done, sent_s)
        )
        return decode_response(call, decode, "txn", writes=True)

    def update_txn_timeout(self, done: Future, sent_s: float) -> None:
        """Adapt the timeout of transactions to the outcome of one."""
        if done.exception():
            self.txn_timeout.record_timeout()
        else:
            took_s = self.client.loop.clock() - sent_s
            self.txn_timeout.record_response(took_s * 1000)

    def grant_lease(self, ttl_ms: int) -> Future:
        """Grant a lease."""

        def decode(answer: HttpResponse) -> int:
            return from_json(answer.body, "lease")["lease"]

        call = self.post("/kv-lease", {"ttl-ms": ttl_ms})
        return decode_response(call, decode, "lease", writes=True)

    def renew_lease(self, lease: int) -> Future:
        """Renew a lease."""
        call = self.post(f"/kv-keep/{lease}", timeout_ms=RENEW_TIMEOUT_MS)
        return decode_response(
            call, lambda answer: answer.status == 200, "keep", writes=True
        )

    def revoke_lease(self, lease: int) -> Future:
        """Revoke a lease."""
        call = self.post(f"/kv-lease-end/{lease}", method="DELETE")
        return decode_response(
            call, lambda answer: None, "lease-end", writes=True
        )
