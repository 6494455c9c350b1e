"""Store adapter for the JSON gateway of etcd v3, using pycurl.

The server must send progress notifications on watches at least every second
or two (``--watch-progress-notify-interval`` of etcd): with HTTP/1.1 a client
cannot request one on an open watch.
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

#: Maximum number of idle curl handles that are kept for reuse. More handles
#: than threads that call at once are of no use.
MAX_IDLE_HANDLES = 16
#: Idle time after which a connection is not reused: a middlebox may have
#: dropped its state.
MAX_CONNECTION_IDLE_S = 5
#: Maximum size of a response body.
MAX_RESPONSE_BYTES = 67108864

#: libcurl errors that occur before any byte of the request is sent.
NOT_SENT_CODES = (
    pycurl.E_COULDNT_CONNECT,
    pycurl.E_COULDNT_RESOLVE_HOST,
    pycurl.E_COULDNT_RESOLVE_PROXY,
    pycurl.E_FAILED_INIT,
    pycurl.E_URL_MALFORMAT,
)
#: Messages of a 503 that mean that a write had no effect. Others, such as
#: "request timed out" and "leader changed", come with the same status and may
#: follow a write that took effect.
REJECTED_503_MESSAGES = ("etcdserver: no leader",)
#: HTTP statuses of the gRPC codes that reject a request without effect:
#: invalid argument, not found, failed precondition, resource exhausted.
REJECTED_STATUSES = (400, 404, 412, 429)
#: Message of the store for a lease that expired or was revoked.
LEASE_NOT_FOUND = "etcdserver: requested lease not found"


class GatewayResponse(NamedTuple):
    """A complete response of the gateway.

    :ivar status: HTTP status.
    :ivar body: decoded body, empty if it is not a JSON object.
    """

    status: int
    body: dict


@adapter("etcd")
class EtcdStore(Store):
    """Store on the JSON gateway of etcd v3.

    :param settings: ``[store]`` gives the address, the call timeout and the
        silence limit of watches.
    :param metrics: counters and timings ``store.*`` of calls and failures,
        if given.
    """

    def __init__(self, settings: Settings, metrics: Metrics | None = None):
        """Initialise with no open connection."""
        self.all_settings = settings
        self.settings = settings.store
        self.metrics = metrics
        # Guards calls, idle_handles.
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
        """Apply all writes if all comparisons hold, else none."""
        request = {
            "compare": [encode_compare(each) for each in compares],
            "success": [encode_write(each) for each in writes],
            "failure": [
                {"request_range": {"key": encode_base64(each.key)}}
                for each in compares
            ],
        }
        leases = [
            write.lease
            for write in writes
            if isinstance(write, Put) and write.lease
        ]
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
        """Grant a lease."""
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
        remaining_s = int(body.get("result", {}).get("TTL", 0))
        if remaining_s <= 0:
            raise LeaseLostError(lease_id)
        return remaining_s

    def lease_revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete the keys attached to it."""
        self.call(
            "lease_revoke",
            "/v3/lease/revoke",
            {"ID": str(lease_id)},
            True,
            lease_id,
        )

    def watch(self, prefix: str, from_revision: int) -> EtcdWatch:
        """Watch the keys under a prefix; iteration opens the connection."""
        self.count_call("watch")
        return EtcdWatch(self.all_settings, prefix, from_revision)

    def call_counts(self) -> dict[str, int]:
        """Return the number of calls by name."""
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
        """Make one call and record its metrics.

        :param name: name of the call, for metrics and errors.
        :param path: path at the gateway.
        :param request: the request as plain data.
        :param write: whether the call may modify the store.
        :param lease: id of the lease that the call depends on, 0 for none.
        :returns: the body of the response.
        :raises StoreUnavailableError: if the call had no effect.
        :raises StoreAnswerLostError: if the call may have taken effect.
        :raises LeaseLostError: if the lease does not exist.
        """
        self.count_call(name)
        started_s = time.monotonic()
        try:
            response = self.send_request(name, path, request, write)
            return self.check_response(name, response, write, lease)
        except StoreError as error:
            if self.metrics:
                kind = type(error).__name__.removesuffix("Error")
                self.metrics.incr(f"store.failures.{kind}")
            raise
        finally:
            if self.metrics:
                elapsed_ms = (time.monotonic() - started_s) * 1000
                self.metrics.timing(f"store.call_ms.{name}", elapsed_ms)

    def send_request(
        self, name: str, path: str, request: dict, write: bool
    ) -> GatewayResponse:
        """Send a request and read the complete response.

        :raises StoreUnavailableError: if the call had no effect.
        :raises StoreAnswerLostError: if a write may have taken effect.
        """
        data = bytearray()

        def collect(chunk: bytes) -> int | None:
            if len(data) + len(chunk) > MAX_RESPONSE_BYTES:
                return -1
            data.extend(chunk)
            return None

        with self.borrow_handle() as curl:
            set_common_options(curl, self.settings.address, path, request)
            curl.setopt(pycurl.WRITEFUNCTION, collect)
            timeout_ms = int(self.settings.call_timeout_s * 1000)
            curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
            curl.setopt(pycurl.CONNECTTIMEOUT_MS, timeout_ms)
            curl.setopt(pycurl.MAXAGE_CONN, MAX_CONNECTION_IDLE_S)
            # libcurl repeats a request by itself when a reused connection
            # closes without a response. A repeated transaction would fail its
            # comparisons although the first one took effect, so writes do
            # not reuse connections.
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
        self, name: str, response: GatewayResponse, write: bool, lease: int
    ) -> dict:
        """Return the body of a successful response.

        :raises StoreUnavailableError: if the call had no effect.
        :raises StoreAnswerLostError: if a write may have taken effect.
        :raises LeaseLostError: if the lease does not exist.
        """
        if response.status == 200 and response.body:
            return response.body
        message = str(response.body.get("error", ""))
        reason = f"status {response.status}, {message or 'no JSON object'}"
        if message == LEASE_NOT_FOUND:
            raise LeaseLostError(lease)
        rejected = response.status in REJECTED_STATUSES or (
            response.status == 503 and message in REJECTED_503_MESSAGES
        )
        if rejected or not write:
            raise StoreUnavailableError(name, reason)
        raise StoreAnswerLostError(name, reason)

    @contextmanager
    def borrow_handle(self) -> Iterator[pycurl.Curl]:
        """Provide a curl handle for one call, an idle one if possible."""
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
