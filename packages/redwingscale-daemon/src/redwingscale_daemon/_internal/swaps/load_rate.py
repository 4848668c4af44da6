"""Limits how many loads from the weight store may start."""

import threading
import time
from collections import deque
from typing import NamedTuple


class LoadCeiling(NamedTuple):
    """The rate that loads of all workers together must not exceed in any window."""

    per_second: float
    window_seconds: float


class LoadRate:
    """Counts the loads in a window; all loads are ordered by one leader."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._started_at: deque[float] = deque()

    def assume_full_window(self, ceiling: LoadCeiling, handover_pause_seconds: float) -> None:
        """Assume that the former leader started a full window of loads just before it ended.

        A new leader does not know which loads are in flight. If it allowed a full window of its
        own at once, both together could take twice what the weight store allows.
        """
        ended = time.monotonic() - handover_pause_seconds
        with self._lock:
            self._started_at.extend([ended] * int(ceiling.per_second * ceiling.window_seconds))

    def allows_load(self, ceiling: LoadCeiling) -> bool:
        """Return whether one more load may start now."""
        now = time.monotonic()
        with self._lock:
            while self._started_at and self._started_at[0] < now - ceiling.window_seconds:
                self._started_at.popleft()
            return len(self._started_at) + 1 <= ceiling.per_second * ceiling.window_seconds

    def count_load(self) -> None:
        """Count a load that starts now."""
        with self._lock:
            self._started_at.append(time.monotonic())
