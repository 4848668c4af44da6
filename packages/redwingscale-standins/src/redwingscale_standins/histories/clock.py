"""A fake clock that is advanced explicitly and runs scheduled actions."""

import heapq
import itertools
from collections.abc import Callable


class FakeClock:
    """Seconds since the start of a history."""

    def __init__(self) -> None:
        self._count = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self.now = 0.0

    def read(self) -> float:
        """Return the current time in seconds."""
        return self.now

    def call_later(self, seconds: float, action: Callable[[], None]) -> None:
        """Run ``action`` when the clock has advanced by ``seconds``."""
        heapq.heappush(self._due, (self.now + seconds, next(self._count), action))

    def advance(self, seconds: float) -> None:
        """Advance the clock, running due actions in the order of their times."""
        end = self.now + seconds
        while self._due and self._due[0][0] <= end:
            at, _, action = heapq.heappop(self._due)
            self.now = max(self.now, at)
            action()
        self.now = max(self.now, end)
