"""One request of a caller, as received."""

import socket
from typing import NamedTuple

from redwingscale_daemon._internal.ingress.byte_budget import ByteBudget
from redwingscale_daemon._internal.ingress.connection_state import ConnectionState
from redwingscale_daemon._internal.ingress.held_bytes import HeldBytes

Headers = tuple[tuple[str, str], ...]


class IngressRequest(NamedTuple):
    """A request; ``target`` is kept byte for byte.

    ``arrived_at`` is the monotonic time after the head was read, ``arrived_on_lease_clock``
    the same time by `lease_clock`, which deadlines are counted by. ``socket`` is the
    caller's connection, on which a disconnect of the caller is seen. ``held`` has the
    body and counts the bytes that the instance holds for the request. ``connection`` is
    shared by all requests of a connection.
    """

    method: str
    target: str
    host: str
    headers: Headers
    arrived_at: float
    socket: socket.socket
    arrived_on_lease_clock: float = 0.0
    held: HeldBytes = HeldBytes(ByteBudget())
    connection: ConnectionState = ConnectionState()

    @property
    def body(self) -> bytes:
        """The whole body, empty until it is read; only for the time of the request."""
        return self.held.body

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition("?")[0]
