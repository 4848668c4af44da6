"""Servers that go on while none can be accepted, and close no connection with a request."""

import errno
import select
import time
from typing import Any

from cheroot import wsgi
from cheroot.connections import ConnectionManager
from cheroot.server import HTTPServer

from redwingscale_common.utils.logs import log_event

# Errors of accept() for want of descriptors or memory: the connection waits in the queue.
_NO_ROOM = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# Without a pause the thread would try again at once, and take the time in which others end.
ACCEPT_PAUSE_SECONDS = 0.05
# How long a port that closes accepts what is in its queue: the rest is reset. Requests that end
# meanwhile make room where no descriptor is left.
LAST_ACCEPTS_SECONDS = 0.5
# At most one log line in this time.
LOG_SECONDS = 5.0


class _Connections(ConnectionManager):
    """Closes expired connections, also while no further one can be accepted.

    An error of accept() ends the library's loop, which begins anew without having looked for
    expired connections: those that use up the descriptors would never be closed. The library
    also closes those whose next request came since it last looked, unread.
    """

    _selector: Any

    def __init__(self, server: Any) -> None:
        super().__init__(server)
        self._logged_at = float("-inf")

    def _from_server_socket(self, server_socket: Any) -> Any:
        try:
            return super()._from_server_socket(server_socket)  # type: ignore[misc]
        except OSError as error:
            if error.errno not in _NO_ROOM:
                raise
            if time.monotonic() - self._logged_at > LOG_SECONDS:
                self._logged_at = time.monotonic()
                log_event("not_accepted", level="WARNING", error=error)
            time.sleep(ACCEPT_PAUSE_SECONDS)
            return None

    def stop(self) -> None:
        """End the loop, and serve the connections that were established before.

        The library closes the port with connections in its queue, which resets them, and closes
        idle ones whose next request has come.
        """
        super().stop()
        listener = self.server.socket
        listener.setblocking(False)
        ends_at = time.monotonic() + LAST_ACCEPTS_SECONDS
        # No connection may also mean that none could be accepted now.
        while _is_readable(listener.fileno()) and time.monotonic() < ends_at:
            if (connection := self._from_server_socket(listener)) is not None:
                self.server.process_conn(connection)

    def close(self) -> None:
        """Close all idle connections, and serve those whose next request has come."""
        for descriptor, connection in self._selector.connections:
            if connection is self.server:
                continue
            if _is_readable(descriptor):
                self.server.process_conn(connection)
            else:
                connection.close()
        self._selector.close()

    def _expire(self, threshold: float) -> None:
        expired = [
            (descriptor, connection)
            for descriptor, connection in self._selector.connections
            if connection is not self.server and connection.last_used < threshold
        ]
        for descriptor, connection in expired:
            self._selector.unregister(descriptor)
            if _is_readable(descriptor):
                self.server.process_conn(connection)
            else:
                connection.close()


def _is_readable(descriptor: int) -> bool:
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def _replace_connections(server: Any) -> None:
    replaced, server._connections = server._connections, _Connections(server)
    replaced._selector.close()


class AcceptingServer(HTTPServer):
    """The library's server with such connections."""

    def prepare(self) -> None:
        """Bind the address and start the threads."""
        super().prepare()
        _replace_connections(self)


class AcceptingWsgiServer(wsgi.Server):
    """The library's server of an application, with such connections."""

    def prepare(self) -> None:
        """Bind the address and start the threads."""
        super().prepare()
        _replace_connections(self)
