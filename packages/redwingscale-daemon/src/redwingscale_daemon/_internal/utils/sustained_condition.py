"""Tracks for how long a condition has been true."""

import time


class SustainedCondition:
    """A condition that is sustained once it was true at each check for ``seconds``."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._since: float | None = None

    def update(self, now_true: bool) -> bool:
        """Record whether it is true now; return whether it is sustained."""
        if not now_true:
            self._since = None
            return False
        now = time.monotonic()
        if self._since is None:
            self._since = now
        return now - self._since >= self._seconds
