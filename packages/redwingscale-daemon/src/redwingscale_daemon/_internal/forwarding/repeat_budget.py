"""Bounds how often requests are sent to another upstream."""

import math
import threading
from collections import defaultdict, deque
from collections.abc import Callable, Mapping
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.leases.clock import Clock, lease_clock

# Once the load stops, the rule may count no more than this part of the requests for repeats
# that were allowed when they were sent.
RATIO_SHARE = 0.75
# The rest is for instances that divide by a count that has risen since they heard it.
SLACK_SHARE = 0.85
# The leader tells a process what it must know this soon after its start, if there is one.
TOLD_SECONDS = 1.0
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
        instances: Callable[[], int | None],
        count: Callable[[str, str], None] = lambda service, result: None,
        clock: Clock = lease_clock,
    ) -> None:
        self._rule = rule
        # Returns how many instances share the slack, None until it is known.
        self._instances = instances
        # Called with a service and what became of a repeat: sent, free or refused.
        self._count = count
        self._clock = clock
        self._started_at = clock()
        # The repeats of the processes before this one, None while they are not known.
        self._former: Mapping[str, int] | None = None
        self._told = threading.Event()
        self._on_sent: Callable[[], None] = lambda: None
        self._lock = threading.Lock()
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._repeats: dict[str, deque[float]] = defaultdict(deque)
        self._refused: dict[str, int] = defaultdict(int)
        self._logged_at: dict[str, float] = {}

    def on_sent(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each repeat."""
        self._on_sent = listener

    def note_former(self, repeats: Mapping[str, int]) -> None:
        """Take the `repeats` of the processes of this instance before this one."""
        if self._former is None:
            log_event("former_repeats", repeats=sum(repeats.values()))
        self._former = repeats
        self._told.set()

    def repeats(self) -> dict[str, int]:
        """Return the repeats in the window beyond what the own requests allow, by service."""
        now = self._clock()
        with self._lock:
            beyond = {
                service: math.ceil(self._usage(service, now).used - self._by_requests(service, now))
                for service in self._repeats
            }
        return {service: count for service, count in beyond.items() if count > 0}

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
        self._on_sent()
        return True

    def has_repeat(self, service: str) -> bool:
        """Return whether one more repeat is allowed now; a refusal is counted.

        Waits in the first second of the process until the leader is heard.
        """
        self._await_leader()
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

    def _await_leader(self) -> None:
        # Requests that share what is left now would be refused when they are sent, at a time at
        # which the leader has told of more.
        seconds = self._started_at + TOLD_SECONDS - self._clock()
        if seconds > 0:
            self._told.wait(seconds)

    def _usage(self, service: str, now: float) -> Usage:
        allowed = self._by_requests(service, now) + self._slack(service, now)
        return Usage(self._recent(self._repeats[service], now), allowed)

    def _by_requests(self, service: str, now: float) -> float:
        requests = self._recent(self._requests[service], now)
        return self._rule.ratio * RATIO_SHARE * requests

    def _slack(self, service: str, now: float) -> float:
        """Return the share of the slack, less what processes before this one have used of it.

        A process that does not know that takes the share as used, so that instances which
        are started again and again have no more shares than there are instances.
        """
        instances = self._instances()
        if instances is None:
            return 0.0
        share = self._rule.slack * SLACK_SHARE / max(1, instances)
        if now >= self._started_at + self._rule.window_seconds:
            return share
        return 0.0 if self._former is None else max(0.0, share - self._former.get(service, 0))

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
            instances=self._instances() or "-",
        )

    def _recent(self, times: deque[float], now: float) -> int:
        while times and times[0] < now - self._rule.window_seconds:
            times.popleft()
        return len(times)
