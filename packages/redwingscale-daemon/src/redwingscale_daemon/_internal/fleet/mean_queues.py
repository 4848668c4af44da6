"""The mean number of unread prompt tokens at each worker in the last seconds."""

import math
import threading
import time

# Queues last some tenths of a second, and demand moves between models within 8 s.
MEAN_SECONDS = 3.0


class MeanQueues:
    """Decaying means by upstream id, of loads that all instances see within half a second."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._means: dict[str, tuple[float, float]] = {}

    def update(self, upstream_id: str, unread_tokens: float) -> float:
        """Take the present number of unread tokens; return their mean."""
        now = time.monotonic()
        with self._lock:
            at, mean = self._means.get(upstream_id, (now, unread_tokens))
            mean += (unread_tokens - mean) * (1 - math.exp((at - now) / MEAN_SECONDS))
            self._means[upstream_id] = (now, mean)
        return mean

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop workers that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._means.pop(key, None)
