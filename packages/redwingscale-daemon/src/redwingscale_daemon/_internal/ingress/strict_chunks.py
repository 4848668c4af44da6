"""Reads chunked request bodies and rejects ambiguous framing."""

from collections.abc import Callable
from typing import Any

from cheroot.errors import MaxSizeExceeded
from redwingscale_common.network.grammar import parse_chunk_size

_CRLF = b"\r\n"
_MAX_LINE_BYTES = 4096


def read_chunks(
    stream: Any, max_bytes: int, reserve: Callable[[int], None] = lambda count: None
) -> bytes:
    """Return the body that begins at ``stream``, and consume its trailer.

    ``reserve`` is called with the size of each chunk before it is read, and may raise.
    Raises ValueError for a size that is not plain hexadecimal digits or a chunk that does
    not end after its size, and `MaxSizeExceeded` beyond ``max_bytes``. The server's own
    reader accepts ``0x5``, ``+5`` and ``1_0`` as sizes.
    """
    body = bytearray()
    while size := parse_chunk_size(_read_line(stream)):
        if len(body) + size > max_bytes:
            raise MaxSizeExceeded
        reserve(size)
        body += _read_exactly(stream, size)
        if stream.read(len(_CRLF)) != _CRLF:
            raise ValueError("a chunk does not end where its size says")
    while _read_line(stream) != _CRLF:
        pass
    return bytes(body)


def _read_line(stream: Any) -> bytes:
    line: bytes = stream.readline(_MAX_LINE_BYTES)
    if not line.endswith(_CRLF):
        raise ValueError("a line of a chunked body has no end")
    return line


def _read_exactly(stream: Any, size: int) -> bytes:
    data: bytes = stream.read(size)
    if len(data) != size:
        raise ValueError("the body ended inside a chunk")
    return data
