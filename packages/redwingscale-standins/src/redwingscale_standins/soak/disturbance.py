"""Tracks when overlapping faults last disturbed a component."""

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager


class Disturbance:
    """Counts the faults in progress."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._faults = 0
        # How many faults have begun.
        self.begun = 0
        self._ended_at = float("-inf")

    @property
    def last_at(self) -> float:
        """The monotonic time when the last fault ended, or now while a fault is in progress."""
        return time.monotonic() if self._faults else self._ended_at

    @contextmanager
    def during(self) -> Iterator[None]:
        """Count a fault while the block runs."""
        with self._lock:
            self._faults += 1
            self.begun += 1
        try:
            yield
        finally:
            with self._lock:
                self._ended_at = time.monotonic()
                self._faults -= 1
