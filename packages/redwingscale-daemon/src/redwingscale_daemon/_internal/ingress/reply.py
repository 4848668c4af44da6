"""The answer to one request of a caller."""

import time
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any

from redwingscale_daemon._internal.exceptions import CallerLeft, CallerTooSlow

_CONTENT_LENGTH = b"Content-Length"
# The writer copies what it writes. A caller on a slow link has the whole limit of a write
# for each piece of a large answer.
_PIECE_BYTES = 64 << 10


class Reply:
    """Writes one answer: a complete one, or a stream that ends or is aborted."""

    def __init__(self, server_request: Any) -> None:
        self._request = server_request
        self.status = 0
        self.restart_write_limit()

    @property
    def started(self) -> bool:
        """Whether the head was sent, after which no other answer can follow."""
        return bool(self._request.sent_headers)

    def send(self, status: int, headers: Iterable[tuple[str, str]], body: bytes) -> None:
        """Send a complete answer; raise `CallerLeft`."""
        self._set_head(status, headers)
        self._request.outheaders.append((_CONTENT_LENGTH, str(len(body)).encode()))
        self._send_head()
        if self._request.method != b"HEAD":
            for start in range(0, len(body), _PIECE_BYTES):
                self.restart_write_limit()
                self._write(body[start : start + _PIECE_BYTES])

    def begin(
        self, status: int, headers: Iterable[tuple[str, str]], length: int | None = None
    ) -> None:
        """Begin a stream, of ``length`` bytes if they are known; raise `CallerLeft`."""
        self._set_head(status, headers)
        if length is not None:
            self._request.outheaders.append((_CONTENT_LENGTH, str(length).encode()))
        self._send_head()

    def write(self, data: bytes) -> None:
        """Send the next bytes of a stream; raise `CallerLeft`."""
        self._write(data)

    def label(self, request_id: str) -> None:
        """Name the request in what is logged of its connection."""
        self._request.conn.last_request = request_id

    def set_delivery_limit(self, seconds: float) -> None:
        """Set how long from now on the caller may take to receive a whole answer."""
        self._request.conn.deliver_until = time.monotonic() + seconds

    def restart_write_limit(self) -> None:
        """Start the limit on waiting for the caller anew, since the upstream was read."""
        self._request.conn.wfile.restart()

    def abort(self) -> None:
        """End an incomplete stream: the connection closes without the last chunk."""
        self._request.is_cut = True
        self._request.chunked_write = False
        self._request.close_connection = True

    def close_after(self) -> None:
        """Close the connection after this answer."""
        self._request.close_connection = True

    def leave_body_unread(self) -> None:
        """Leave the request body unread; if there is one, close the connection after the answer."""
        request = self._request
        if request.chunked_read or getattr(request.rfile, "remaining", 0):
            request.conn.has_unread_input = True
            request.close_connection = True

    def _set_head(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        self.status = status
        self._request.status = f"{status} {_phrase(status)}".encode("latin-1")
        self._request.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
        ]

    def _send_head(self) -> None:
        try:
            self._request.ensure_headers_sent()
        except OSError as error:
            self.abort()
            raise _lost_caller(error) from error

    def _write(self, data: bytes) -> None:
        try:
            self._request.write(data)
        except OSError as error:
            self.abort()
            raise _lost_caller(error) from error


def _lost_caller(error: OSError) -> CallerLeft:
    kind = CallerTooSlow if isinstance(error, TimeoutError) else CallerLeft
    return kind(repr(error))


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"
