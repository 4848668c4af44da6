"""Reads response bodies: whole, or in pieces if they are too long to hold."""

from http.client import HTTPException, HTTPResponse, IncompleteRead
from typing import NamedTuple

from redwingscale_daemon._internal.ingress.held_bytes import HeldBytes

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
    beyond the bounds of ``held``, which counts the body until its next change.
    """
    return _read_up_to(response, held, MAX_BODY_BYTES, "the answer is too large").data


def read_body_start(response: HTTPResponse, held: HeldBytes) -> BodyStart:
    """Return the whole body, or its start if it exceeds `HELD_BYTES`; raises as above."""
    return _read_up_to(response, held, HELD_BYTES)


def read_body_piece(response: HTTPResponse, held: HeldBytes) -> bytes:
    """Return the next bytes, none at the end of the body; raises as above."""
    data = response.read1(_READ_BYTES)
    held.set_answer(len(data))
    if not data:
        finish_response(response)
    return data


def _read_up_to(
    response: HTTPResponse, held: HeldBytes, most: int, excess: str | None = None
) -> BodyStart:
    body = bytearray()
    while data := response.read1(_READ_BYTES):
        body += data
        held.set_answer(len(body))
        if len(body) > most:
            if excess is not None:
                raise HTTPException(excess)
            return BodyStart(bytes(body), whole=False)
    finish_response(response)
    return BodyStart(bytes(body), whole=True)


def finish_response(response: HTTPResponse) -> None:
    """Close a response that was read to its end; raises `HTTPException` if bytes are missing.

    `http.client` closes a response with a length only on a read that it counts
    itself; until the response is closed, its connection accepts no further request.
    """
    if response.length:
        raise IncompleteRead(b"", response.length)
    response.close()
