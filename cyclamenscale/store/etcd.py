"""Store adapter for the published JSON gateway of etcd v3, by pycurl.

Progress reports of watches need a server that sends them at least every
second or two (``--watch-progress-notify-interval`` of etcd): HTTP/1.1 has
no way to ask for one on an open watch.
"""

import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from threading import Lock
from typing import NamedTuple

import pycurl

from cyclamenscale.errors import (
    LeaseLostError,
    StoreAnswerLostError,
    StoreError,
    StoreUnavailableError,
)
from cyclamenscale.metrics import Metrics
from cyclamenscale.settings import Settings
from cyclamenscale.store.etcd_json import (
    decode_body,
    decode_key_value,
    encode_base64,
    encode_compare,
    encode_write,
    revision_of,
)
from cyclamenscale.store.etcd_watch import EtcdWatch, set_common_options
from cyclamenscale.store.port import (
    Compare,
    Delete,
    KeyValue,
    Put,
    RangeResult,
    Store,
    TxnResult,
    adapter,
)
from cyclamenscale.util.keys import prefix_end

# More idle handles than threads that call at once are of no use.
MAX_IDLE_HANDLES = 16
# A connection that was idle for longer is not used again: a middlebox may
# have lost its state.
MAX_CONNECTION_IDLE_S = 5
MAX_RESPONSE_BYTES = 67108864

#: Connection errors that occur before a byte is sent.
NOT_SENT_CODES = (
    pycurl.E_COULDNT_CONNECT,
    pycurl.E_COULDNT_RESOLVE_HOST,
    pycurl.E_COULDNT_RESOLVE_PROXY,
    pycurl.E_FAILED_INIT,
    pycurl.E_URL_MALFORMAT,
)
#: Texts of a 503 that the store sends before a write has an effect. Others,
#: such as "request timed out" and "leader changed", come with the same
#: status and may follow a write that took effect.
REJECTED_503_MESSAGES = ("etcdserver: no leader",)
#: Statuses of the gRPC codes that refuse a request: invalid argument, not
#: found, failed precondition, resource exhausted.
REJECTED_STATUSES = (400, 404, 412, 429)
LEASE_NOT_FOUND = "etcdserver: requested lease not found"


class GatewayResponse(NamedTuple):
    """A complete answer of the gateway."""

    status: int
    body: dict


