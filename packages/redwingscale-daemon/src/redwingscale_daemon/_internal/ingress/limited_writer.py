"""Writes to a caller that may not read."""

import socket
import time
from typing import Any

from cheroot.makefile import StreamWriter

# An upstream cuts off a response that stays unread for some seconds. The stream of a slow
# caller is ended before that, so that the upstream aborts the run at once and the end
# is not taken for a failure of the upstream.
CALLER_WRITE_SECONDS = 2.5


class _LimitedIO(socket.SocketIO):
    """Writes to a socket; all waits since `restart` together last at most ``seconds``."""

    def __init__(self, sock: socket.socket, seconds: float) -> None:
        super().__init__(sock, "wb")
        self._socket = sock
        self._seconds = seconds
        self._left = seconds
        self.expired = False

    def restart(self) -> None:
        """Allow ``seconds`` of waiting from now on, unless the limit was exceeded before."""
        self._left = self._seconds

    def write(self, data: Any) -> int | None:
        """Write what the socket takes; raise `TimeoutError` once no waiting time is left."""
        if self.expired:
            raise TimeoutError("the caller did not read before")
        timeout = self._socket.gettimeout()
        began = time.monotonic()
        self._socket.settimeout(max(self._left, 0.001))
        try:
            return super().write(data)
        except TimeoutError:
            self.expired = True
            raise
        finally:
            self._left -= time.monotonic() - began
            self._socket.settimeout(timeout)


class LimitedWriter(StreamWriter):
    """The server's `StreamWriter` with a limit on the time that a caller may make it wait.

    The server's own timeout starts anew with each send. A caller that reads a little now
    and then would block the thread, and leave the upstream unread, for any time.
    """

    def __init__(self, sock: socket.socket, seconds: float, buffer_bytes: int) -> None:
        self._limited = _LimitedIO(sock, seconds)
        super(StreamWriter, self).__init__(self._limited, buffer_bytes)
        self.bytes_written = 0

    def restart(self) -> None:
        """Start the limit anew: the upstream was read, or another part of a whole answer follows."""
        self._limited.restart()

    @property
    def expired(self) -> bool:
        """Whether the limit was exceeded, after which nothing more is written."""
        return self._limited.expired
