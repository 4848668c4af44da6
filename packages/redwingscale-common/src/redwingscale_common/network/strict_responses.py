"""Responses that follow the grammar of HTTP/1.1; others raise `HTTPException`.

`http.client` ends a head at the first line that is no field, or at the end of the
connection. What follows is lost then, such as the length of the body.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from http.client import HTTPException, HTTPResponse, IncompleteRead
from io import BytesIO
from typing import Any, NamedTuple

import urllib3
from urllib3.connection import HTTPConnection

from redwingscale_common.network.grammar import (
    StatusLine,
    check_framing,
    parse_chunk_size,
    parse_field,
    parse_status_line,
)

_MAX_LINE_BYTES = 64 << 10
# A head with the interim heads before it.
_MAX_HEADS_BYTES = 256 << 10
_CRLF = b"\r\n"
# The blank line after fields, also where the connection ends in it.
_LAST_LINES = frozenset({_CRLF, b"\n", b"\r", b""})
_INTERIM = range(100, 200)
_SWITCHING_PROTOCOLS = 101
_BODILESS = frozenset({204, 304})
_HTTP_1_0 = b"HTTP/1.0"


def check_line(line: bytes, limit: int) -> bytes:
    """Return ``line`` of at most ``limit`` bytes; raise `IncompleteRead` if it breaks off."""
    if not line.endswith(b"\n") and len(line) < limit:
        raise IncompleteRead(line)
    return line


def _read_line(reader: Any, *, may_end: bool = False) -> bytes:
    """Return the next line; with ``may_end``, the connection may end before it or in its end."""
    line: bytes = reader.readline(_MAX_LINE_BYTES)
    if len(line) == _MAX_LINE_BYTES:
        raise ValueError("a line of the response has no end")
    ends = may_end and line in (b"", b"\r")
    return line if ends else check_line(line, _MAX_LINE_BYTES)


@contextmanager
def _raising_http_exception() -> Iterator[None]:
    """Turn a ValueError, which the grammar raises, into what callers of `http.client` handle."""
    try:
        yield
    except ValueError as error:
        raise HTTPException(str(error)) from error


class _Head(NamedTuple):
    status_line: StatusLine
    fields: tuple[tuple[bytes, bytes], ...]

    def values(self, name: bytes) -> list[bytes]:
        """Return the values of the fields with the lower-case ``name``."""
        return [value for field, value in self.fields if field.lower() == name]

    def check_framing(self) -> None:
        """Raise ValueError if the end of the body is not stated, or stated in two ways."""
        codings = self.values(b"transfer-encoding")
        check_framing(self.values(b"content-length"), codings)
        if codings and self.status_line.version == _HTTP_1_0:
            raise ValueError("Transfer-Encoding in a response of HTTP/1.0")

    def encode(self) -> bytes:
        """Return the head in the form that each parser reads alike."""
        version, status, reason = self.status_line
        fields = (b"%s: %s\r\n" % field for field in self.fields)
        return b"%s %d %s\r\n%s\r\n" % (version, status, reason, b"".join(fields))


class _HeadReader:
    """Reads the heads of one response."""

    def __init__(self, reader: Any) -> None:
        self._reader = reader
        self._bytes = 0

    def read_final(self) -> _Head | None:
        """Return the final head, None if the connection ends before its first byte."""
        while line := self._read_line():
            status_line = parse_status_line(line)
            fields = tuple(map(parse_field, iter(self._read_field_line, b"")))
            if status_line.status == _SWITCHING_PROTOCOLS:
                raise ValueError("a protocol that was not asked for")
            if status_line.status not in _INTERIM:
                return _Head(status_line, fields)
        return None

    def _read_field_line(self) -> bytes:
        line = self._read_line()
        return b"" if line in (_CRLF, b"\n") else line

    def _read_line(self) -> bytes:
        line = _read_line(self._reader, may_end=not self._bytes)
        self._bytes += len(line)
        if self._bytes > _MAX_HEADS_BYTES:
            raise ValueError("the head of the response has no end")
        return line


class StrictResponse(HTTPResponse):
    """Raises `HTTPException` for a head, a chunk or a trailer that is not valid.

    A head or body that breaks off raises `IncompleteRead`, which is one of them.
    """

    def begin(self) -> None:
        """Read the head; interim responses before it are skipped."""
        if self.headers is not None:
            return
        reader: Any = self.fp
        with _raising_http_exception():
            head = _HeadReader(reader).read_final()
            if head is not None:
                head.check_framing()
        # `http.client` parses lines that are valid, or none.
        self.fp = BytesIO(b"" if head is None else head.encode())
        try:
            super().begin()
        finally:
            self.fp = reader
        if self.status in _BODILESS:
            self.chunked = False

    # These replace methods of `http.client`, which reads sizes by `int`, and skips the bytes after a
    # chunk and the lines of a trailer unread.

    def _get_chunk_left(self) -> int | None:
        """Return the bytes left in this chunk, or in the next one; None at the end of the body."""
        if self.chunk_left:
            return self.chunk_left
        # None before the first chunk, 0 at the end of each.
        if self.chunk_left == 0 and self._safe_read(len(_CRLF)) != _CRLF:  # type: ignore[attr-defined]
            raise HTTPException("a chunk does not end where its size says")
        self.chunk_left = self._read_next_chunk_size() or None
        if self.chunk_left is None:
            self._read_and_discard_trailer()
            self._close_conn()  # type: ignore[attr-defined]
        return self.chunk_left

    def _read_next_chunk_size(self) -> int:
        with _raising_http_exception():
            return parse_chunk_size(_read_line(self.fp))

    def _read_and_discard_trailer(self) -> None:
        """Check the fields of the trailer: another line shows that bytes of the body are lost.

        The connection may end after the last chunk, which ends the body.
        """
        with _raising_http_exception():
            while (line := _read_line(self.fp, may_end=True)) not in _LAST_LINES:
                parse_field(line)


class StrictConnection(HTTPConnection):
    """A connection of urllib3 with such responses."""

    response_class = StrictResponse


class StrictPool(urllib3.HTTPConnectionPool):
    """A pool of such connections; a response that is not valid raises `ProtocolError`."""

    ConnectionCls = StrictConnection


class StrictPools(urllib3.PoolManager):
    """Such pools by host."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.pool_classes_by_scheme = {"http": StrictPool}
