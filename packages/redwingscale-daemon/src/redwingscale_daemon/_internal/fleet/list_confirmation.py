"""Waits for a list of upstreams that is not older than a request."""

import math
import threading
import time

# The list is read within 0.1 s of the request for it, and the store mostly answers within a few
# milliseconds.
CONFIRM_SECONDS = 0.4


class ListConfirmation:
    """Has the list read again for those who must know all that was listed until now.

    The age of the list does not tell that: updates may have waited on their way, and an upstream
    may have been listed since. All who wait at the same time share one read.
    """

    def __init__(self) -> None:
        self._condition = threading.Condition()
        # Monotonic times of the newest request, and of the begin of the read that the list is from.
        self._wanted_at = self._read_at = -math.inf

    @property
    def wanted(self) -> bool:
        """Whether somebody waits for a read that has not been answered."""
        return self._wanted_at > max(self._read_at, time.monotonic() - CONFIRM_SECONDS)

    def note_read(self, begun_at: float) -> None:
        """Note that the list is in use that was read from ``begun_at`` on."""
        with self._condition:
            self._read_at = max(self._read_at, begun_at)
            self._condition.notify_all()

    def wait(self, seconds: float) -> None:
        """Return once a further list is in use, or after ``seconds``."""
        with self._condition:
            before = self._read_at
            self._condition.wait_for(lambda: self._read_at > before, seconds)

    def confirm(self) -> bool:
        """Return whether a list that is read from now on is in use within `CONFIRM_SECONDS`."""
        with self._condition:
            now = self._wanted_at = time.monotonic()
            return self._condition.wait_for(lambda: self._read_at >= now, CONFIRM_SECONDS)
