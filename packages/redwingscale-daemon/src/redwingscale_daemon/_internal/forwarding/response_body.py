"""Reads response bodies: whole, or in pieces if they are too long to hold."""

from http.client import HTTPException, HTTPResponse, IncompleteRead
from typing import NamedTuple

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.ingress.held_bytes import HeldBytes
from redwingscale_daemon._internal.ingress.reply import Reply
from redwingscale_daemon._internal.models.run_state import RunState

_READ_BYTES = 65536
# Responses that are not streams have a few kilobytes. One up to this length is passed on only
# when it is complete, so that another upstream can be tried if it breaks off.
HELD_BYTES = 65536
# Failures, of which one is kept in case that no other upstream succeeds.
MAX_BODY_BYTES = 32 << 20


class BodyStart(NamedTuple):
    """The first bytes of a body; ``whole`` if there are no more."""

    data: bytes
    whole: bool


def read_response_body(response: HTTPResponse, held: HeldBytes) -> bytes:
    """Return the whole body; raises `HTTPException` or `OSError` if it breaks off.

    A response without a length ends when its connection closes. If the connection is
    reset instead, the read raises, so a partial body is never returned. Raises `Refusal`
    if a long body exceeds the bounds of ``held``, which counts it until its next change.
    """
    body = bytearray()
    while data := response.read1(_READ_BYTES):
        body += data
        held.set_answer(len(body))
        if len(body) > MAX_BODY_BYTES:
            raise HTTPException("the answer is too large")
        if len(body) > HELD_BYTES and not held.take_room(_READ_BYTES):
            detail = f"{len(body)} bytes of a failure"
            raise Refusal(502, "bytes_held", detail, run=RunState.UNKNOWN)
    finish_response(response)
    return bytes(body)


def read_body_start(response: HTTPResponse, held: HeldBytes) -> BodyStart:
    """Return the whole body, or its start if it exceeds `HELD_BYTES`; raises as above.

    The start is shorter while the instance has no room to hold so much.
    """
    body = bytearray()
    while data := response.read1(_READ_BYTES):
        body += data
        held.set_answer(len(body))
        if len(body) > HELD_BYTES or not held.take_room(_READ_BYTES):
            return BodyStart(bytes(body), whole=False)
    finish_response(response)
    return BodyStart(bytes(body), whole=True)


def pass_on_pieces(response: HTTPResponse, reply: Reply, held: HeldBytes, piece: bytes) -> None:
    """Write ``piece`` and the rest of the body as it arrives; raises as above.

    The read of the next piece waits while the caller has too much to take.
    """
    while piece:
        reply.write(piece)
        # The read may wait for the caller: only one copy is held.
        del piece
        held.set_answer(0)
        piece = response.read1(_READ_BYTES)
        held.set_answer(len(piece))
    finish_response(response)


def finish_response(response: HTTPResponse) -> None:
    """Close a response that was read to its end; raises `HTTPException` if bytes are missing.

    `http.client` closes a response with a length only on a read that it counts
    itself; until the response is closed, its connection accepts no further request.
    """
    if response.length:
        raise IncompleteRead(b"", response.length)
    response.close()
