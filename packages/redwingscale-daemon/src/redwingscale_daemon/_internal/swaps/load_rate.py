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
    """Counts the loads of a window; all loads pass one order giver.

    A new giver doesn't know what the one before has begun: it starts with a
    full window and grants loads only as these fade.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._begun: deque[float] = deque()

    def fill(self, ceiling: LoadCeiling) -> None:
        """Act as if a full window of loads had begun now."""
        now = time.monotonic()
        with self._lock:
            self._begun.extend([now] * int(ceiling.per_second * ceiling.window_seconds))

    def free(self, ceiling: LoadCeiling) -> bool:
        """Return whether one more load may begin now."""
        now = time.monotonic()
        with self._lock:
            while self._begun and self._begun[0] < now - ceiling.window_seconds:
                self._begun.popleft()
            return len(self._begun) + 1 <= ceiling.per_second * ceiling.window_seconds

    def begin(self) -> None:
        """Count a load."""
        with self._lock:
            self._begun.append(time.monotonic())
