"""A silent connection that is kept open while another one is waited for."""

import math
import select
import socket
import time
from collections.abc import Container

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import FirstUpstreamResumed

_EVENTS = select.POLLIN | select.POLLHUP | select.POLLERR
# Bytes beyond these are not looked at; so many without an end are taken for an event.
_PEEKED_BYTES = 16 << 10
# How often the rest of an event is looked for: its first bytes keep the socket readable.
_REST_SECONDS = 0.02
# The end of an event, or of the head of an answer.
_ENDS = (b"\n\n", b"\r\n\r\n")


class Standby:
    """Looks at the bytes of a silent connection without reading them.

    A whole event, or the head of a successful answer, shows that the upstream goes on, and
    ``in_body`` of an answer that is no stream each byte does. A failure, a part of an event
    and a broken connection do not: they are read once nothing else is waited for.
    """

    def __init__(self, silent: socket.socket, *, in_body: bool = False) -> None:
        self._socket = silent
        self._in_body = in_body
        self._is_watched = True
        # Monotonic time of the next look at a part of an event, infinite without one.
        self.look_at = math.inf

    def register(self, poller: select.poll) -> None:
        """Let ``poller`` tell when the connection has bytes, unless it already has some."""
        if self._is_watched and self.look_at == math.inf:
            poller.register(self._socket, _EVENTS)

    def is_due(self, ready: Container[int]) -> bool:
        """Return whether to look at the connection, given the descriptors with events."""
        return self._is_watched and (
            self._socket.fileno() in ready or time.monotonic() >= self.look_at
        )

    def look(self) -> None:
        """Raise `FirstUpstreamResumed` if the upstream goes on; leave a failed one alone."""
        try:
            data = self._socket.recv(_PEEKED_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError as error:
            self._leave(repr(error))
            return
        if not data:
            self._leave("closed")
        elif self._in_body:
            raise FirstUpstreamResumed("the silent upstream goes on with its body")
        elif not any(end in data for end in _ENDS) and len(data) < _PEEKED_BYTES:
            self.look_at = time.monotonic() + _REST_SECONDS
        elif data.startswith(b"HTTP/") and data.split(b" ", 1)[1][:1] != b"2":
            self._leave("failed")
        else:
            raise FirstUpstreamResumed("the silent upstream goes on")

    def _leave(self, reason: str) -> None:
        log_event("silent_connection_left", reason=reason)
        self._is_watched, self.look_at = False, math.inf
