"""How often parts of prompts occur in requests."""

import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

from redwingscale_daemon._internal.quarantine.part_record import PartCount

# Counts are those of the current window and the one before.
WINDOW_SECONDS = 20.0
# A window with more different parts ends early.
MAX_PARTS = 4096


class PartShares:
    """Counts some requests of this instance, by part."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._current: Counter[str] = Counter()
        self._before: Counter[str] = Counter()
        self._requests = self._requests_before = 0
        self._begun_at = clock()
        self._total = 0

    def note(self, parts: Iterable[str]) -> None:
        """Count a request."""
        with self._lock:
            now = self._clock()
            if now - self._begun_at > WINDOW_SECONDS or len(self._current) > MAX_PARTS:
                self._before, self._requests_before = self._current, self._requests
                self._current, self._requests = Counter(), 0
                self._begun_at = now
            self._requests += 1
            self._total += 1
            self._current.update(parts)

    @property
    def total(self) -> int:
        """How many requests were counted from the start on."""
        return self._total

    def count(self, part: str) -> PartCount:
        """Return how many of the requests had ``part``."""
        with self._lock:
            with_part = self._current[part] + self._before[part]
            return PartCount(with_part, self._requests + self._requests_before)

    def seen(self, part: str) -> float:
        """Return what is certain of the share of ``part``, 0 if it was in no request."""
        count = self.count(part)
        return count.with_part / (count.requests + 1)


class PartCounts(NamedTuple):
    """Requests of this instance, by part: those that came, and those that ran beyond their begin.

    Only requests with parts that others may share are counted.
    """

    arrivals: PartShares
    survivors: PartShares
