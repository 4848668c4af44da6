"""Counts open requests, and holds the state of a drain."""

import math
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager


class OpenRequests:
    """The number of open requests, and whether and until when the instance drains.

    All times are monotonic, and infinite unless the instance drains.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count = 0
        self._draining = threading.Event()
        self._drained_since = math.inf
        self._closes_at = math.inf
        self._ends_at = math.inf

    @property
    def draining(self) -> bool:
        """Whether the instance is draining."""
        return self._draining.is_set()

    def drain(self, closes_at: float, ends_at: float) -> None:
        """Start draining: the ports close at ``closes_at``, answers end by ``ends_at``."""
        self._drained_since = time.monotonic()
        self._closes_at, self._ends_at = closes_at, ends_at
        self._draining.set()

    @property
    def drained_since(self) -> float:
        """The time at which the instance began to drain."""
        return self._drained_since

    @property
    def closes_at(self) -> float:
        """The time from which on no connection is accepted."""
        return self._closes_at

    @property
    def ends_at(self) -> float:
        """The time at which the process ends all connections."""
        return self._ends_at

    @property
    def count(self) -> int:
        """The number of open requests."""
        return self._count

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count one request as open while the block runs."""
        with self._lock:
            self._count += 1
        try:
            yield
        finally:
            with self._lock:
                self._count -= 1
