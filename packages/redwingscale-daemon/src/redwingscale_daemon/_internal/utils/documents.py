"""Decodes documents that other processes write."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

_Value = TypeVar("_Value")


def decode_json(document: bytes, kind: type[_Value]) -> _Value:
    """Return the value of type ``kind`` in ``document``; raises `msgspec.DecodeError`."""
    return _decode(msgspec.json.decode, document, kind)


def decode_message(message: bytes, kind: type[_Value]) -> _Value:
    """Return the value in a MessagePack ``message``; raises `msgspec.DecodeError`."""
    return _decode(msgspec.msgpack.decode, message, kind)


def _decode(decode: Callable[..., Any], data: bytes, kind: type[_Value]) -> _Value:
    try:
        return decode(data, type=kind)
    except RecursionError as error:
        # Raised also for a field that the type does not have.
        raise msgspec.DecodeError("nested too deeply") from error
