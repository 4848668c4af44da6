"""The heartbeat number of this instance."""

import threading
import time

BEATS_PER_SECOND = 10
# Beats count from here, so that they stay within 32 bits until 2038.
EPOCH_SECONDS = 1_735_689_600


class HeartbeatClock:
    """A number that rises by `BEATS_PER_SECOND`, also across restarts.

    It starts from the wall clock and goes on by the monotonic one, so that a
    restarted instance continues above its former beats. Where the wall clock
    was set back, peers would take the beats for old ones and the instance for
    dead; they then tell it their newest beat, and `raise_above` jumps past it.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        wall = time.time() - EPOCH_SECONDS
        self._offset = wall - time.monotonic()

    def now(self) -> int:
        """Return the beat of this moment."""
        return int((time.monotonic() + self._offset) * BEATS_PER_SECOND)

    def raise_above(self, beat: int) -> None:
        """Go on above ``beat`` when a peer has seen a higher one than this clock gives."""
        with self._lock:
            ahead = beat + 1 - self.now()
            if ahead > 1:
                self._offset += ahead / BEATS_PER_SECOND
