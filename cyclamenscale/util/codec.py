"""Serialization of records.

Records are named tuples. The store holds them as JSON arrays and peers
exchange them as msgpack arrays; both are decoded by type. Responses to
operators and programs contain them as JSON objects.
"""

from typing import Any, TypeVar

from msgspec import DecodeError, json, msgpack

from cyclamenscale.errors import FieldError, FrameError

T = TypeVar("T")

#: Errors of msgspec's decoders; data that is nested too deeply exceeds the
#: interpreter's recursion limit.
DECODE_ERRORS = (DecodeError, RecursionError)


def encode_record(record: Any) -> bytes:
    """Encode a record as a JSON array for the store."""
    return json.encode(record)


def decode_record(data: bytes, record_type: type[T], key: str) -> T:
    """Decode a record from the store.

    :param data: JSON array.
    :param record_type: type of the record.
    :param key: store key, for the error message.
    :raises FieldError: if the data is not a record of that type.
    """
    try:
        return json.decode(data, type=record_type)
    except DECODE_ERRORS as error:
        raise FieldError(
            key, data[:80], f"a {record_type.__name__}"
        ) from error


def to_plain(value: Any) -> Any:
    """Convert named tuples to dictionaries, recursively."""
    if hasattr(value, "_asdict"):
        return {name: to_plain(part) for name, part in value._asdict().items()}
    if isinstance(value, dict):
        return {name: to_plain(part) for name, part in value.items()}
    if isinstance(value, list | tuple):
        return [to_plain(part) for part in value]
    return value


def to_json(value: Any) -> bytes:
    """Encode a value as JSON, with records as objects."""
    return json.encode(to_plain(value))


def from_json(data: bytes, source: str) -> Any:
    """Decode JSON of any shape.

    :param data: JSON text.
    :param source: name of its source, for the error message.
    :raises FieldError: if the text is not JSON.
    """
    try:
        return json.decode(data)
    except DECODE_ERRORS as error:
        raise FieldError(source, data[:80], "JSON") from error


def pack(value: Any) -> bytes:
    """Encode a value as msgpack for a peer."""
    return msgpack.encode(value)


def unpack(data: bytes, value_type: type[T]) -> T:
    """Decode a msgpack value from a peer.

    :raises FrameError: if the data is not of the expected type.
    """
    try:
        return msgpack.decode(data, type=value_type)
    except DECODE_ERRORS as error:
        raise FrameError("garbage") from error
