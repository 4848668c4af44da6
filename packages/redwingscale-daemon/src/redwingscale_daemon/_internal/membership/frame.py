"""Frames between instances: MessagePack, authenticated by a shared key."""

import hashlib
import hmac
from typing import NamedTuple

import msgspec
from redwingscale_common.exceptions import RedwingscaleError

from redwingscale_daemon._internal.membership.message import Message

MAC_BYTES = 16


class FrameRejected(RedwingscaleError):
    """The frame is not authenticated, not well-formed, or replayed."""


class Frame(NamedTuple):
    """One heartbeat, with the messages that are due for the receiver.

    ``heartbeat`` is the sender's own heartbeat number, which only rises.
    ``acknowledged`` is the last heartbeat that the sender received directly from
    the receiver: it acknowledges the link in the other direction.
    ``relayed_heartbeats`` has the heartbeats of other instances of the sender's
    failure domain as (heartbeat id, heartbeat number).
    """

    sender: str
    failure_domain: str
    heartbeat: int
    acknowledged: int
    relayed_heartbeats: list[tuple[int, int]] = []
    messages: list[Message] = []


_DECODER = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame, key: bytes) -> bytes:
    """Return ``frame`` encoded, preceded by its authentication code."""
    body = msgspec.msgpack.encode(frame)
    return _code(body, key) + body


def decode_frame(data: bytes, key: bytes) -> Frame:
    """Return the frame in ``data``.

    Raises `FrameRejected` if it is not authenticated or not well-formed.
    """
    code, body = data[:MAC_BYTES], data[MAC_BYTES:]
    if not hmac.compare_digest(code, _code(body, key)):
        raise FrameRejected("authentication failed")
    try:
        return _DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise FrameRejected(str(error)) from None


def _code(body: bytes, key: bytes) -> bytes:
    return hmac.digest(key, body, hashlib.sha256)[:MAC_BYTES]
