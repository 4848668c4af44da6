"""How many requests upstreams fail: counted here, and told by the order giver for all."""

import threading
import time
from collections import Counter

# The parts are told four times a second; older ones say nothing of an upstream that may
# have recovered since.
RATIOS_FRESH_SECONDS = 1.5


class Outcomes:
    """Own counts since they were last told, and the failing part over all instances.

    An upstream that fails a part of its requests at once, while its health check is
    good, has little load and draws more of them. Among some hundred instances each
    sees one or two of its failures in a second: it learned from its own alone, and
    callers paid for every lesson.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._answered: Counter[str] = Counter()
        self._failed: Counter[str] = Counter()
        self._failing: dict[str, float] = {}
        self._told_at = float("-inf")

    def count_answer(self, upstream_id: str) -> None:
        """Count a sound answer."""
        with self._lock:
            self._answered[upstream_id] += 1

    def count_failure(self, upstream_id: str) -> None:
        """Count a request that the upstream lost, or answered with a failure of its own."""
        with self._lock:
            self._failed[upstream_id] += 1

    def drain(self) -> list[tuple[str, int, int]]:
        """Return id, answered and failed requests of each upstream since the last call."""
        with self._lock:
            answered, self._answered = self._answered, Counter()
            failed, self._failed = self._failed, Counter()
        return [(key, answered[key], failed[key]) for key in answered.keys() | failed.keys()]

    def set_failure_ratios(self, failing: dict[str, float]) -> None:
        """Take the failing parts over all instances, by upstream id."""
        self._failing = failing
        self._told_at = time.monotonic()

    def failure_ratio(self, upstream_id: str) -> float:
        """Return which part of its requests an upstream fails, 0 where nothing is told."""
        if time.monotonic() - self._told_at > RATIOS_FRESH_SECONDS:
            return 0.0
        return self._failing.get(upstream_id, 0.0)
