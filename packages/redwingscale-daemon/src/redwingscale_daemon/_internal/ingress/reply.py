"""The answer to one request of a caller."""

import time
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

from redwingscale_daemon._internal.exceptions import CallerLeft
from redwingscale_daemon._internal.ingress.held_bytes import HeldBytes

_CONTENT_LENGTH = b"Content-Length"
_LAST_CHUNK = b"0\r\n\r\n"


class Reply:
    """Writes one answer: a complete one, or a stream that ends or is aborted.

    No write waits for the caller. What its socket does not take is kept, counted by ``held``,
    until `send_unwritten`.
    """

    def __init__(self, server_request: Any, held: HeldBytes) -> None:
        self._request = server_request
        self._held = held
        self._writer = server_request.conn.wfile
        self._writer.count_with(held)
        self.status = 0
        # Asked as the head is sent: whether the connection is closed after this answer.
        self.closes: Callable[[], bool] = lambda: False

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
            self._write(body)

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

    @property
    def unwritten(self) -> int:
        """Bytes of the answer that the caller's socket has not taken."""
        return int(self._writer.pending)

    def send_unwritten(self) -> None:
        """Send what the caller's socket takes now; raise `CallerLeft`."""
        try:
            self._writer.send_pending()
        except OSError as error:
            self.abort()
            raise CallerLeft(repr(error)) from error

    def take_room(self, count: int) -> bool:
        """Return whether ``count`` more bytes of the answer may be read now, and reserve them."""
        return self._held.take_room(count)

    def end(self) -> None:
        """Write the end of an answer whose caller is waited for; raise `CallerLeft`.

        Otherwise the server writes it, once the request was counted.
        """
        if self.unwritten and self._request.chunked_write:
            self._request.chunked_write = False
            self._write(_LAST_CHUNK)

    def abort(self) -> None:
        """End an incomplete stream: the connection closes without the last chunk."""
        self._request.is_cut = True
        self._request.chunked_write = False
        self._request.close_connection = True

    def drop_unwritten(self) -> None:
        """Abort the answer and send nothing more of it; the connection is reset."""
        if self.unwritten:
            self._writer.expired = True
            self._writer.drop()
        self.abort()

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
        if self.closes():
            self.close_after()
        self._request.status = f"{status} {_phrase(status)}".encode("latin-1")
        self._request.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
        ]

    def _send_head(self) -> None:
        try:
            self._request.ensure_headers_sent()
        except OSError as error:
            self.abort()
            raise CallerLeft(repr(error)) from error

    def _write(self, data: bytes) -> None:
        try:
            self._request.write(data)
        except OSError as error:
            self.abort()
            raise CallerLeft(repr(error)) from error


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"
