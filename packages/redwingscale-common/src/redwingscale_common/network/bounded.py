"""CherryPy connections with limits that its server lacks.

The server's own timeout applies to each read of the socket, so a client that sends one
byte at a time occupies a thread for hours. The server also reads the unread body of a
refused request whole into memory, or parses it as the next request.
"""

import socket
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import msgspec
from cheroot.makefile import StreamReader, StreamWriter
from cheroot.server import HTTPConnection, HTTPRequest

PROBLEM_TYPE = "application/problem+json"
MAX_DISCARDED_BYTES = 1 << 20
LINGER_SECONDS = 1.0
LINGER_READ_BYTES = 1 << 16


class DeadlineIO(socket.SocketIO):
    """Reads a socket until a deadline that applies to all reads together.

    A server that stops ends the reading side of its connections. A request that has begun is
    late then, and not malformed: its caller may send it elsewhere.
    """

    def __init__(
        self,
        sock: socket.socket,
        seconds: float,
        has_stopped: Callable[[], bool] = lambda: False,
    ) -> None:
        super().__init__(sock, "rb")
        self._socket = sock
        self._seconds = seconds
        self._has_stopped = has_stopped
        self.expired = self._request_begun = False
        self.restart_deadline()

    def restart_deadline(self, *, request_begun: bool = False) -> None:
        """Set the deadline anew, counted from now.

        ``request_begun``: bytes of the next request were read together with the one before.
        """
        self._deadline = time.monotonic() + self._seconds
        self._request_begun = request_begun

    def readinto(self, buffer: Any) -> int | None:
        """Read the bytes that are available.

        Raises `TimeoutError` if the deadline passes first, or the server has stopped.
        """
        remaining = self._deadline - time.monotonic()
        self.expired = remaining <= 0
        if self.expired:
            raise TimeoutError("timed out")
        self._socket.settimeout(remaining)
        try:
            return self._note(super().readinto(buffer))
        except TimeoutError:
            self.expired = True
            raise
        finally:
            self._socket.settimeout(self._seconds)

    def _note(self, count: int | None) -> int | None:
        if count:
            self._request_begun = True
        elif count == 0 and self._request_begun and self._has_stopped():
            raise TimeoutError("timed out")
        return count


class BoundedReader(StreamReader):
    """The server's `StreamReader` on top of a `DeadlineIO`."""

    def __init__(self, raw: DeadlineIO, buffer_bytes: int) -> None:
        super(StreamReader, self).__init__(raw, buffer_bytes)
        self.bytes_read = 0


class BoundedRequest(HTTPRequest):
    """A request that closes its connection if the rest of its body must not be read."""

    def send_headers(self) -> None:
        """Send the headers; close the connection afterwards if unread input could be parsed."""
        if self._has_unread_input():
            self.conn.has_unread_input = True
            self.close_connection = True
        super().send_headers()

    def simple_response(self, status: str, msg: str = "") -> None:
        """Answer a request that cannot be parsed with a problem document, then close."""
        self.close_connection = True
        self.conn.has_unread_input = True
        code, _, title = str(status).partition(" ")
        document = {"type": "about:blank", "title": title, "status": int(code), "run": "not_run"}
        body = msgspec.json.encode(document | ({"detail": msg} if msg else {}))
        head = (
            f"{self.server.protocol} {status}\r\nContent-Type: {PROBLEM_TYPE}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        with suppress(OSError):
            self.conn.wfile.write(head.encode("latin-1") + body)

    def _has_unread_input(self) -> bool:
        """Whether the rest of the body must not be read: it is late, chunked or too long."""
        if self.conn.rfile.raw.expired:
            return True
        if self.chunked_read:
            return not getattr(self.rfile, "closed", False)
        return bool(getattr(self.rfile, "remaining", 0) > MAX_DISCARDED_BYTES)


class BoundedConnection(HTTPConnection):
    """A connection that limits the time for the head and body of a request together."""

    RequestHandlerClass = BoundedRequest

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = None) -> None:
        super().__init__(server, sock, self.make_file)
        self.has_unread_input = False

    def make_file(self, raw: socket.socket, mode: str, size: int) -> Any:
        """Return the reader or the writer of the connection."""
        if "r" in mode:
            reader = DeadlineIO(raw, self.server.timeout, lambda: not self.server.ready)
            return BoundedReader(reader, size)
        return StreamWriter(raw, mode, size)

    def communicate(self) -> bool:
        """Handle one request; return whether the connection can be used for another."""
        self.rfile.raw.restart_deadline(request_begun=self.rfile.has_data())
        keep = bool(super().communicate())  # type: ignore[no-untyped-call]
        if not keep and self.has_unread_input:
            self._linger()
        return keep

    def _linger(self) -> None:
        # Closing a socket with unread bytes resets the connection, and the reset may
        # overtake the response: the client would see a broken connection instead of the
        # refusal. So bytes are read and discarded for a short time before the close.
        deadline = time.monotonic() + LINGER_SECONDS
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            while (remaining := deadline - time.monotonic()) > 0:
                self.socket.settimeout(remaining)
                if not self.socket.recv(LINGER_READ_BYTES):
                    return
