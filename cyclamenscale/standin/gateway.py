"""Calls of etcd's v3 JSON gateway on the state of the stand-in store.

Requests and responses follow protobuf's JSON mapping: keys and values are in
base64, 64-bit integers are strings, and fields with a zero value are omitted.
Only the fields that the project uses are supported.
"""

from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from collections.abc import Callable

from cyclamenscale.standin.state import (
    Check,
    DeleteOp,
    Op,
    PutOp,
    RangeOp,
    RangeResponse,
    RequestRefusedError,
    Stored,
    StoreState,
)

Handler = Callable[[StoreState, dict], dict]

#: Handlers by path, except for watches.
HANDLERS: dict[str, Handler] = {}

#: Paths of calls that may modify the state.
WRITE_PATHS: set[str] = set()

COMPARED_FIELDS = {
    "MOD": "mod_revision",
    "CREATE": "create_revision",
    "VERSION": "version",
    "VALUE": "value",
}
COMPARISON_RESULTS = ("EQUAL", "NOT_EQUAL", "GREATER", "LESS")


def route(*paths: str, write: bool = True) -> Callable[[Handler], Handler]:
    """Register a handler for the given paths."""

    def register(function: Handler) -> Handler:
        for path in paths:
            HANDLERS[path] = function
            if write:
                WRITE_PATHS.add(path)
        return function

    return register


@route("/v3/kv/range", write=False)
def kv_range(state: StoreState, body: dict) -> dict:
    """Read one key or a range of keys."""
    revision, response = state.read(decode_range(body))
    return {"header": encode_header(revision), **encode_range_fields(response)}


@route("/v3/kv/put")
def kv_put(state: StoreState, body: dict) -> dict:
    """Write one key."""
    _, revision, _ = state.transact([], [decode_put(body)], [])
    return {"header": encode_header(revision)}


@route("/v3/kv/deleterange")
def kv_delete_range(state: StoreState, body: dict) -> dict:
    """Delete one key or a range of keys."""
    _, revision, responses = state.transact([], [decode_delete(body)], [])
    return {
        "header": encode_header(revision),
        **encode_delete_fields(responses[0]),
    }


@route("/v3/kv/txn")
def kv_txn(state: StoreState, body: dict) -> dict:
    """Execute a transaction."""
    succeeded, revision, responses = state.transact(
        [decode_check(part) for part in body.get("compare", [])],
        [decode_request_op(part) for part in body.get("success", [])],
        [decode_request_op(part) for part in body.get("failure", [])],
    )
    response: dict = {"header": encode_header(revision)}
    if succeeded:
        response["succeeded"] = True
    if responses:
        response["responses"] = [
            encode_response_op(part, revision) for part in responses
        ]
    return response


@route("/v3/lease/grant")
def lease_grant(state: StoreState, body: dict) -> dict:
    """Grant a lease."""
    ttl_s = decode_integer(body, "TTL")
    lease_id = state.grant(ttl_s)
    return {
        "header": encode_header(state.revision),
        "ID": str(lease_id),
        "TTL": str(ttl_s),
    }


@route("/v3/lease/keepalive")
def lease_keep_alive(state: StoreState, body: dict) -> dict:
    """Renew a lease; the response has no TTL if it does not exist."""
    lease_id = decode_integer(body, "ID")
    ttl_s = state.keep_alive(lease_id)
    result = {"header": encode_header(state.revision), "ID": str(lease_id)}
    if ttl_s:
        result["TTL"] = str(ttl_s)
    return {"result": result}


@route("/v3/lease/revoke", "/v3/kv/lease/revoke")
def lease_revoke(state: StoreState, body: dict) -> dict:
    """Revoke a lease."""
    state.revoke(decode_integer(body, "ID"))
    return {"header": encode_header(state.revision)}


def decode_watch_request(
    state: StoreState, body: dict
) -> tuple[bytes, bytes, int]:
    """Decode the request of a watch.

    :returns: key, end of the range, and first revision to deliver.
    """
    request = body.get("create_request")
    if not isinstance(request, dict):
        raise RequestRefusedError("create_request is missing")
    start = decode_integer(request, "start_revision")
    return (
        decode_bytes(request, "key"),
        decode_bytes(request, "range_end"),
        start or state.revision + 1,
    )


def encode_watch_message(
    revision: int, events: list[Stored], **fields
) -> dict:
    """Encode one message of a watch."""
    result: dict = {"header": encode_header(revision), **fields}
    if events:
        result["events"] = [encode_event(stored) for stored in events]
    return {"result": result}


