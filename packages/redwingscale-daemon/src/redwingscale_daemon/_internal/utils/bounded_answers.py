"""Connections for calls whose answers are short: one without an end is given up."""

import http.client
import io
import socket
import time
from typing import Any

from redwingscale_common.network.strict_responses import (
    StrictConnection,
    StrictPool,
    StrictPools,
    StrictResponse,
)
from redwingscale_common.utils.logs import log_event

# Answers to calls have some kilobytes and come at once.
MAX_ANSWER_BYTES = 1 << 20
ANSWER_SECONDS = 1.0
# The store sends pages of at most 500 rows or 1 MB, which is more in base64. The changes since a
# long poll have no stated bound: all that can be written in 20 s, at 400 small rows a second.
MAX_STORE_ANSWER_BYTES = 8 << 20


# The lines of an answer: its heads, the sizes of its chunks and its trailer. Each line takes the
# interpreter some microseconds, in which no other thread runs.
MAX_LINES_BYTES = 64 << 10


def log_answer_broken(upstream_id: str, error: Exception) -> None:
    """Log an answer of an upstream to a call that is not valid."""
    log_event("call_answer_broken", level="WARNING", upstream=upstream_id, error=repr(error))


class _BoundedReader(io.RawIOBase):
    """Reads one answer; raises `TimeoutError` or `http.client.HTTPException` beyond its bounds."""

    def __init__(self, sock: socket.socket, answer_seconds: float, most_bytes: int) -> None:
        self._sock, self._most_bytes = sock, most_bytes
        # Keeps the socket open until it is closed itself.
        self._raw = sock.makefile("rb", buffering=0)
        self._seconds_left = answer_seconds
        self._bytes = 0

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        if self._seconds_left <= 0:
            raise self._time_out()
        timeout = self._sock.gettimeout()
        began_at = time.monotonic()
        self._sock.settimeout(min(self._seconds_left, timeout or self._seconds_left))
        try:
            count = self._raw.readinto(buffer)
        except TimeoutError:
            if self._seconds_left > (timeout or self._seconds_left):
                raise
            raise self._time_out() from None
        finally:
            # Bytes that have come do not count, however late this process reads them.
            self._seconds_left -= time.monotonic() - began_at
            self._sock.settimeout(timeout)
        self._bytes += count or 0
        if self._bytes > self._most_bytes:
            raise http.client.HTTPException(f"the answer has more than {self._most_bytes} bytes")
        return count

    def _time_out(self) -> Exception:
        # The path to a host that has sent bytes of the answer works.
        reason = "the answer has not ended in time"
        return http.client.HTTPException(reason) if self._bytes else TimeoutError(reason)

    def close(self) -> None:
        self._raw.close()
        super().close()


class _AnswerFile(io.BufferedReader):
    """Raises `http.client.HTTPException` for a size that is not valid, and lines without end."""

    def __init__(self, raw: _BoundedReader, most_bytes: int) -> None:
        super().__init__(raw)
        self._most_bytes = most_bytes
        self._bytes_of_lines = 0

    def read(self, size: int | None = -1, /) -> bytes:
        # The buffer for so many bytes may exceed the memory before any of them has come. A
        # chunk of a negative size other than -1, which reads to the end, is refused by no other.
        if size is not None and not -1 <= size <= self._most_bytes:
            raise http.client.HTTPException(f"the size of a body or chunk is {size}")
        return super().read(size)

    def readline(self, size: int | None = -1, /) -> bytes:
        line = super().readline(size)
        self._bytes_of_lines += len(line)
        if self._bytes_of_lines > MAX_LINES_BYTES:
            raise http.client.HTTPException("lines of the answer have no end")
        return line


class _BoundedSocket:
    """Wraps a socket for `http.client`, which makes a file for each answer."""

    def __init__(
        self,
        sock: socket.socket,
        answer_seconds: float = ANSWER_SECONDS,
        most_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._sock, self._answer_seconds, self._most_bytes = sock, answer_seconds, most_bytes

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def makefile(self, *_: object, **__: object) -> io.BufferedReader:
        reader = _BoundedReader(self._sock, self._seconds_of_answer(), self._most_bytes)
        return _AnswerFile(reader, self._most_bytes)

    def _seconds_of_answer(self) -> float:
        return self._answer_seconds


class _PolledSocket(_BoundedSocket):
    """Lets an answer take its seconds beyond the time-out of a read, for which a poll may wait."""

    def _seconds_of_answer(self) -> float:
        return self._answer_seconds + (self._sock.gettimeout() or 0.0)


class ShortAnswerConnection(http.client.HTTPConnection):
    """Gives an answer up that has no end; raises as `http.client` does.

    ``timeout`` bounds the connecting, and the whole answer.
    """

    response_class = StrictResponse

    def __init__(self, host: str, port: int, timeout: float) -> None:
        super().__init__(host, port, timeout=timeout)
        self._answer_seconds = timeout

    def connect(self) -> None:
        super().connect()
        self.sock = _BoundedSocket(self.sock, self._answer_seconds)


class _PooledConnection(StrictConnection):
    def connect(self) -> None:
        super().connect()
        self.sock = _BoundedSocket(self.sock)


class ShortAnswerPool(StrictPool):
    """Connections to one host; an answer that has no end raises an `HTTPError` of ``urllib3``."""

    ConnectionCls = _PooledConnection


class _StoreConnection(StrictConnection):
    def connect(self) -> None:
        super().connect()
        self.sock = _PolledSocket(self.sock, most_bytes=MAX_STORE_ANSWER_BYTES)


class StoreAnswerPool(StrictPool):
    """As `ShortAnswerPool`, for answers of the store, which are longer and may be waited for."""

    ConnectionCls = _StoreConnection


class ShortAnswerPools(StrictPools):
    """Gives an answer up that has no end, with an `HTTPError` of ``urllib3``."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.pool_classes_by_scheme = {"http": ShortAnswerPool}
