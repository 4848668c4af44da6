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


class Usage(NamedTuple):
    """The repeats of a service that were sent here in the last window, and how many may be."""

    used: int
    allowed: float

    @property
    def has_repeat(self) -> bool:
        """Whether one more repeat is allowed."""
        return self.used + 1 <= self.allowed


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
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._rule = rule
        self._instances = instances
        # Called with a service and what became of a repeat: sent, free or refused.
        self._count = count
        self._clock = clock
        self._lock = threading.Lock()
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._repeats: dict[str, deque[float]] = defaultdict(deque)
        self._refused: dict[str, int] = defaultdict(int)
        self._logged_at: dict[str, float] = {}

    def note_request(self, service: str) -> None:
        """Count a request that a caller has sent to this instance."""
        with self._lock:
            self._requests[service].append(self._clock())

    def note_free(self, service: str) -> None:
        """Count a repeat that is not counted against the budget."""
        self._count(service, "free")

    def take(self, service: str) -> bool:
        """Count one more repeat if it is allowed; return whether it is."""
        with self._lock:
            usage = self._usage(service, self._clock())
            if usage.has_repeat:
                self._repeats[service].append(self._clock())
        if not usage.has_repeat:
            self._note_refused(service, usage)
            return False
        self._count(service, "sent")
        return True

    def has_repeat(self, service: str) -> bool:
        """Return whether one more repeat is allowed now; a refusal is counted."""
        with self._lock:
            usage = self._usage(service, self._clock())
        if not usage.has_repeat:
            self._note_refused(service, usage)
        return usage.has_repeat

    def usage_by_service(self) -> dict[str, Usage]:
        """Return the usage of each service that was asked for or got repeats here."""
        now = self._clock()
        with self._lock:
            services = self._requests.keys() | self._repeats.keys()
            return {service: self._usage(service, now) for service in sorted(services)}

    def _usage(self, service: str, now: float) -> Usage:
        requests = self._recent(self._requests[service], now)
        slack = self._rule.slack * SLACK_SHARE / max(1, self._instances())
        allowed = self._rule.ratio * RATIO_SHARE * requests + slack
        return Usage(self._recent(self._repeats[service], now), allowed)

    def _note_refused(self, service: str, usage: Usage) -> None:
        self._count(service, "refused")
        now = self._clock()
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
            used=usage.used,
            allowed=round(usage.allowed, 2),
            instances=self._instances(),
        )

    def _recent(self, times: deque[float], now: float) -> int:
        while times and times[0] < now - self._rule.window_seconds:
            times.popleft()
        return len(times)
