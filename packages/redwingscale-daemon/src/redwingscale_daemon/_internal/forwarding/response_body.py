"""Reads an answer that is passed on only when it is whole."""

from http.client import HTTPException, HTTPResponse

_READ_BYTES = 65536
# Answers that aren't streams have a few kilobytes.
MAX_BODY_BYTES = 32 << 20


def read_response_body(response: HTTPResponse) -> bytes:
    """Return the body; raise HTTPException or OSError where it breaks off.

    An answer without a length ends with its connection: one that is reset on
    the way raises, so a part is never taken for the whole.
    """
    body = bytearray()
    while data := response.read1(_READ_BYTES):
        body += data
        if len(body) > MAX_BODY_BYTES:
            raise HTTPException("the answer is too large")
    finish_response(response)
    return bytes(body)


def finish_response(response: HTTPResponse) -> None:
    """Close an answer that was read to its end; raise HTTPException if bytes are missing.

    The library ends an answer with a length only on a read that it counts
    itself; unended, its connection takes no further request.
    """
    if response.length:
        raise HTTPException(f"{response.length} bytes are missing")
    response.close()
