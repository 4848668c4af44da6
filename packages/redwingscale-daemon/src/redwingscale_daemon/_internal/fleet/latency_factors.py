"""How fast upstreams are, relative to the time expected from their load."""

import threading

# Weight of a new observation: about ten first events show that an upstream is slow.
NEWEST_FRACTION = 0.25
MIN_FACTOR = 0.3
MAX_FACTOR = 6.0
# Shorter times depend on the network and the engine's batch step more than on the upstream.
MIN_EXPECTED_MS = 100.0


class LatencyFactors:
    """Ratio of real to expected time to the first event, by upstream id.

    Models and upstreams differ in speed by a factor of three and more, and an upstream
    that has become slow does not report it: only its answers show it.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._factors: dict[str, float] = {}

    def factor(self, upstream_id: str) -> float:
        """Return by how much ``upstream_id`` is slower than its load suggests."""
        return self._factors.get(upstream_id, 1.0)

    def observe(self, upstream_id: str, expected_ms: float, real_ms: float) -> None:
        """Note a first event after ``real_ms``; at factor 1 it was due in ``expected_ms``."""
        if expected_ms < MIN_EXPECTED_MS and real_ms < MIN_EXPECTED_MS:
            return
        factor = real_ms / max(expected_ms, MIN_EXPECTED_MS)
        with self._lock:
            before = self._factors.get(upstream_id, 1.0)
            after = before + (factor - before) * NEWEST_FRACTION
            self._factors[upstream_id] = min(MAX_FACTOR, max(MIN_FACTOR, after))

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._factors.pop(key, None)
