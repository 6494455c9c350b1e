"""Encoding and decoding of messages of the etcd v3 JSON gateway.

Keys and values are base64, 64-bit integers are strings, and fields with a
zero value are omitted from responses.
"""

from base64 import b64decode, b64encode
from typing import Any

from cyclamenscale.errors import (
    CompactedError,
    FieldError,
    StoreUnavailableError,
)
from cyclamenscale.store.port import Compare, Delete, KeyValue, Put, WatchEvent
from cyclamenscale.util.codec import from_json


def decode_body(data: bytes) -> dict:
    """Decode a response body; empty if it is not a JSON object."""
    try:
        body = from_json(data, "store")
    except FieldError:
        return {}
    return body if isinstance(body, dict) else {}


def decode_watch_message(body: dict) -> WatchEvent | None:
    """Decode one message of a watch.

    :returns: an event, or None for the message that confirms the creation of
        the watch: its revision does not mean that the changes up to it were
        delivered.
    :raises CompactedError: if the start revision is too old.
    :raises StoreUnavailableError: if the watch was rejected or cancelled.
    """
    result = body.get("result")
    if not isinstance(result, dict):
        reason = str(body.get("error", "not a message of a watch"))
        raise StoreUnavailableError("watch", reason)
    if int(result.get("compact_revision", 0)):
        raise CompactedError(int(result["compact_revision"]))
    if result.get("canceled"):
        reason = str(result.get("cancel_reason", "cancelled by the store"))
        raise StoreUnavailableError("watch", reason)
    if result.get("created"):
        return None
    changed = [
        decode_key_value(event["kv"]) for event in result.get("events", [])
    ]
    if not changed:
        return WatchEvent(revision_of(result), [])
    # While a watch catches up, the header contains the current revision of
    # the store, not the revision of the last delivered event.
    return WatchEvent(max(kv.mod_revision for kv in changed), changed)


def revision_of(body: dict) -> int:
    """Return the store revision from the header of a response."""
    return int(body.get("header", {}).get("revision", 0))


def encode_base64(data: str | bytes) -> str:
    """Encode a key or value as base64."""
    raw = data.encode() if isinstance(data, str) else data
    return b64encode(raw).decode()


def encode_compare(compare: Compare) -> dict[str, Any]:
    """Encode a comparison of a key's revision."""
    return {
        "key": encode_base64(compare.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(compare.mod_revision),
    }


def encode_write(write: Put | Delete) -> dict[str, Any]:
    """Encode a write of a transaction."""
    if isinstance(write, Delete):
        return {"request_delete_range": {"key": encode_base64(write.key)}}
    put = {
        "key": encode_base64(write.key),
        "value": encode_base64(write.value),
        "lease": str(write.lease),
    }
    return {"request_put": put}


def decode_key_value(item: dict) -> KeyValue:
    """Decode a key and its value; omitted fields are zero."""
    return KeyValue(
        b64decode(item["key"]).decode(),
        b64decode(item.get("value", "")),
        int(item.get("create_revision", 0)),
        int(item.get("mod_revision", 0)),
        int(item.get("lease", 0)),
    )
