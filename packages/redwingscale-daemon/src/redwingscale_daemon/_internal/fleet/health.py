"""Upstreams that have failed lately."""

import threading
import time
from typing import NamedTuple

# After a failure an upstream is avoided for this long, doubled by each further
# one: long enough to send a few requests elsewhere, short enough that a restarted
# upstream is back within a second.
FIRST_AVOID_SECONDS = 0.5
LONGEST_AVOID_SECONDS = 4.0


class _Suspicion(NamedTuple):
    failures: int
    until: float


class Health:
    """Avoids upstreams for a while after a failure; any sound answer clears them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._suspicions: dict[str, _Suspicion] = {}

    def failed(self, upstream_id: str) -> None:
        """Note a request that the upstream lost, or a connection that it didn't take."""
        with self._lock:
            before = self._suspicions.get(upstream_id, _Suspicion(0, 0.0))
            avoid = min(LONGEST_AVOID_SECONDS, FIRST_AVOID_SECONDS * 2**before.failures)
            self._suspicions[upstream_id] = _Suspicion(
                before.failures + 1, time.monotonic() + avoid
            )

    def answered(self, upstream_id: str) -> None:
        """Note a sound answer."""
        if upstream_id in self._suspicions:
            with self._lock:
                self._suspicions.pop(upstream_id, None)

    def avoided(self, upstream_id: str) -> bool:
        """Return whether another upstream is better."""
        suspicion = self._suspicions.get(upstream_id)
        return suspicion is not None and time.monotonic() < suspicion.until

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._suspicions.pop(key, None)
