"""Requests of this instance in flight at each upstream."""

import itertools
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple


class _Open(NamedTuple):
    upstream: str
    unit: str
    since: float


class InFlight:
    """Counts requests by upstream, and remembers the unit that each of them uses."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._tickets = itertools.count()
        self._open_by_ticket: dict[int, _Open] = {}
        self._counts: Counter[str] = Counter()

    @contextmanager
    def track(self, upstream: str, unit: str = "") -> Iterator[None]:
        """Count a request at ``upstream`` as in flight for the duration of the block.

        A request without ``unit`` counts as using every unit.
        """
        with self._lock:
            ticket = next(self._tickets)
            self._open_by_ticket[ticket] = _Open(upstream, unit, self._clock())
            self._counts[upstream] += 1
        try:
            yield
        finally:
            with self._lock:
                del self._open_by_ticket[ticket]
                self._counts[upstream] -= 1

    def count(self, upstream: str) -> int:
        """Return the number of requests in flight at ``upstream``."""
        return self._counts[upstream]

    def total(self) -> int:
        """Return the number of requests in flight at all upstreams."""
        with self._lock:
            return sum(self._counts.values())

    def may_use(self, upstream: str, unit: str, before: float) -> bool:
        """Return whether a request that began before ``before`` may use ``unit`` there."""
        with self._lock:
            return any(
                o.upstream == upstream and o.unit in ("", unit) and o.since < before
                for o in self._open_by_ticket.values()
            )
