"""Encoding of records.

Records are named tuples. In the store they are JSON arrays, on peer links
msgpack arrays, both decoded by type; in answers to people and programs they
are JSON objects.
"""

from typing import Any, TypeVar

from msgspec import DecodeError, ValidationError, json, msgpack

from cyclamenscale.errors import FieldError, FrameError

T = TypeVar("T")


def encode_record(record: Any) -> bytes:
    """Encode a record for the store."""
    return json.encode(record)


def decode_record(data: bytes, kind: type[T], where: str) -> T:
    """Decode a record from the store.

    :param data: JSON array.
    :param kind: the record's type.
    :param where: store key, for the error.
    :raises FieldError: if the data are not a record of that type.
    """
    try:
        return json.decode(data, type=kind)
    except (DecodeError, ValidationError) as error:
        raise FieldError(where, data[:80], f"a {kind.__name__}") from error


def to_plain(value: Any) -> Any:
    """Turn named tuples, nested ones too, into dictionaries."""
    if hasattr(value, "_asdict"):
        return {name: to_plain(part) for name, part in value._asdict().items()}
    if isinstance(value, dict):
        return {name: to_plain(part) for name, part in value.items()}
    if isinstance(value, list | tuple):
        return [to_plain(part) for part in value]
    return value


def to_json(value: Any) -> bytes:
    """Encode a value for people and programs, records as objects."""
    return json.encode(to_plain(value))


def from_json(data: bytes, where: str) -> Any:
    """Decode JSON of any shape.

    :param data: the text.
    :param where: name of its source, for the error.
    :raises FieldError: if it is not JSON.
    """
    try:
        return json.decode(data)
    except DecodeError as error:
        raise FieldError(where, data[:80], "JSON") from error


def pack(value: Any) -> bytes:
    """Encode a value for a peer."""
    return msgpack.encode(value)


def unpack(data: bytes, kind: type[T]) -> T:
    """Decode a value from a peer.

    :raises FrameError: if the data are not of that type.
    """
    try:
        return msgpack.decode(data, type=kind)
    except (DecodeError, ValidationError) as error:
        raise FrameError("garbage") from error
