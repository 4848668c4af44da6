"""One connection to an upstream."""

import contextlib
import io
import socket
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from http.client import HTTPResponse
from typing import Any

from urllib3.connection import HTTPConnection

from redwingscale_daemon._internal.forwarding.watch import Watch
from redwingscale_daemon._internal.utils.sockets import RESET_ON_CLOSE

# A new connection takes about a millisecond, four across failure domains. One that
# takes longer has met a dead host or a lost packet, and another upstream is tried.
CONNECT_SECONDS = 0.35
# A host without power answers nothing: what is in flight is given up after this.
USER_TIMEOUT_MS = 4000
_READ_BYTES = 65536
# Methods whose requests need no length when they have no body.
_BODILESS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})


@contextmanager
def _nonblocking(sock: socket.socket) -> Iterator[None]:
    # A flag for one call is not enough: with a timeout set, the language waits
    # for the socket before it makes the call.
    timeout = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        yield
    finally:
        sock.settimeout(timeout)


class _WatchedReader(io.RawIOBase):
    """Reads a socket; each read first waits under the connection's `Watch`."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.watch: Watch | None = None

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        if self.watch is None:
            return self._read_pending(buffer)
        self.watch.wait_until_readable(self._sock)
        return self._sock.recv_into(buffer)

    def _read_pending(self, buffer: Any) -> int | None:
        with _nonblocking(self._sock):
            try:
                return self._sock.recv_into(buffer)
            except BlockingIOError:
                return None


class _PersistentReader(io.BufferedReader):
    """Lives as long as its connection, so that bytes beyond an answer are seen."""

    def close(self) -> None:
        """Do nothing: the response closes its file at its end."""

    def close_now(self) -> None:
        super().close()


class _WatchedSocket:
    """What the HTTP library needs of a socket."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.raw = _WatchedReader(sock)
        self.reader = _PersistentReader(self.raw, _READ_BYTES)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def makefile(self, *_: object, **__: object) -> _PersistentReader:
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
        """Ignore the library's timeout: reads wait under the watch."""

    def close(self) -> None:
        """Do nothing: the library closes early where an answer ends with the connection."""

    def close_now(self) -> None:
        self.reader.close_now()
        self._sock.close()


class UpstreamConnection(HTTPConnection):
    """Sends requests with their raw target; every wait is under a `Watch`."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port, timeout=CONNECT_SECONDS)
        self._watched: _WatchedSocket | None = None
        self.response_count = 0
        self.idle_since = 0.0
        # When the upstream may close this connection; it tells so in its answers.
        self.expires_at = float("inf")

    def connect(self) -> None:
        """Connect; raises the library's errors when nothing was sent."""
        super().connect()
        assert isinstance(self.sock, socket.socket)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        self.sock.settimeout(USER_TIMEOUT_MS / 1000)
        self._watched = _WatchedSocket(self.sock)
        self.sock = self._watched

    def send_request(
        self, method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Send one whole request on the open connection; raise OSError."""
        self.putrequest(method, target, skip_host=True, skip_accept_encoding=True)
        for name, value in headers:
            self.putheader(name, value)
        if body or method not in _BODILESS:
            self.putheader("Content-Length", str(len(body)))
        self.endheaders(body or None)

    def receive_response(self, watch: Watch) -> HTTPResponse:
        """Return the head of the answer; raise as `Watch` and the library do."""
        assert self._watched is not None
        self._watched.raw.watch = watch
        # The library's own response: read in pieces as they come, and never
        # decoded or followed up.
        response = super(HTTPConnection, self).getresponse()
        self.response_count += 1
        return response

    def receive_extra_response(self, method: str) -> HTTPResponse:
        """Return one more answer than requests were sent; the first one was not ours."""
        assert self._watched is not None
        response = HTTPResponse(self._watched, method=method)  # type: ignore[arg-type]
        response.begin()
        return response

    def is_reusable(self) -> bool:
        """Return whether the connection is open and nothing has come unasked.

        An upstream may send bytes after a whole answer, or a second one late:
        they would be taken for the answer to the next request.
        """
        if self._watched is None:
            return False
        self._watched.raw.watch = None
        try:
            if self._watched.reader.peek(1):
                return False
            return self._watched.is_idle()
        except (OSError, ValueError):
            return False

    def rest(self) -> None:
        """Note that the connection waits for its next request from now on."""
        self.idle_since = time.monotonic()

    def discard(self) -> None:
        """Reset it; an upstream drops what it runs for it.

        Ended in place of reset, a request that a cut holds up would reach the
        upstream when the cut is over, long after its caller has left.
        """
        if self.sock is not None:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(*RESET_ON_CLOSE)
        if self._watched is not None:
            self._watched.close_now()
        elif self.sock is not None:
            self.sock.close()
