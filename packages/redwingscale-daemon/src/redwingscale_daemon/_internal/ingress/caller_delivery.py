"""Connections that are closed only when the caller has the end of its answer."""

import socket
import time
from contextlib import suppress

from redwingscale_common.network.bounded import (
    LINGER_READ_BYTES,
    LINGER_SECONDS,
    BoundedConnection,
    BoundedRequest,
)

from redwingscale_daemon._internal.utils.sockets import unread_bytes, unsent_bytes

# How often it is asked what the caller has acknowledged.
POLL_SECONDS = 0.05
# A caller that takes no byte for this long is not waited for.
STALL_SECONDS = 2.5


class DeliveredRequest(BoundedRequest):
    """A request that tells its connection whether it was answered whole."""

    # Whether the answer was given up before its end.
    is_cut = False

    def respond(self) -> None:
        """Answer the request."""
        super().respond()
        self.conn.is_answered = not self.is_cut


class DeliveringConnection(BoundedConnection):
    """A connection that waits for the caller to take a whole answer before it is closed."""

    RequestHandlerClass = DeliveredRequest
    # Whether the last request was answered whole.
    is_answered = False

    def communicate(self) -> bool:
        """Handle one request; return whether the connection can be used for another."""
        self.is_answered = False
        keep = super().communicate()
        if not keep and self.is_answered and not self.has_unread_input:
            await_delivery(self.socket, self.server.timeout)
        return keep


def await_delivery(sock: socket.socket, longest_seconds: float) -> None:
    """End the answer, and read and discard until the caller has it or closes.

    A close with unread bytes resets the connection, and so do bytes that arrive after a
    close. The reset drops what the caller has not taken yet, so the connection stays open
    while the caller takes bytes, at most ``longest_seconds``. A caller that has sent more
    gets a short time to close first.
    """
    unsent = unsent_bytes(sock)
    sends_on = bool(unread_bytes(sock))
    if unsent == 0 and not sends_on:
        return
    moved_at = time.monotonic()
    ends_at = moved_at + longest_seconds
    with suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
        sock.settimeout(POLL_SECONDS)
        while time.monotonic() < min(ends_at, moved_at + _patience(unsent)):
            try:
                if not sock.recv(LINGER_READ_BYTES):
                    return
                sends_on = True
            except TimeoutError:
                pass
            before, unsent = unsent, unsent_bytes(sock)
            if unsent == 0 and not sends_on:
                return
            if unsent != before:
                moved_at = time.monotonic()


def _patience(unsent: int | None) -> float:
    return STALL_SECONDS if unsent else LINGER_SECONDS
