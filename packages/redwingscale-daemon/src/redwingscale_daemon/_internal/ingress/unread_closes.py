"""Closes new connections unread while this instance is busier than the others."""

import socket
import threading
import time
from collections import Counter
from collections.abc import Callable

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.utils.sockets import seconds_since_data, unread_bytes

# A request that has waited for longer in the queue is late already, and its caller may leave.
MAX_UNREAD_SECONDS = 0.3
LOG_SECONDS = 1.0


class UnreadCloses:
    """Decides whether a new connection is closed before anything is read from it.

    A caller whose request was not read may send it again at once, whatever it does, and its next
    connection may reach another instance. ``is_uneven`` returns whether the others have room;
    where they have none, a refusal that names a time is better. ``count`` is called with "full"
    or "late" for each connection that is closed.
    """

    def __init__(
        self,
        is_uneven: Callable[[], bool] = lambda: False,
        count: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._is_uneven, self._count = is_uneven, count
        self._lock = threading.Lock()
        self._closed: Counter[str] = Counter()
        self._logged_at = float("-inf")

    def closes_full(self) -> bool:
        """Return whether a connection is closed that finds no thread."""
        return self._is_uneven() and self._note("full")

    def closes_late(self, sock: socket.socket) -> bool:
        """Return whether a connection is closed since its request has waited for too long."""
        waited = seconds_since_data(sock) if unread_bytes(sock) else 0.0
        return waited > MAX_UNREAD_SECONDS and self._is_uneven() and self._note("late")

    def _note(self, reason: str) -> bool:
        self._count(reason)
        with self._lock:
            self._closed[reason] += 1
            now = time.monotonic()
            if now - self._logged_at < LOG_SECONDS:
                return True
            closed, self._closed = self._closed, Counter()
            self._logged_at = now
        log_event("closed_unread", level="WARNING", full=closed["full"], late=closed["late"])
        return True
