"""Reads response bodies that are passed on only when they are complete."""

from http.client import HTTPException, HTTPResponse

_READ_BYTES = 65536
# Responses that are not streams have a few kilobytes.
MAX_BODY_BYTES = 32 << 20


def read_response_body(response: HTTPResponse) -> bytes:
    """Return the whole body; raises `HTTPException` or `OSError` if it breaks off.

    A response without a length ends when its connection closes. If the connection is
    reset instead, the read raises, so a partial body is never returned.
    """
    body = bytearray()
    while data := response.read1(_READ_BYTES):
        body += data
        if len(body) > MAX_BODY_BYTES:
            raise HTTPException("the answer is too large")
    finish_response(response)
    return bytes(body)


def finish_response(response: HTTPResponse) -> None:
    """Close a response that was read to its end; raises `HTTPException` if bytes are missing.

    `http.client` closes a response with a length only on a read that it counts
    itself; until the response is closed, its connection accepts no further request.
    """
    if response.length:
        raise HTTPException(f"{response.length} bytes are missing")
    response.close()