@adapter("etcd")
class EtcdStore(Store):
    """The store port on an etcd v3 JSON gateway.

    :param settings: the whole settings; ``[store]`` has address, call
        timeout and silence limit.
    :param metrics: counts calls and failures by name, if given.
    """

    def __init__(self, settings: Settings, metrics: Metrics | None = None):
        """Open no connection yet."""
        self.all_settings = settings
        self.settings = settings.store
        self.metrics = metrics
        # Guards calls, idle.
        self.lock = Lock()
        self.calls: Counter[str] = Counter()
        self.idle_handles: list[pycurl.Curl] = []

    def get(self, key: str) -> tuple[int, KeyValue | None]:
        """Read one key."""
        body = self.call(
            "get", "/v3/kv/range", {"key": encode_base64(key)}, False
        )
        found = [decode_key_value(item) for item in body.get("kvs", [])]
        return revision_of(body), found[0] if found else None

    def range(
        self, prefix: str, limit: int = 0, start: str = ""
    ) -> RangeResult:
        """Read all keys under a prefix."""
        request = {
            "key": encode_base64(start or prefix or "\0"),
            "range_end": encode_base64(prefix_end(prefix)),
            "limit": str(limit),
        }
        body = self.call("range", "/v3/kv/range", request, False)
        items = [decode_key_value(item) for item in body.get("kvs", [])]
        return RangeResult(revision_of(body), items, body.get("more", False))

    def txn(
        self,
        compares: list[Compare],
        writes: list[Put | Delete],
    ) -> TxnResult:
        """Make all writes if all comparisons hold, else none."""
        request = {
            "compare": [encode_compare(part) for part in compares],
            "success": [encode_write(part) for part in writes],
            "failure": [
                {"request_range": {"key": encode_base64(part.key)}}
                for part in compares
            ],
        }
        leases = [w.lease for w in writes if isinstance(w, Put) and w.lease]
        lease = leases[0] if leases else 0
        body = self.call("txn", "/v3/kv/txn", request, True, lease)
        if body.get("succeeded", False):
            return TxnResult(True, revision_of(body), {})
        current = {}
        for response in body.get("responses", []):
            for item in response["response_range"].get("kvs", []):
                found = decode_key_value(item)
                current[found.key] = found
        return TxnResult(False, revision_of(body), current)

    def lease_grant(self, ttl_s: int) -> int:
        """Make a lease."""
        body = self.call(
            "lease_grant", "/v3/lease/grant", {"TTL": str(ttl_s)}, True
        )
        return int(body["ID"])

    def lease_keep_alive(self, lease_id: int) -> int:
        """Renew a lease."""
        body = self.call(
            "lease_keep_alive",
            "/v3/lease/keepalive",
            {"ID": str(lease_id)},
            True,
            lease_id,
        )
        left_s = int(body.get("result", {}).get("TTL", 0))
        if left_s <= 0:
            raise LeaseLostError(lease_id)
        return left_s

    def lease_revoke(self, lease_id: int) -> None:
        """End a lease and delete the keys that hang on it."""
        self.call(
            "lease_revoke",
            "/v3/lease/revoke",
            {"ID": str(lease_id)},
            True,
            lease_id,
        )

    def watch(self, prefix: str, from_revision: int) -> EtcdWatch:
        """Watch the keys under a prefix; connects on iteration."""
        self.count_call("watch")
        return EtcdWatch(self.all_settings, prefix, from_revision)

    def call_counts(self) -> dict[str, int]:
        """Return how many calls were made, by name."""
        with self.lock:
            return dict(self.calls)

    def count_call(self, name: str) -> None:
        """Count a call."""
        with self.lock:
            self.calls[name] += 1
        if self.metrics:
            self.metrics.incr(f"store.calls.{name}")

    def call(
        self, name: str, path: str, request: dict, write: bool, lease: int = 0
    ) -> dict:
        """Make one call and count it.

        :param name: name of the call, for counters and errors.
        :param path: path of the gateway.
        :param request: the request as plain values.
        :param write: whether the call may change something.
        :param lease: lease that the call needs.
        :returns: the body of the answer.
        """
        self.count_call(name)
        began_s = time.monotonic()
        try:
            answer = self.send_request(name, path, request, write)
            return self.check_response(name, answer, write, lease)
        except StoreError as error:
            if self.metrics:
                kind = type(error).__name__.removesuffix("Error")
                self.metrics.incr(f"store.failures.{kind}")
            raise
        finally:
            if self.metrics:
                taken_ms = (time.monotonic() - began_s) * 1000
                self.metrics.timing(f"store.call_ms.{name}", taken_ms)

    def send_request(
        self, name: str, path: str, request: dict, write: bool
    ) -> GatewayResponse:
        """Send a request and read the whole answer."""
        data = bytearray()

        def collect(part: bytes) -> int | None:
            if len(data) + len(part) > MAX_RESPONSE_BYTES:
                return -1
            data.extend(part)
            return None

        with self.borrow_handle() as curl:
            set_common_options(curl, self.settings.address, path, request)
            curl.setopt(pycurl.WRITEFUNCTION, collect)
            timeout_ms = int(self.settings.call_timeout_s * 1000)
            curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
            curl.setopt(pycurl.CONNECTTIMEOUT_MS, timeout_ms)
            curl.setopt(pycurl.MAXAGE_CONN, MAX_CONNECTION_IDLE_S)
            # libcurl repeats a request by itself when a connection that was
            # used before closes without an answer. A repeated transaction
            # fails its comparisons although the first one took effect.
            curl.setopt(pycurl.FRESH_CONNECT, int(write))
            curl.setopt(pycurl.FORBID_REUSE, int(write))
            try:
                curl.perform()
            except pycurl.error as error:
                code, reason = error.args[0], error.args[1]
                connected = curl.getinfo(pycurl.CONNECT_TIME) > 0
                if not write or code in NOT_SENT_CODES or not connected:
                    raise StoreUnavailableError(name, reason) from error
                raise StoreAnswerLostError(name, reason) from error
            status = curl.getinfo(pycurl.RESPONSE_CODE)
        return GatewayResponse(status, decode_body(bytes(data)))

    def check_response(
        self, name: str, answer: GatewayResponse, write: bool, lease: int
    ) -> dict:
        """Return the body of a successful answer.

        :raises LeaseLostError: if the lease does not exist.
        """
        if answer.status == 200 and answer.body:
            return answer.body
        message = str(answer.body.get("error", ""))
        reason = f"status {answer.status}, {message or 'no JSON object'}"
        if message == LEASE_NOT_FOUND:
            raise LeaseLostError(lease)
        refused = answer.status in REJECTED_STATUSES or (
            answer.status == 503 and message in REJECTED_503_MESSAGES
        )
        if refused or not write:
            raise StoreUnavailableError(name, reason)
        raise StoreAnswerLostError(name, reason)

    @contextmanager
    def borrow_handle(self) -> Iterator[pycurl.Curl]:
        """Lend a curl handle to one thread for one call."""
        with self.lock:
            curl = self.idle_handles.pop() if self.idle_handles else None
        curl = curl or pycurl.Curl()
        try:
            yield curl
        finally:
            curl.reset()
            with self.lock:
                keep = len(self.idle_handles) < MAX_IDLE_HANDLES
                if keep:
                    self.idle_handles.append(curl)
            if not keep:
                curl.close()
