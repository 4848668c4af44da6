"""Bounds how often requests are sent to another upstream."""

import math
import threading
import time
from collections import defaultdict, deque
from collections.abc import Callable
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

# The rule bounds all instances together, and each sees only its own requests. These
# shares of the rule leave room for instances that are starting or not yet seen.
RATIO_SHARE = 0.75
SLACK_SHARE = 0.6
# Refused repeats of a service are logged together at this interval.
LOG_SECONDS = 1.0


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

    def __init__(
        self,
        rule: BudgetRule,
        instances: Callable[[], int],
        count: Callable[[str, str], None] = lambda service, result: None,
    ) -> None:
        self._rule = rule
        self._instances = instances
        # Called with a service and what became of a repeat: sent, free or refused.
        self._count = count
        self._lock = threading.Lock()
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._repeats: dict[str, deque[float]] = defaultdict(deque)
        self._refused: dict[str, int] = defaultdict(int)
        self._logged_at: dict[str, float] = {}

    def note_request(self, service: str) -> None:
        """Count the first attempt of a request."""
        with self._lock:
            self._requests[service].append(time.monotonic())

    def note_free(self, service: str) -> None:
        """Count a repeat that is not counted against the budget."""
        self._count(service, "free")

    def take(self, service: str) -> bool:
        """Count one more repeat if it is allowed; return whether it is."""
        now = time.monotonic()
        with self._lock:
            used, allowed = self._used(service, now), self._allowed(service, now)
            fits = used + 1 <= allowed
            if fits:
                self._repeats[service].append(now)
        self._count(service, "sent" if fits else "refused")
        if not fits:
            self._log_refused(service, used, allowed, now)
        return fits

    def left_by_service(self) -> dict[str, float]:
        """Return how many repeats may be sent now, by service."""
        now = time.monotonic()
        with self._lock:
            services = list(self._requests)
            return {key: self._allowed(key, now) - self._used(key, now) for key in services}

    def _used(self, service: str, now: float) -> int:
        return self._recent(self._repeats[service], now)

    def _allowed(self, service: str, now: float) -> float:
        requests = self._recent(self._requests[service], now)
        slack = self._rule.slack * SLACK_SHARE / max(1, self._instances())
        return self._rule.ratio * RATIO_SHARE * requests + slack

    def _log_refused(self, service: str, used: int, allowed: float, now: float) -> None:
        with self._lock:
            self._refused[service] += 1
            if now < self._logged_at.get(service, -math.inf) + LOG_SECONDS:
                return
            self._logged_at[service] = now
            refused = self._refused.pop(service)
        log_event(
            "repeat_refused",
            level="WARNING",
            service=service,
            refused=refused,
            used=used,
            allowed=round(allowed, 2),
            instances=self._instances(),
        )

    def _recent(self, times: deque[float], now: float) -> int:
        while times and times[0] < now - self._rule.window_seconds:
            times.popleft()
        return len(times)
