"""Which engines this instance lately failed to connect to."""

import threading
import time

UNREACHABLE_SECONDS = 1.0


class Reachability:
    """Remembers a failed connection for a while, so that few requests meet it."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._unreachable_until: dict[str, float] = {}

    def note_unreachable(self, upstream: str) -> None:
        """Record that no connection to ``upstream`` could be made just now."""
        with self._lock:
            self._unreachable_until[upstream] = time.monotonic() + UNREACHABLE_SECONDS

    def unreachable(self) -> set[str]:
        """Return the upstreams to leave alone for now."""
        now = time.monotonic()
        with self._lock:
            self._unreachable_until = {u: t for u, t in self._unreachable_until.items() if t > now}
            return set(self._unreachable_until)
