"""A socket to an upstream, on which each read waits under the `Watch` of a request."""

import io
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from http.client import HTTPException
from typing import Any

from redwingscale_common.network.strict_responses import check_line

from redwingscale_daemon._internal.forwarding.line_bound import LineBound
from redwingscale_daemon._internal.forwarding.watch import Watch

# Each connection has a buffer of this size.
_READ_BYTES = 16 << 10


@contextmanager
def _nonblocking(sock: socket.socket) -> Iterator[None]:
    # MSG_DONTWAIT alone is not enough: on a socket with a timeout, Python polls before
    # it calls recv().
    timeout = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        yield
    finally:
        sock.settimeout(timeout)


class WatchedReader(io.RawIOBase):
    """Reads a socket; each read first waits under the `Watch` of the request.

    Without a watch, reads do not block.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.watch: Watch | None = None
        # Set while lines are read: the head of an answer, sizes of chunks or a trailer.
        self.lines: LineBound | None = None

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        if self.watch is None:
            return self._read_pending(buffer)
        self.watch.wait_until_readable(self._sock, len(buffer))
        count = self._sock.recv_into(buffer)
        if self.lines is not None:
            self.lines.note(count)
        return count

    def _read_pending(self, buffer: Any) -> int | None:
        with _nonblocking(self._sock):
            try:
                return self._sock.recv_into(buffer)
            except BlockingIOError:
                return None


class PersistentReader(io.BufferedReader):
    """Stays open as long as its connection, so that bytes after a response are not lost.

    Lines of one chunk or trailer are bounded together, as the head of an answer is.
    """

    raw: WatchedReader

    def __init__(self, raw: WatchedReader, buffer_bytes: int) -> None:
        super().__init__(raw, buffer_bytes)
        self._lines: LineBound | None = None

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line; raises `HTTPException` if it breaks off, or has no end.

        The lines of a trailer are bounded together.
        """
        if self.raw.lines is not None:
            return super().readline(size)
        self._lines = self._lines or LineBound()
        self.raw.lines = self._lines
        try:
            line = super().readline(size)
        finally:
            self.raw.lines = None
        # A size that breaks off would pass for a smaller one, or for that of the last chunk. After
        # the size of the last chunk, no byte is missing.
        return line if line in (b"", b"\r") else check_line(line, size or -1)

    def read(self, size: int | None = None, /) -> bytes:
        """Return ``size`` bytes of a body, or all of it; raises `HTTPException` for a bad size."""
        self._lines = None
        return super().read(None if size is None else _check_size(size))

    def read1(self, size: int = -1, /) -> bytes:
        """Return at most ``size`` bytes of a body that are there; raises as `read`."""
        self._lines = None
        return super().read1(_check_size(size))

    def readinto(self, buffer: Any, /) -> int:
        """Read bytes of a body."""
        self._lines = None
        return super().readinto(buffer)

    def close(self) -> None:
        """Do nothing: `HTTPResponse` closes its file at the end of the response."""

    def close_now(self) -> None:
        super().close()


def _check_size(size: int) -> int:
    # `http.client` takes a negative size of a chunk as it is, and would read without end for -1.
    if size < 0:
        raise HTTPException(f"the size of a body or chunk is {size}")
    return size


class WatchedSocket:
    """Wraps a socket for `http.client`, so that reads go through a `WatchedReader`."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.raw = WatchedReader(sock)
        self.reader = PersistentReader(self.raw, _READ_BYTES)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    @property
    def plain(self) -> socket.socket:
        """The socket itself."""
        return self._sock

    def makefile(self, *_: object, **__: object) -> PersistentReader:
        return self.reader

    def is_idle(self) -> bool:
        """Return whether the socket is open and has nothing to read."""
        with _nonblocking(self._sock):
            try:
                self._sock.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                return True
        return False

    def settimeout(self, value: float | None) -> None:
        """Ignore the timeout of `http.client`: reads wait under the watch."""

    def close(self) -> None:
        """Do nothing: `http.client` closes too early if a response ends with the connection."""

    def close_now(self) -> None:
        self.reader.close_now()
        self._sock.close()
