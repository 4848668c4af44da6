"""When a call that the store has failed may be tried again."""

import random
import time

FIRST_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 1.0
GROWTH_FACTOR = 2.0
# Of each pause, the part that is drawn: instances that the store turned away at the
# same moment would else all come back at the same moment, for as long as it lasts.
RANDOM_FRACTION = 0.5


class Backoff:
    """Pauses that grow with each failure and end with the first answer.

    Hundreds of instances that ask a store that is away at a fixed rate are most of its
    load, and each refused call counts. It is back in use a second after its return at
    the latest, which is well within what an instance may take to be in touch again.

    With ``immediate_first_retry`` the first retry has no pause: most often a kept
    connection has gone silent, and a new one is answered in milliseconds.
    """

    def __init__(self, *, immediate_first_retry: bool = False) -> None:
        self._first_pause = 0.0 if immediate_first_retry else FIRST_PAUSE_SECONDS
        self._pause = self._first_pause
        self._retry_at = float("-inf")
        # Not for secrets: it only spreads calls.
        self._random = random.Random()

    @property
    def due(self) -> bool:
        """Whether a call may be tried now."""
        return time.monotonic() >= self._retry_at

    def note_failure(self) -> float:
        """Note a failure; return the seconds until the next try."""
        pause = self._pause * (1.0 - RANDOM_FRACTION * self._random.random())
        self._pause = min(MAX_PAUSE_SECONDS, max(FIRST_PAUSE_SECONDS, self._pause * GROWTH_FACTOR))
        self._retry_at = time.monotonic() + pause
        return pause

    def note_answer(self) -> None:
        """Note an answer."""
        self._pause = self._first_pause
        self._retry_at = float("-inf")
