"""When a call that the store has failed may be tried again."""

import random
import time

FIRST_SECONDS = 0.25
MOST_SECONDS = 1.0
GROWTH = 2.0
# Of each pause, the part that is drawn: instances that the store turned away at the
# same moment would else all come back at the same moment, for as long as it lasts.
DRAWN_PART = 0.5


class Backoff:
    """Pauses that grow with each failure and end with the first answer.

    Hundreds of instances that ask a store that is away at a fixed rate are most of its
    load, and each refused call counts. It is back in use a second after its return at
    the latest, which is well within what an instance may take to be in touch again.

    With ``first_at_once`` the first failure is followed by the next try: most often a kept
    connection has gone silent, and a new one is answered in milliseconds.
    """

    def __init__(self, *, first_at_once: bool = False) -> None:
        self._first_pause = 0.0 if first_at_once else FIRST_SECONDS
        self._pause = self._first_pause
        self._retry_at = float("-inf")
        # Not for secrets: it only spreads calls.
        self._random = random.Random()

    @property
    def due(self) -> bool:
        """Whether a call may be tried now."""
        return time.monotonic() >= self._retry_at

    def failed(self) -> float:
        """Note a failure; return the seconds until the next try."""
        pause = self._pause * (1.0 - DRAWN_PART * self._random.random())
        self._pause = min(MOST_SECONDS, max(FIRST_SECONDS, self._pause * GROWTH))
        self._retry_at = time.monotonic() + pause
        return pause

    def answered(self) -> None:
        """Note an answer."""
        self._pause = self._first_pause
        self._retry_at = float("-inf")
