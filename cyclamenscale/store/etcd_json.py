"""Encoding of the published JSON gateway of etcd v3, the client's side.

Keys and values are base64, 64-bit integers are strings, and fields with a
zero value are left out of answers.
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
    """Decode an answer; empty if it is not a JSON object."""
    try:
        body = from_json(data, "store")
    except FieldError:
        return {}
    return body if isinstance(body, dict) else {}


def decode_watch_message(body: dict) -> WatchEvent | None:
    """Decode one message of a watch.

    :returns: an event, or None for the message that a watch was created:
        its revision says nothing about what was delivered.
    :raises CompactedError: if the start revision is too old.
    :raises StoreUnavailableError: if the watch was refused or cancelled.
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
    # While a watch catches up, the header has the store's revision and not
    # that of the last event delivered.
    return WatchEvent(max(kv.mod_revision for kv in changed), changed)


def revision_of(body: dict) -> int:
    """Return the store's revision in an answer's header."""
    return int(body.get("header", {}).get("revision", 0))


def encode_base64(data: str | bytes) -> str:
    """Encode a key or value."""
    raw = data.encode() if isinstance(data, str) else data
    return b64encode(raw).decode()


def encode_compare(part: Compare) -> dict[str, Any]:
    """Encode a comparison of a key's revision."""
    return {
        "key": encode_base64(part.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(part.mod_revision),
    }


def encode_write(part: Put | Delete) -> dict[str, Any]:
    """Encode a write."""
    if isinstance(part, Delete):
        return {"request_delete_range": {"key": encode_base64(part.key)}}
    put = {
        "key": encode_base64(part.key),
        "value": encode_base64(part.value),
        "lease": str(part.lease),
    }
    return {"request_put": put}


def decode_key_value(item: dict) -> KeyValue:
    """Decode a key; fields with a zero value are left out."""
    return KeyValue(
        b64decode(item["key"]).decode(),
        b64decode(item.get("value", "")),
        int(item.get("create_revision", 0)),
        int(item.get("mod_revision", 0)),
        int(item.get("lease", 0)),
    )
