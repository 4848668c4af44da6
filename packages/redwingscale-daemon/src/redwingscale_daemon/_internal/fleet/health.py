"""Upstreams that have failed lately."""

import math
import threading
import time
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.outcomes import Outcomes

# After a failure an upstream is avoided for this long, doubled by each further
# one: long enough to send a few requests elsewhere, short enough that a restarted
# upstream is back within a second.
FIRST_AVOID_SECONDS = 0.5
LONGEST_AVOID_SECONDS = 4.0


# An upstream that takes no connection is tried again by one request after this.
UNREACHABLE_SECONDS = 0.8


class _Suspicion(NamedTuple):
    failures: int
    until: float


class Health:
    """Avoids upstreams after a failure, and leaves out those that take no connection.

    Any sound answer clears an upstream. One that takes no connection is as good
    as gone until it does: its entry in the list may last for seconds, and after a
    partition only some of the instances cannot reach it.
    """

    def __init__(self, outcomes: Outcomes) -> None:
        self._outcomes = outcomes
        self._lock = threading.Lock()
        self._suspicions: dict[str, _Suspicion] = {}
        self._unreachable_until: dict[str, float] = {}

    def note_failure(self, upstream_id: str) -> None:
        """Note a request that the upstream lost, or answered with a failure of its own."""
        self._outcomes.count_failure(upstream_id)
        self._suspect(upstream_id)

    def _suspect(self, upstream_id: str) -> None:
        with self._lock:
            before = self._suspicions.get(upstream_id, _Suspicion(0, 0.0))
            avoid = min(LONGEST_AVOID_SECONDS, FIRST_AVOID_SECONDS * 2**before.failures)
            self._suspicions[upstream_id] = _Suspicion(
                before.failures + 1, time.monotonic() + avoid
            )

    def note_unreachable(self, upstream_id: str) -> None:
        """Note a connection that the upstream didn't take."""
        self._suspect(upstream_id)
        with self._lock:
            first = upstream_id not in self._unreachable_until
            self._unreachable_until[upstream_id] = time.monotonic() + UNREACHABLE_SECONDS
        if first:
            log_event("upstream_unreachable", level="WARNING", upstream=upstream_id)

    def note_replaced(self, upstream_id: str) -> None:
        """Note that another process has the upstream's address.

        An upstream that has restarted is listed under its former id for some
        seconds, and each request meant for that is refused.
        """
        with self._lock:
            self._unreachable_until[upstream_id] = math.inf
        log_event("upstream_replaced", level="WARNING", upstream=upstream_id)

    def note_answer(self, upstream_id: str) -> None:
        """Note a sound answer."""
        self._outcomes.count_answer(upstream_id)
        if upstream_id not in self._suspicions:
            return
        with self._lock:
            self._suspicions.pop(upstream_id, None)
            reached = self._unreachable_until.pop(upstream_id, None)
        if reached is not None:
            log_event("upstream_reached", upstream=upstream_id)

    def failure_ratio(self, upstream_id: str) -> float:
        """Return which part of its requests an upstream fails, over all instances."""
        return self._outcomes.failure_ratio(upstream_id)

    def is_avoided(self, upstream_id: str) -> bool:
        """Return whether another upstream is better."""
        suspicion = self._suspicions.get(upstream_id)
        return suspicion is not None and time.monotonic() < suspicion.until

    def is_replaced(self, upstream_id: str) -> bool:
        """Return whether another process is known to have the upstream's address."""
        return self._unreachable_until.get(upstream_id) == math.inf

    def is_unreachable(self, upstream_id: str) -> bool:
        """Return whether ``upstream_id`` took no connection just now."""
        until = self._unreachable_until.get(upstream_id)
        return until is not None and time.monotonic() < until

    def all_unreachable(self) -> list[str]:
        """Return the upstreams that have taken no connection since the last answer."""
        with self._lock:
            return list(self._unreachable_until)

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._suspicions.pop(key, None)
                self._unreachable_until.pop(key, None)
