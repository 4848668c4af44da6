"""Writes to a caller without waiting for it."""

import os
import select
import socket
import time

from redwingscale_daemon._internal.ingress.connection_state import ConnectionState
from redwingscale_daemon._internal.ingress.held_bytes import HeldBytes

# At most this much is passed to one call, of which the socket takes at most its own buffer.
_SEND_BYTES = 64 << 10
_MILLISECONDS_PER_SECOND = 1000.0


class PendingWriter:
    """Keeps the bytes that the caller's socket does not take, and sends them once it does.

    Stands in for the server's `StreamWriter`, whose writes wait for the caller: its thread
    would leave the upstream unread meanwhile. Used by the thread of one connection. ``sock``
    has a timeout, so its descriptor does not block.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._pending = bytearray()
        self._held: HeldBytes | None = None
        self.bytes_written = 0
        # Whether bytes were dropped that the caller did not take in time.
        self.expired = False

    @property
    def pending(self) -> int:
        """Bytes that were written and not yet taken by the socket."""
        return len(self._pending)

    def count_with(self, held: HeldBytes | None) -> None:
        """Count pending bytes with ``held`` from now on."""
        self._held = held

    def write(self, data: bytes) -> int:
        """Send what the socket takes now and keep the rest; raises `OSError`."""
        self.bytes_written += len(data)
        sent = 0 if self._pending else self._send(data)
        if sent < len(data):
            self._pending += memoryview(data)[sent:]
            self._count()
        return len(data)

    def send_pending(self) -> None:
        """Send the pending bytes that the socket takes now; raises `OSError`."""
        while self._pending:
            sent = self._send(bytes(self._pending[:_SEND_BYTES]))
            del self._pending[:sent]
            if sent < _SEND_BYTES:
                break
        self._count()

    def drain(self, seconds: float, state: ConnectionState | None = None) -> None:
        """Wait up to ``seconds`` until nothing is pending; raises `OSError`.

        A connection that this process ends looks like one that the caller has closed.
        """
        state = state or ConnectionState()
        ends_at = time.monotonic() + seconds
        poller = select.poll()
        poller.register(self._socket, select.POLLOUT | select.POLLRDHUP)
        while self._pending and (left := min(ends_at, state.sends_until) - time.monotonic()) > 0:
            for _, events in poller.poll(left * _MILLISECONDS_PER_SECOND + 1):
                if events & select.POLLRDHUP and state.ended:
                    poller.modify(self._socket, select.POLLOUT)
                elif events & (select.POLLRDHUP | select.POLLHUP):
                    raise ConnectionAbortedError("the caller closed its connection")
                self.send_pending()

    def drop(self) -> None:
        """Drop the pending bytes: the rest of the answer is not sent."""
        self._pending.clear()
        self._count()

    def _send(self, data: bytes) -> int:
        try:
            # A send of the socket object would wait for the caller, up to its timeout.
            return os.write(self._socket.fileno(), data)
        except BlockingIOError:
            return 0

    def _count(self) -> None:
        if self._held is not None:
            self._held.set_unwritten(len(self._pending))
