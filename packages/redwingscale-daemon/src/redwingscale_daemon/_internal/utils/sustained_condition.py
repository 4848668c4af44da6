"""Whether something has been so for a while."""

import time


class SustainedCondition:
    """Tells what has been true at each look for ``seconds``."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._since: float | None = None

    def update(self, now_true: bool) -> bool:
        """Note how it is now; return whether it has been true for long enough."""
        if not now_true:
            self._since = None
            return False
        now = time.monotonic()
        if self._since is None:
            self._since = now
        return now - self._since >= self._seconds
