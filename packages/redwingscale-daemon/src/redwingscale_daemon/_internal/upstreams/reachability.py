"""Which engines this instance lately failed to connect to."""

import threading
import time

SHUNNED_SECONDS = 1.0


class Reachability:
    """Remembers a failed connection for a while, so that few requests meet it."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._shunned_until: dict[str, float] = {}

    def failed(self, upstream: str) -> None:
        """Record that no connection to ``upstream`` could be made just now."""
        with self._lock:
            self._shunned_until[upstream] = time.monotonic() + SHUNNED_SECONDS

    def shunned(self) -> set[str]:
        """Return the upstreams to leave alone for now."""
        now = time.monotonic()
        with self._lock:
            self._shunned_until = {u: t for u, t in self._shunned_until.items() if t > now}
            return set(self._shunned_until)
