"""Answers that have no end, as a faulty worker, peer or store sends them."""

import itertools
import socket
import threading
import time
from collections.abc import Callable, Iterator

PIECE = b"x" * (128 << 10)
# More than the memory limit of an instance. Later bytes trickle, so that a fault in an instance
# does not use up the memory of the machine that runs the test.
MOST_BYTES = 600_000_000
TRICKLE_SECONDS = 0.05
# In the head of an answer: the headers of the one that asked.
_HEADERS = b"%h"
_OK = b"HTTP/1.1 200 OK\r\n"
_SIGNED = b"X-Redwingscale-Response-Seal: seal\r\n" + _HEADERS
_IN_CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n"

Pieces = Callable[[bytes], Iterator[bytes]]


def _sends(first: bytes, again: bytes) -> Pieces:
    """Return what begins with ``first``, with headers in it, and repeats ``again``."""
    return lambda headers: itertools.chain(
        [first.replace(_HEADERS, headers)], itertools.repeat(again)
    )


def _chunk(size: bytes) -> Pieces:
    return _sends(_OK + _SIGNED + _IN_CHUNKS + size + b"\r\n", PIECE)


def _failure(status: bytes, more: bytes) -> Pieces:
    return _sends(b"HTTP/1.1 " + status + b"\r\n" + _SIGNED + more, PIECE)


_LONG = b"Content-Length: 1099511627776\r\n\r\n"
# By name; none has an end that is valid.
FORMS: dict[str, Pieces] = {
    "no-http": _sends(b"", PIECE),
    "header-lines": _sends(_OK, b"a: b\r\n" * 5000),
    "header-line": _sends(_OK + b"a: ", PIECE),
    "interim-answers": _sends(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "other-interim-answers": _sends(b"", b"HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n" * 2000),
    "length": _sends(_OK + _SIGNED + _LONG, PIECE),
    "no-length": _sends(_OK + _SIGNED + b"\r\n", PIECE),
    "chunks": _sends(_OK + _SIGNED + _IN_CHUNKS, b"%x\r\n%s\r\n" % (len(PIECE), PIECE)),
    "small-chunks": _sends(_OK + _SIGNED + _IN_CHUNKS, b"1\r\nx\r\n" * 5000),
    "long-chunk": _chunk(b"10000000000"),
    "chunk-beyond-all-sizes": _chunk(b"f" * 40),
    "chunk-of-negative-size": _chunk(b"-1"),
    "chunk-of-other-negative-size": _chunk(b"-5"),
    "chunk-extension": _sends(_OK + _SIGNED + _IN_CHUNKS + b"5;a=", PIECE),
    "trailer": _sends(_OK + _SIGNED + _IN_CHUNKS + b"1\r\nx\r\n0\r\n", b"a: b\r\n" * 5000),
    "unsigned": _sends(_OK + _HEADERS + b"\r\n", PIECE),
    "failure": _failure(b"500 Failed", b"\r\n"),
    "failure-length": _failure(b"503 Full", _LONG),
    "not-run": _failure(b"503 Full", b"X-Redwingscale-Not-Executed: 1\r\n" + _LONG),
    "not-run-negative-chunk": _failure(
        b"503 Full", b"X-Redwingscale-Not-Executed: 1\r\n" + _IN_CHUNKS + b"-1\r\n"
    ),
    "not-run-other-negative-chunk": _failure(
        b"503 Full", b"X-Redwingscale-Not-Executed: 1\r\n" + _IN_CHUNKS + b"-5\r\n"
    ),
    "other-worker-negative-chunk": _failure(b"421 Other", _IN_CHUNKS + b"-1\r\n"),
}


class EndlessSender:
    """Sends an answer until its connection is closed, or `stop` is called."""

    def __init__(self, form: str) -> None:
        self._pieces = FORMS[form]
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self.sent = 0

    def stop(self) -> None:
        """End all answers."""
        self._stopped.set()

    def send(self, connection: socket.socket, headers: bytes = b"") -> None:
        """Send the answer, with ``headers`` in its head; raises `OSError` when it is closed."""
        connection.settimeout(1.0)
        for piece in self._pieces(headers):
            rest = memoryview(piece)
            while rest:
                if self._stopped.is_set():
                    return
                try:
                    count = connection.send(rest)
                except TimeoutError:
                    continue
                rest = rest[count:]
                with self._lock:
                    self.sent += count
                if self.sent > MOST_BYTES:
                    time.sleep(TRICKLE_SECONDS)
