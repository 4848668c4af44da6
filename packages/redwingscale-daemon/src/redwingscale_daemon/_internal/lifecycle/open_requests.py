"""How many requests are being answered, and whether the instance is stopping."""

import math
import threading
from collections.abc import Iterator
from contextlib import contextmanager


class OpenRequests:
    """Counts requests in and out."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count = 0
        self._draining = threading.Event()
        self._ends_at = math.inf

    @property
    def draining(self) -> bool:
        """Whether the instance takes leave."""
        return self._draining.is_set()

    def drain(self, ends_at: float) -> None:
        """Be unready from now on; what still comes is answered until ``ends_at``, monotonic."""
        self._ends_at = ends_at
        self._draining.set()

    @property
    def ends_at(self) -> float:
        """The monotonic time at which the process ends, infinite while it isn't told to."""
        return self._ends_at

    @property
    def count(self) -> int:
        """How many are open."""
        return self._count

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count one request while the block runs."""
        with self._lock:
            self._count += 1
        try:
            yield
        finally:
            with self._lock:
                self._count -= 1
