"""Bounds how often requests are sent to another upstream."""

import threading
import time
from collections import defaultdict, deque
from collections.abc import Callable
from typing import NamedTuple

# The rule bounds all instances together, and each sees only its own requests. These
# shares of the rule leave room for instances that are starting or not yet seen.
RATIO_SHARE = 0.75
SLACK_SHARE = 0.6


class BudgetRule(NamedTuple):
    """In any window, repeats stay below ``ratio`` times the requests plus ``slack``."""

    ratio: float
    slack: float
    window_seconds: float


class RepeatBudget:
    """This instance's share of the repeats of each service.

    Guards against retry storms: without a bound over all instances, a failing service
    would receive each of its requests again, that is twice its load.
    """

    def __init__(self, rule: BudgetRule, instances: Callable[[], int]) -> None:
        self._rule = rule
        self._instances = instances
        self._lock = threading.Lock()
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._repeats: dict[str, deque[float]] = defaultdict(deque)

    def note_request(self, service: str) -> None:
        """Count the first attempt of a request."""
        with self._lock:
            self._requests[service].append(time.monotonic())

    def take(self, service: str) -> bool:
        """Count one more repeat if it is allowed; return whether it is."""
        now = time.monotonic()
        with self._lock:
            requests = self._recent(self._requests[service], now)
            repeats = self._recent(self._repeats[service], now)
            slack = self._rule.slack * SLACK_SHARE / max(1, self._instances())
            if repeats + 1 > self._rule.ratio * RATIO_SHARE * requests + slack:
                return False
            self._repeats[service].append(now)
            return True

    def _recent(self, times: deque[float], now: float) -> int:
        while times and times[0] < now - self._rule.window_seconds:
            times.popleft()
        return len(times)
