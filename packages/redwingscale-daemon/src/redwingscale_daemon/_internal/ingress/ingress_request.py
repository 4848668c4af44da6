"""One request of a caller, as it came."""

import socket
from typing import NamedTuple

Headers = tuple[tuple[str, str], ...]


class IngressRequest(NamedTuple):
    """``target`` is the request target byte for byte; ``body`` is whole.

    ``arrived_at`` is the monotonic time at which the head had been read. The
    ``socket`` is the caller's: it tells when the caller has left.
    """

    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    arrived_at: float
    socket: socket.socket

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]
