"""Reads of a caller's connection that end when the port closes."""

import os
import select
import socket
import time
from typing import Any

from redwingscale_common.network.bounded import DeadlineIO

from redwingscale_daemon._internal.ingress.port_stop import PortStop

_MILLISECONDS_PER_SECOND = 1000.0


class CallerIO(DeadlineIO):
    """Ends once the port has closed and no byte of the next request has come.

    Without it a connection that was opened early would bring a request when it can no longer
    be served. One that has begun is read on for as long as it might be.
    """

    def __init__(self, sock: socket.socket, seconds: float, port_stop: PortStop) -> None:
        self._port_stop = port_stop
        self._is_stopping = False
        self._poller = select.poll()
        self._poller.register(sock, select.POLLIN)
        self._poller.register(port_stop.descriptor, select.POLLIN)
        super().__init__(sock, seconds)

    def readinto(self, buffer: Any) -> int | None:
        """Read the bytes that are available, 0 at the end; raises `TimeoutError`, `OSError`."""
        while True:
            remaining = self._deadline - time.monotonic()
            self.expired = remaining <= 0
            if self.expired:
                raise TimeoutError("timed out")
            # The library reads again after the end of the input.
            wait_seconds = 0.0 if self._has_ended else remaining
            ready = dict(self._poller.poll(wait_seconds * _MILLISECONDS_PER_SECOND + 1))
            if self._port_stop.descriptor in ready:
                self._note_stop()
            if self._socket.fileno() in ready:
                count = self._read_now(buffer)
                if count is not None:
                    return count
            elif self._has_ended:
                return 0

    @property
    def _has_ended(self) -> bool:
        return self._is_stopping and not self._request_begun

    def _read_now(self, buffer: Any) -> int | None:
        try:
            count = os.readv(self._socket.fileno(), [buffer])
        except BlockingIOError:
            return None
        self._request_begun = True
        return count

    def _note_stop(self) -> None:
        self._is_stopping = True
        self._poller.unregister(self._port_stop.descriptor)
        self._deadline = min(self._deadline, self._port_stop.read_until)
