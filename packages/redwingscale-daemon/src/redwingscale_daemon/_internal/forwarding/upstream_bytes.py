"""Bounds the bytes of the requests that wait for an answer at each upstream."""

import threading
from collections import Counter


class UpstreamBytes:
    """Bytes of the requests that this instance has sent and that are open, by upstream id.

    Designed for large bodies, and for an upstream that reads or answers slowly: it crashes
    if the requests that it holds exceed its memory. ``limit`` is in bytes, None for no
    bound. A single request is always let through, since no other upstream has more room.
    """

    def __init__(self, limit: int | None = None) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._open_by_id: Counter[str] = Counter()

    def take(self, upstream_id: str, count: int) -> bool:
        """Count a request of ``count`` bytes; return False, uncounted, beyond the bound."""
        if self._limit is None:
            return True
        with self._lock:
            held = self._open_by_id[upstream_id]
            if held and held + count > self._limit:
                return False
            self._open_by_id[upstream_id] = held + count
            return True

    def give(self, upstream_id: str, count: int) -> None:
        """Remove a request of ``count`` bytes that is answered or lost."""
        if self._limit is None:
            return
        with self._lock:
            self._open_by_id[upstream_id] -= count
            if self._open_by_id[upstream_id] <= 0:
                del self._open_by_id[upstream_id]
