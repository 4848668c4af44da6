"""The clock that gives the heartbeat numbers of this instance."""

import threading
import time

HEARTBEAT_NUMBERS_PER_SECOND = 10
# Numbers count from this Unix time, so that they stay within 32 bits until 2038.
EPOCH_SECONDS = 1_735_689_600


class HeartbeatClock:
    """A number that rises by `HEARTBEAT_NUMBERS_PER_SECOND`, also across restarts.

    It starts from the wall clock and continues by the monotonic clock, so a
    restarted instance continues above its former heartbeats. If the wall clock
    was set back, peers take the heartbeats for old ones and the instance for
    dead. They acknowledge the highest heartbeat that they received, and
    `raise_above` moves the clock past it.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        wall = time.time() - EPOCH_SECONDS
        self._offset = wall - time.monotonic()

    def now(self) -> int:
        """Return the current heartbeat number."""
        return int((time.monotonic() + self._offset) * HEARTBEAT_NUMBERS_PER_SECOND)

    def raise_above(self, heartbeat: int) -> None:
        """Continue above ``heartbeat`` if a peer has received a higher one than `now`."""
        with self._lock:
            ahead = heartbeat + 1 - self.now()
            if ahead > 1:
                self._offset += ahead / HEARTBEAT_NUMBERS_PER_SECOND
