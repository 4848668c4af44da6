"""Splits a chunked response into server-sent events."""

from collections.abc import Iterator

import urllib3

SEPARATOR = b"\n\n"


def read_events(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield each whole event; raise a urllib3 error when the body is cut.

    The chunked body has its own terminator: a connection that closes before
    it raises here, so a cut stream never looks like a short answer.
    """
    buffer = b""
    for chunk in response.stream(decode_content=False):
        buffer = buffer + chunk if buffer else chunk
        *events, buffer = buffer.split(SEPARATOR)
        yield from events
