"""Upstreams to which a connection of this instance failed recently."""

import threading
import time

UNREACHABLE_SECONDS = 1.0


class Reachability:
    """Remembers failed connections for a short time, so that few requests are delayed."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._unreachable_until: dict[str, float] = {}

    def note_unreachable(self, upstream: str) -> None:
        """Record that a connection to ``upstream`` failed."""
        with self._lock:
            self._unreachable_until[upstream] = time.monotonic() + UNREACHABLE_SECONDS

    def unreachable(self) -> set[str]:
        """Return the upstreams whose last failed connection is recent."""
        now = time.monotonic()
        with self._lock:
            self._unreachable_until = {u: t for u, t in self._unreachable_until.items() if t > now}
            return set(self._unreachable_until)
