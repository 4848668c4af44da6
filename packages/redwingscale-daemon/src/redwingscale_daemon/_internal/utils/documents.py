"""Decodes documents that other processes write."""

from collections.abc import Callable
from typing import Annotated, Any, TypeVar

import msgspec

_Value = TypeVar("_Value")
_LEAST_INTEGER, _MOST_INTEGER = -(2**63), 2**63 - 1
# The integers that messages between instances can hold; JSON has no bound.
Integer = Annotated[int, msgspec.Meta(ge=_LEAST_INTEGER, le=_MOST_INTEGER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=_MOST_INTEGER)]
PositiveInteger = Annotated[int, msgspec.Meta(ge=1, le=_MOST_INTEGER)]


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
