"""How long the requests of each route took lately."""

import math
import threading
import time
from collections import Counter
from collections.abc import Callable

# The longest time is kept for one to two of these spans.
SPAN_SECONDS = 30.0
# With fewer answers, the longest one says little about the next one.
LEAST_ANSWERS = 20


class RunTimes:
    """The longest time from a request's arrival to the end of its answer, by route."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._began_at = -math.inf
        self._longest: dict[str, float] = {}
        self._answers: Counter[str] = Counter()
        self._longest_before: dict[str, float] = {}
        self._answers_before: Counter[str] = Counter()

    def note(self, route: str, seconds: float) -> None:
        """Note an answer that has ended."""
        with self._lock:
            self._begin_span()
            self._longest[route] = max(seconds, self._longest.get(route, 0.0))
            self._answers[route] += 1

    def longest(self, route: str) -> float | None:
        """Return the longest time of a route's answers, None if too few are known."""
        with self._lock:
            self._begin_span()
            if self._answers[route] + self._answers_before[route] < LEAST_ANSWERS:
                return None
            return max(self._longest.get(route, 0.0), self._longest_before.get(route, 0.0))

    def _begin_span(self) -> None:
        now = self._clock()
        if now < self._began_at + SPAN_SECONDS:
            return
        is_recent = now < self._began_at + 2 * SPAN_SECONDS
        self._longest_before = self._longest if is_recent else {}
        self._answers_before = self._answers if is_recent else Counter()
        self._longest, self._answers, self._began_at = {}, Counter(), now
