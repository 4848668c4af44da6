"""One connection of a caller."""

import socket
import time
from contextlib import suppress
from typing import Any

from redwingscale_common.network.bounded import BoundedReader
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.ingress.caller_delivery import (
    DeliveredRequest,
    DeliveringConnection,
)
from redwingscale_daemon._internal.ingress.caller_reader import CallerIO
from redwingscale_daemon._internal.ingress.pending_writer import PendingWriter
from redwingscale_daemon._internal.ingress.strict_headers import StrictHeaderReader
from redwingscale_daemon._internal.utils.sockets import (
    RESET_ON_CLOSE,
    unread_bytes,
    unsent_bytes,
)

# What the kernel holds for a caller that does not read. It would otherwise grow to some
# MB for each connection. A link of 100 Mbit/s with delays of some ms needs less.
SEND_BUFFER_BYTES = 64 << 10


class _Request(DeliveredRequest):
    header_reader = StrictHeaderReader()

    def respond(self) -> None:
        """Answer the request, and wait for the rest of a refusal to be taken."""
        super().respond()
        if not self.conn.send_rest():
            self.conn.is_answered = False
            self.close_connection = True


class CallerConnection(DeliveringConnection):
    """A connection whose answers are written without waiting for the caller."""

    RequestHandlerClass = _Request
    # The id of the last request, once it is known.
    last_request = "-"
    # Whether anything was read from the connection, and whether it is closed unread.
    was_read = False
    is_turned_away = False

    def communicate(self) -> bool:
        """Handle one request; return whether the connection can be used for another."""
        if not self.was_read and self.server.unread_closes.closes_late(self.socket):
            self.is_turned_away = True
            return False
        self.was_read = True
        return super().communicate()

    def make_file(self, raw: socket.socket, mode: str, size: int) -> Any:
        """Return the reader or the writer of the connection."""
        if "r" in mode:
            return BoundedReader(CallerIO(raw, self.server.timeout, self.server.port_stop), size)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        return PendingWriter(raw)

    def _linger(self) -> None:
        self.send_rest()
        super()._linger()

    def send_rest(self) -> bool:
        """Send what is left of an answer; return whether all was sent.

        That is a refusal, or the last bytes of an answer, which the socket mostly takes at once.
        """
        if self.wfile.pending:
            left = self.deliver_until - time.monotonic()
            with suppress(OSError):
                self.wfile.drain(max(left, self.server.rest_seconds), self.state)
        if not self.wfile.pending:
            return True
        self.wfile.expired = True
        self.wfile.drop()
        return False

    def close(self) -> None:
        """Close the connection; reset it if the caller did not read its answer.

        After an orderly close, the kernel would keep the unread bytes for some minutes.
        """
        if not self.is_turned_away:
            self._log_bytes_at_close()
        if self.wfile.expired:
            with suppress(OSError):
                self.socket.setsockopt(*RESET_ON_CLOSE)
        super().close()

    def _log_bytes_at_close(self) -> None:
        # A close with unread bytes resets the connection, and unsent bytes are lost with it.
        unsent, unread = unsent_bytes(self.socket), unread_bytes(self.socket)
        if unread or self.wfile.expired:
            log_event(
                "closed_with_bytes",
                level="WARNING",
                request=self.last_request,
                unsent=unsent,
                unread=unread,
                reset=self.wfile.expired,
            )
