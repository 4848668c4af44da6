"""Batch of one engine: a bounded number of slots and a priority queue for them."""

import heapq
import itertools
import threading
from collections.abc import Iterator
from contextlib import contextmanager


class Batch:
    """Runs up to ``slots`` streams at a time; the lowest priority number is admitted first."""

    def __init__(self, slots: int) -> None:
        self._condition = threading.Condition()
        self._slots = slots
        self._order = itertools.count()
        self._waiting: list[tuple[int, int]] = []
        self.running = 0

    @property
    def waiting(self) -> int:
        """The number of streams that wait for a slot."""
        return len(self._waiting)

    @contextmanager
    def slot(self, priority: int) -> Iterator[None]:
        """Occupy one slot of the batch; wait for it without a timeout."""
        ticket = (priority, next(self._order))
        with self._condition:
            heapq.heappush(self._waiting, ticket)
            self._condition.wait_for(lambda: self._may_run(ticket))
            heapq.heappop(self._waiting)
            self.running += 1
            self._condition.notify_all()
        try:
            yield
        finally:
            with self._condition:
                self.running -= 1
                self._condition.notify_all()

    def _may_run(self, ticket: tuple[int, int]) -> bool:
        return self.running < self._slots and self._waiting[0] == ticket
