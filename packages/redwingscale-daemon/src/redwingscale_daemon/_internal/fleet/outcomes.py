"""How many requests upstreams fail: counted here, and summed by the leader for all."""

import threading
import time
from collections import Counter

# Failure ratios are announced four times a second; older ones are not used, since the
# upstream may have recovered.
RATIOS_FRESH_SECONDS = 1.5


class Outcomes:
    """This instance's counts since the last drain, and failure ratios over all instances.

    An upstream that fails some requests immediately, while its health check passes, has
    little load and therefore attracts more of them. With about a hundred instances, each
    sees only one or two of its failures in a second: too few to detect it without failing
    many callers' requests. So the counts of all instances are summed.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._answered: Counter[str] = Counter()
        self._failed: Counter[str] = Counter()
        self._misdirected: set[str] = set()
        self._failure_ratios: dict[str, float] = {}
        self._received_at = float("-inf")

    def count_answer(self, upstream_id: str) -> None:
        """Count a valid answer."""
        with self._lock:
            self._answered[upstream_id] += 1

    def count_failure(self, upstream_id: str) -> None:
        """Count a request that the upstream lost or answered with a failure of its own."""
        with self._lock:
            self._failed[upstream_id] += 1

    def note_misdirected(self, upstream_id: str) -> None:
        """Note a request that the upstream refused for a unit that it lacks."""
        with self._lock:
            self._misdirected.add(upstream_id)

    def drain_misdirected(self) -> list[str]:
        """Return the upstreams noted as misdirected since the last call."""
        with self._lock:
            misdirected, self._misdirected = self._misdirected, set()
        return sorted(misdirected)

    def drain(self) -> list[tuple[str, int, int]]:
        """Return the id, answered and failed requests of each upstream since the last call."""
        with self._lock:
            answered, self._answered = self._answered, Counter()
            failed, self._failed = self._failed, Counter()
        return [(key, answered[key], failed[key]) for key in answered.keys() | failed.keys()]

    def set_failure_ratios(self, ratios: dict[str, float]) -> None:
        """Set the failure ratios over all instances, by upstream id."""
        self._failure_ratios = ratios
        self._received_at = time.monotonic()

    def failure_ratio(self, upstream_id: str) -> float:
        """Return the fraction of its requests that an upstream fails, 0 if unknown."""
        if time.monotonic() - self._received_at > RATIOS_FRESH_SECONDS:
            return 0.0
        return self._failure_ratios.get(upstream_id, 0.0)
