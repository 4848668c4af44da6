"""The heartbeat number of this instance."""

import threading
import time

HEARTBEAT_NUMBERS_PER_SECOND = 10
# Heartbeats count from here, so that they stay within 32 bits until 2038.
EPOCH_SECONDS = 1_735_689_600


class HeartbeatClock:
    """A number that rises by `HEARTBEAT_NUMBERS_PER_SECOND`, also across restarts.

    It starts from the wall clock and goes on by the monotonic one, so that a
    restarted instance continues above its former heartbeats. Where the wall clock
    was set back, peers would take the heartbeats for old ones and the instance for
    dead; they then tell it their newest heartbeat, and `raise_above` jumps past it.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        wall = time.time() - EPOCH_SECONDS
        self._offset = wall - time.monotonic()

    def now(self) -> int:
        """Return the heartbeat of this moment."""
        return int((time.monotonic() + self._offset) * HEARTBEAT_NUMBERS_PER_SECOND)

    def raise_above(self, heartbeat: int) -> None:
        """Go on above ``heartbeat`` when a peer has seen a higher one than this clock gives."""
        with self._lock:
            ahead = heartbeat + 1 - self.now()
            if ahead > 1:
                self._offset += ahead / HEARTBEAT_NUMBERS_PER_SECOND
