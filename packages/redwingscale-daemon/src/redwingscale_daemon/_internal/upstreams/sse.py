"""Splits a chunked response into server-sent events (SSE)."""

from collections.abc import Iterator

import urllib3
from redwingscale_common.network.client import read_pieces

SEPARATOR = b"\n\n"


def read_events(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield each complete event; raise a urllib3 error if the body is truncated.

    A chunked body has its own terminator. A connection that closes before it raises an
    error, so a truncated stream never looks like a short response.
    """
    buffer = b""
    for piece in read_pieces(response):
        buffer = buffer + piece if buffer else piece
        *events, buffer = buffer.split(SEPARATOR)
        yield from events
