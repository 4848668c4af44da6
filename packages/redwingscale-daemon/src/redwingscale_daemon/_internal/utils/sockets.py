"""Socket options that several parts set."""

import fcntl
import select
import socket
import struct
import termios

# ``SO_LINGER`` of 0 s: closing resets the connection and drops unsent data.
RESET_ON_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def unsent_bytes(sock: socket.socket) -> int | None:
    """Return how many written bytes the other end has not acknowledged, None if unknown."""
    return _count(sock, termios.TIOCOUTQ)


def unread_bytes(sock: socket.socket) -> int | None:
    """Return how many bytes have arrived that were not read, None if unknown."""
    return _count(sock, termios.FIONREAD)


def is_closed(sock: socket.socket) -> bool:
    """Return whether the other end has closed or reset the connection."""
    poller = select.poll()
    poller.register(sock, select.POLLRDHUP)
    return bool(poller.poll(0))


def _count(sock: socket.socket, request: int) -> int | None:
    try:
        (count,) = struct.unpack("i", fcntl.ioctl(sock, request, bytes(4)))
    except OSError:
        # Closed, or a kind of socket that does not tell.
        return None
    return int(count)
