"""Connections that are closed only when the caller has the end of its answer."""

import math
import select
import socket
import time
from contextlib import suppress
from typing import Any

from redwingscale_common.network.bounded import (
    LINGER_SECONDS,
    BoundedConnection,
    BoundedRequest,
)

from redwingscale_daemon._internal.ingress.connection_state import ConnectionState
from redwingscale_daemon._internal.utils.sockets import unread_bytes, unsent_bytes

# How often it is asked what the caller has acknowledged.
POLL_SECONDS = 0.05


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
    # Whether the last request was answered whole, and the monotonic time until which its
    # caller may take the answer.
    is_answered = False
    deliver_until = 0.0

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = None) -> None:
        super().__init__(server, sock, makefile)
        self.state = ConnectionState()

    def communicate(self) -> bool:
        """Handle one request; return whether the connection can be used for another."""
        self.is_answered, self.deliver_until = False, 0.0
        # A port that has closed keeps no connection, also of an answer that began before.
        keep = super().communicate() and bool(self.server.ready)
        if not keep and self.is_answered and not self.has_unread_input:
            await_delivery(self.socket, self.deliver_until, self.state)
        return keep


def await_delivery(
    sock: socket.socket, ends_at: float, state: ConnectionState | None = None
) -> None:
    """End the answer, and wait until the caller has acknowledged all of it, or ``ends_at``.

    A close with unread bytes resets the connection, and so do bytes that arrive after a
    close. The reset drops what the caller has not taken yet, so a caller that has sent more
    gets a short time to close first. Its bytes stay unread: it may send a request again
    only if it was not read. Once this process has ended the connection, a poll no longer tells
    whether the caller has closed.
    """
    state = state or ConnectionState()
    if not unsent_bytes(sock) and not unread_bytes(sock):
        return
    with suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
    acknowledged_at = math.inf
    while time.monotonic() < min(ends_at, state.sends_until):
        if _is_closed(sock) and not state.ended:
            return
        if not unsent_bytes(sock):
            acknowledged_at = min(acknowledged_at, time.monotonic())
            # The caller may not have read yet what it has acknowledged.
            if not unread_bytes(sock) or time.monotonic() > acknowledged_at + LINGER_SECONDS:
                return
        time.sleep(POLL_SECONDS)


def _is_closed(sock: socket.socket) -> bool:
    """Return whether the caller has closed or reset the connection."""
    poller = select.poll()
    poller.register(sock, select.POLLRDHUP)
    return bool(poller.poll(0))
