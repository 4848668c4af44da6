"""How many requests this instance has running at each upstream."""

import threading
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager


class InFlight:
    """Counts by upstream id."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()

    @contextmanager
    def at(self, upstream: str) -> Iterator[None]:
        """Count one request at ``upstream`` for the time of the block."""
        with self._lock:
            self._counts[upstream] += 1
        try:
            yield
        finally:
            with self._lock:
                self._counts[upstream] -= 1

    def count(self, upstream: str) -> int:
        """Return how many run at ``upstream``."""
        return self._counts[upstream]

    def total(self) -> int:
        """Return how many run at all upstreams."""
        with self._lock:
            return sum(self._counts.values())
