"""Frames between instances: MessagePack, authenticated by a shared key."""

import hashlib
import hmac
from typing import NamedTuple

import msgspec
from redwingscale_common.exceptions import RedwingscaleError

from redwingscale_daemon._internal.membership.entry import Entry

MAC_BYTES = 16


class FrameRejected(RedwingscaleError):
    """A frame from a stranger, or one that is not well-formed."""


class Frame(NamedTuple):
    """A heartbeat with any number of entries."""

    sender: str
    boot: int
    entries: list[Entry]


def encode_frame(frame: Frame, key: bytes) -> bytes:
    """Return the bytes of ``frame``, its authentication code first."""
    body = msgspec.msgpack.encode(frame)
    return _code(body, key) + body


def decode_frame(data: bytes, key: bytes) -> Frame:
    """Return the frame in ``data``; raise `FrameRejected`."""
    code, body = data[:MAC_BYTES], data[MAC_BYTES:]
    if not hmac.compare_digest(code, _code(body, key)):
        raise FrameRejected("authentication failed")
    try:
        return msgspec.msgpack.decode(body, type=Frame)
    except msgspec.MsgspecError as error:
        raise FrameRejected(str(error)) from None


def _code(body: bytes, key: bytes) -> bytes:
    return hmac.digest(key, body, hashlib.sha256)[:MAC_BYTES]
