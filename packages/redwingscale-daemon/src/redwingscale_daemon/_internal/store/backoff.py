"""Pauses between retries of a failed call to the store."""

import random
import time

FIRST_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 1.0
GROWTH_FACTOR = 2.0
# Random fraction of each pause (jitter). Without it, instances that the store refused at
# the same moment would all retry at the same moment, for as long as the store is down.
RANDOM_FRACTION = 0.5


class Backoff:
    """Pauses that grow with each failure, and are reset by the first answer.

    Hundreds of instances that call an unavailable store at a fixed rate would be most of
    its load, since each refused call counts too. With the longest pause, the store is in
    use again at most 1 s after it has recovered, well within the time that an instance
    may take to reach it again.

    With ``immediate_first_retry`` the first retry has no pause: in most cases a kept
    connection has gone silent, and a new one is answered within milliseconds.
    """

    def __init__(self, *, immediate_first_retry: bool = False) -> None:
        self._first_pause = 0.0 if immediate_first_retry else FIRST_PAUSE_SECONDS
        self._pause = self._first_pause
        self._retry_at = float("-inf")
        # Not used for secrets, only to spread calls.
        self._random = random.Random()

    @property
    def due(self) -> bool:
        """Whether a call may be made now."""
        return time.monotonic() >= self._retry_at

    def note_failure(self) -> float:
        """Note a failure; return the seconds until the next retry."""
        pause = self._pause * (1.0 - RANDOM_FRACTION * self._random.random())
        self._pause = min(MAX_PAUSE_SECONDS, max(FIRST_PAUSE_SECONDS, self._pause * GROWTH_FACTOR))
        self._retry_at = time.monotonic() + pause
        return pause

    def note_answer(self) -> None:
        """Note an answer, which resets the pause."""
        self._pause = self._first_pause
        self._retry_at = float("-inf")
