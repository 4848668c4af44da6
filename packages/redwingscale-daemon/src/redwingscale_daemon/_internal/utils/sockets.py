"""Socket options that several parts set."""

import fcntl
import select
import socket
import struct
import termios

# ``tcpi_last_data_recv`` in ``struct tcp_info`` of <linux/tcp.h>, in milliseconds.
_TCP_INFO_BYTES, _LAST_DATA_RECEIVED_OFFSET = 104, 52
# ``SO_LINGER`` of 0 s: closing resets the connection and drops unsent data.
RESET_ON_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def unsent_bytes(sock: socket.socket) -> int | None:
    """Return how many written bytes the other end has not acknowledged, None if unknown."""
    return _count(sock, termios.TIOCOUTQ)


def unread_bytes(sock: socket.socket) -> int | None:
    """Return how many bytes have arrived that were not read, None if unknown."""
    return _count(sock, termios.FIONREAD)


def seconds_since_data(sock: socket.socket) -> float:
    """Return how long ago the last bytes arrived, 0 if unknown."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
        (milliseconds,) = struct.unpack_from("I", info, _LAST_DATA_RECEIVED_OFFSET)
    except (OSError, struct.error):
        return 0.0
    return float(milliseconds) / 1000.0


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
