"""Since when something has been left alone by overlapping faults."""

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager


class Disturbance:
    """Counts the faults that are under way."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._faults = 0
        self._ended_at = float("-inf")

    @property
    def at(self) -> float:
        """The monotonic time of the last moment with a fault; now, while one lasts."""
        return time.monotonic() if self._faults else self._ended_at

    @contextmanager
    def during(self) -> Iterator[None]:
        """Count a fault for as long as the block runs."""
        with self._lock:
            self._faults += 1
        try:
            yield
        finally:
            with self._lock:
                self._ended_at = time.monotonic()
                self._faults -= 1
