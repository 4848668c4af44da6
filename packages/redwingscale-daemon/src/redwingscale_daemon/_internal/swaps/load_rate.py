"""How many loads from the weight store may begin."""

import threading
import time
from collections import deque
from typing import NamedTuple


class LoadCeiling(NamedTuple):
    """In any window, over all workers."""

    per_second: float
    window_seconds: float


class LoadRate:
    """Counts the loads of a window; all loads pass one order giver."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._started_at: deque[float] = deque()

    def assume_full_window(self, ceiling: LoadCeiling, handover_pause_seconds: float) -> None:
        """Act as if the giver before had begun a full window of loads at its end.

        A new giver doesn't know what loads are under way: granting a window of
        its own at once, the two would take twice what the weight store allows.
        """
        ended = time.monotonic() - handover_pause_seconds
        with self._lock:
            self._started_at.extend([ended] * int(ceiling.per_second * ceiling.window_seconds))

    def allows_load(self, ceiling: LoadCeiling) -> bool:
        """Return whether one more load may begin now."""
        now = time.monotonic()
        with self._lock:
            while self._started_at and self._started_at[0] < now - ceiling.window_seconds:
                self._started_at.popleft()
            return len(self._started_at) + 1 <= ceiling.per_second * ceiling.window_seconds

    def count_load(self) -> None:
        """Count a load."""
        with self._lock:
            self._started_at.append(time.monotonic())
