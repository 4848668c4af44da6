"""How fast upstreams are, against what their load would suggest."""

import threading

# A new figure counts for a quarter: some ten first events tell a slow upstream.
NEWEST_FRACTION = 0.25
MIN_FACTOR = 0.3
MAX_FACTOR = 6.0
# Below this the time on the way and the batch's step say more than the upstream.
MIN_EXPECTED_MS = 100.0


class LatencyFactors:
    """The factor between the first event's expected and real time, by upstream.

    Models and upstreams differ in speed by three times and more, and an upstream
    that has turned slow says so nowhere: only its answers tell.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._factors: dict[str, float] = {}

    def factor(self, upstream_id: str) -> float:
        """Return by how much ``upstream_id`` is slower than its load suggests."""
        return self._factors.get(upstream_id, 1.0)

    def observe(self, upstream_id: str, expected_ms: float, real_ms: float) -> None:
        """Note a first event that was expected, at factor 1, after ``expected_ms``."""
        if expected_ms < MIN_EXPECTED_MS and real_ms < MIN_EXPECTED_MS:
            return
        seen = real_ms / max(expected_ms, MIN_EXPECTED_MS)
        with self._lock:
            before = self._factors.get(upstream_id, 1.0)
            after = before + (seen - before) * NEWEST_FRACTION
            self._factors[upstream_id] = min(MAX_FACTOR, max(MIN_FACTOR, after))

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._factors.pop(key, None)
