"""Calls of the published JSON gateway of etcd v3, on a stand-in state.

Requests and answers are plain values: keys and values in base64, 64-bit
integers as strings, fields with a zero value left out, as protobuf's JSON
mapping has it. Only the fields that the project uses are understood.
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

Call = Callable[[StoreState, dict], dict]

#: Calls by path, without watches.
CALLS: dict[str, Call] = {}

#: Paths of calls that may change the state.
WRITES: set[str] = set()

COMPARED_FIELDS = {
    "MOD": "mod_revision",
    "CREATE": "create_revision",
    "VERSION": "version",
    "VALUE": "value",
}
RESULTS = ("EQUAL", "NOT_EQUAL", "GREATER", "LESS")


def call(*paths: str, write: bool = True) -> Callable[[Call], Call]:
    """Register a call under its paths."""

    def register(function: Call) -> Call:
        for path in paths:
            CALLS[path] = function
            if write:
                WRITES.add(path)
        return function

    return register


@call("/v3/kv/range", write=False)
def kv_range(state: StoreState, body: dict) -> dict:
    """Read one key or a range of keys."""
    revision, answer = state.read(range_op(body))
    return {"header": header(revision), **range_fields(answer)}


@call("/v3/kv/put")
def kv_put(state: StoreState, body: dict) -> dict:
    """Write one key."""
    _, revision, _ = state.transact([], [put_op(body)], [])
    return {"header": header(revision)}


@call("/v3/kv/deleterange")
def kv_delete_range(state: StoreState, body: dict) -> dict:
    """Delete one key or a range of keys."""
    _, revision, answers = state.transact([], [delete_op(body)], [])
    return {"header": header(revision), **delete_fields(answers[0])}


@call("/v3/kv/txn")
def kv_txn(state: StoreState, body: dict) -> dict:
    """Run a transaction."""
    succeeded, revision, answers = state.transact(
        [check(part) for part in body.get("compare", [])],
        [request_op(part) for part in body.get("success", [])],
        [request_op(part) for part in body.get("failure", [])],
    )
    answer: dict = {"header": header(revision)}
    if succeeded:
        answer["succeeded"] = True
    if answers:
        answer["responses"] = [response_op(part, revision) for part in answers]
    return answer


@call("/v3/lease/grant")
def lease_grant(state: StoreState, body: dict) -> dict:
    """Make a lease."""
    ttl_s = integer(body, "TTL")
    lease_id = state.grant(ttl_s)
    return {
        "header": header(state.revision),
        "ID": str(lease_id),
        "TTL": str(ttl_s),
    }


@call("/v3/lease/keepalive")
def lease_keep_alive(state: StoreState, body: dict) -> dict:
    """Renew a lease; the answer for one that is gone has no TTL."""
    lease_id = integer(body, "ID")
    ttl_s = state.keep_alive(lease_id)
    result = {"header": header(state.revision), "ID": str(lease_id)}
    if ttl_s:
        result["TTL"] = str(ttl_s)
    return {"result": result}


@call("/v3/lease/revoke", "/v3/kv/lease/revoke")
def lease_revoke(state: StoreState, body: dict) -> dict:
    """End a lease."""
    state.revoke(integer(body, "ID"))
    return {"header": header(state.revision)}


def watch_start(state: StoreState, body: dict) -> tuple[bytes, bytes, int]:
    """Read the request of a watch.

    :returns: key, end of the range, and first revision to deliver.
    """
    request = body.get("create_request")
    if not isinstance(request, dict):
        raise RequestRefusedError("create_request is missing")
    start = integer(request, "start_revision")
    return (
        binary(request, "key"),
        binary(request, "range_end"),
        start or state.revision + 1,
    )


def watch_message(revision: int, events: list[Stored], **fields) -> dict:
    """Make one message of a watch."""
    result: dict = {"header": header(revision), **fields}
    if events:
        result["events"] = [event(stored) for stored in events]
    return {"result": result}


def event(stored: Stored) -> dict:
    """Encode one event of a watch; ``PUT`` is the type left out."""
    if stored.version:
        return {"kv": key_value(stored)}
    kv = {
        "key": text(stored.key),
        "mod_revision": str(stored.mod_revision),
    }
    return {"type": "DELETE", "kv": kv}


def refusal(error: RequestRefusedError) -> dict:
    """Encode an error of the store."""
    return {
        "error": error.message,
        "code": error.code,
        "message": error.message,
    }


def header(revision: int) -> dict:
    """Encode the header of an answer."""
    return {
        "cluster_id": "14841639068965178418",
        "member_id": "10276657743932975437",
        "revision": str(revision),
        "raft_term": "2",
    }


def key_value(stored: Stored) -> dict:
    """Encode a key."""
    fields = {
        "key": text(stored.key),
        "create_revision": str(stored.create_revision),
        "mod_revision": str(stored.mod_revision),
        "version": str(stored.version),
        "value": text(stored.value),
    }
    if not stored.value:
        del fields["value"]
    if stored.lease:
        fields["lease"] = str(stored.lease)
    return fields


def range_fields(answer: RangeResponse) -> dict:
    """Encode the keys of a range."""
    fields: dict = {}
    if answer.items:
        fields["kvs"] = [key_value(item) for item in answer.items]
    if answer.count > len(answer.items):
        fields["more"] = True
    if answer.count:
        fields["count"] = str(answer.count)
    return fields


def delete_fields(deleted: int) -> dict:
    """Encode how many keys were deleted."""
    return {"deleted": str(deleted)} if deleted else {}


def response_op(answer: RangeResponse | int | None, revision: int) -> dict:
    """Encode the answer of one operation of a transaction."""
    if answer is None:
        return {"response_put": {"header": header(revision)}}
    if isinstance(answer, int):
        fields = {"header": header(revision), **delete_fields(answer)}
        return {"response_delete_range": fields}
    fields = {"header": header(revision), **range_fields(answer)}
    return {"response_range": fields}


def request_op(part: dict) -> Op:
    """Decode one operation of a transaction."""
    for name, decode in (
        ("request_put", put_op),
        ("request_delete_range", delete_op),
        ("request_range", range_op),
    ):
        if name in part:
            return decode(part[name])
    raise RequestRefusedError("etcdserver: operation is not supported")


def put_op(body: dict) -> PutOp:
    """Decode a write."""
    return PutOp(
        binary(body, "key"), binary(body, "value"), integer(body, "lease")
    )


def delete_op(body: dict) -> DeleteOp:
    """Decode a deletion."""
    return DeleteOp(binary(body, "key"), binary(body, "range_end"))


def range_op(body: dict) -> RangeOp:
    """Decode a read."""
    return RangeOp(
        binary(body, "key"),
        binary(body, "range_end"),
        integer(body, "limit"),
    )


def check(part: dict) -> Check:
    """Decode a comparison; target and result have defaults."""
    target = part.get("target", "VERSION")
    result = part.get("result", "EQUAL")
    if target not in COMPARED_FIELDS or result not in RESULTS:
        raise RequestRefusedError("etcdserver: comparison is not supported")
    field = COMPARED_FIELDS[target]
    expected = (
        binary(part, field) if target == "VALUE" else integer(part, field)
    )
    return Check(binary(part, "key"), target, result, expected)


def text(data: bytes) -> str:
    """Encode bytes."""
    return b64encode(data).decode()


def binary(body: dict, field: str) -> bytes:
    """Decode a field of bytes; empty if it is missing."""
    try:
        return b64decode(body.get(field, ""), validate=True)
    except (Base64Error, TypeError, ValueError) as error:
        raise RequestRefusedError(f"field {field} is not base64") from error


def integer(body: dict, field: str) -> int:
    """Decode a 64-bit integer, a string or a number; 0 if missing."""
    try:
        return int(body.get(field, 0))
    except (TypeError, ValueError) as error:
        raise RequestRefusedError(f"field {field} is not int64") from error