def encode_event(stored: Stored) -> dict:
    """Encode one event of a watch; the default type ``PUT`` is omitted."""
    if stored.version:
        return {"kv": encode_key_value(stored)}
    kv = {
        "key": encode_bytes(stored.key),
        "mod_revision": str(stored.mod_revision),
    }
    return {"type": "DELETE", "kv": kv}


def encode_error(error: RequestRefusedError) -> dict:
    """Encode an error response."""
    return {
        "error": error.message,
        "code": error.code,
        "message": error.message,
    }


def encode_header(revision: int) -> dict:
    """Encode the header of a response."""
    return {
        "cluster_id": "14841639068965178418",
        "member_id": "10276657743932975437",
        "revision": str(revision),
        "raft_term": "2",
    }


def encode_key_value(stored: Stored) -> dict:
    """Encode a key."""
    fields = {
        "key": encode_bytes(stored.key),
        "create_revision": str(stored.create_revision),
        "mod_revision": str(stored.mod_revision),
        "version": str(stored.version),
        "value": encode_bytes(stored.value),
    }
    if not stored.value:
        del fields["value"]
    if stored.lease:
        fields["lease"] = str(stored.lease)
    return fields


def encode_range_fields(response: RangeResponse) -> dict:
    """Encode the keys of a range."""
    fields: dict = {}
    if response.items:
        fields["kvs"] = [encode_key_value(item) for item in response.items]
    if response.count > len(response.items):
        fields["more"] = True
    if response.count:
        fields["count"] = str(response.count)
    return fields


def encode_delete_fields(deleted: int) -> dict:
    """Encode the number of deleted keys."""
    return {"deleted": str(deleted)} if deleted else {}


def encode_response_op(
    response: RangeResponse | int | None, revision: int
) -> dict:
    """Encode the response to one operation of a transaction."""
    if response is None:
        return {"response_put": {"header": encode_header(revision)}}
    if isinstance(response, int):
        fields = {
            "header": encode_header(revision),
            **encode_delete_fields(response),
        }
        return {"response_delete_range": fields}
    fields = {
        "header": encode_header(revision),
        **encode_range_fields(response),
    }
    return {"response_range": fields}


def decode_request_op(part: dict) -> Op:
    """Decode one operation of a transaction."""
    for name, decode in (
        ("request_put", decode_put),
        ("request_delete_range", decode_delete),
        ("request_range", decode_range),
    ):
        if name in part:
            return decode(part[name])
    raise RequestRefusedError("etcdserver: operation is not supported")


def decode_put(body: dict) -> PutOp:
    """Decode a put operation."""
    return PutOp(
        decode_bytes(body, "key"),
        decode_bytes(body, "value"),
        decode_integer(body, "lease"),
    )


def decode_delete(body: dict) -> DeleteOp:
    """Decode a delete operation."""
    return DeleteOp(decode_bytes(body, "key"), decode_bytes(body, "range_end"))


def decode_range(body: dict) -> RangeOp:
    """Decode a range operation."""
    return RangeOp(
        decode_bytes(body, "key"),
        decode_bytes(body, "range_end"),
        decode_integer(body, "limit"),
    )


def decode_check(part: dict) -> Check:
    """Decode a comparison; target and result have default values."""
    target = part.get("target", "VERSION")
    result = part.get("result", "EQUAL")
    if target not in COMPARED_FIELDS or result not in COMPARISON_RESULTS:
        raise RequestRefusedError("etcdserver: comparison is not supported")
    field = COMPARED_FIELDS[target]
    expected = (
        decode_bytes(part, field)
        if target == "VALUE"
        else decode_integer(part, field)
    )
    return Check(decode_bytes(part, "key"), target, result, expected)


def encode_bytes(data: bytes) -> str:
    """Encode bytes in base64."""
    return b64encode(data).decode()


def decode_bytes(body: dict, field: str) -> bytes:
    """Decode a base64 field; empty if it is missing."""
    try:
        return b64decode(body.get(field, ""), validate=True)
    except (Base64Error, TypeError, ValueError) as error:
        raise RequestRefusedError(f"field {field} is not base64") from error


def decode_integer(body: dict, field: str) -> int:
    """Decode a 64-bit integer from a string or number; 0 if missing."""
    try:
        return int(body.get(field, 0))
    except (TypeError, ValueError) as error:
        raise RequestRefusedError(f"field {field} is not int64") from error
