"""Responses whose heads must be complete.

`http.client` takes the end of a connection for the end of a head: a head that breaks off
after some of its lines would pass for one without the others, such as the length of the body.
"""

from http.client import HTTPResponse, IncompleteRead
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection


def check_line(line: bytes, limit: int) -> bytes:
    """Return ``line`` of at most ``limit`` bytes; raise `IncompleteRead` if it breaks off."""
    if not line.endswith(b"\n") and len(line) < limit:
        raise IncompleteRead(line)
    return line


class _HeadReader:
    """Reads the lines of a head; raises `IncompleteRead` if it breaks off after its begin."""

    def __init__(self, reader: Any) -> None:
        self._reader = reader
        self._begun = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reader, name)

    def readline(self, limit: int) -> bytes:
        line: bytes = self._reader.readline(limit)
        # A connection that is closed before the first byte is told apart by `http.client`.
        if line or self._begun:
            check_line(line, limit)
        self._begun = True
        return line


class WholeHeadResponse(HTTPResponse):
    """Raises `IncompleteRead` where a head breaks off, also that of an interim response."""

    def begin(self) -> None:
        """Read the head."""
        reader: Any = self.fp
        self.fp = _HeadReader(reader)  # type: ignore[assignment]
        try:
            super().begin()
        finally:
            # None if the response has closed it.
            if self.fp is not None:
                self.fp = reader


class WholeHeadConnection(HTTPConnection):
    """A connection of urllib3 with such responses."""

    response_class = WholeHeadResponse


class WholeHeadPool(urllib3.HTTPConnectionPool):
    """A pool of such connections; a head that breaks off raises `ProtocolError`."""

    ConnectionCls = WholeHeadConnection


class WholeHeadPools(urllib3.PoolManager):
    """Such pools by host."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.pool_classes_by_scheme = {"http": WholeHeadPool}
