"""When upstreams that rejected requests of this instance accept them again."""

import threading
import time
from collections.abc import Callable, Iterable


class RetryTimes:
    """Retry times by upstream id, which a restart of the process does not inherit.

    Neither a valid answer to a request that was sent earlier nor a later rejection with
    a shorter time shortens a retry time.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._retry_at_by_id: dict[str, float] = {}

    def note(self, upstream_id: str, seconds: float) -> None:
        """Take the time from a rejection."""
        with self._lock:
            before = self._retry_at_by_id.get(upstream_id, float("-inf"))
            self._retry_at_by_id[upstream_id] = max(before, self._clock() + seconds)

    @property
    def known(self) -> bool:
        """Whether any retry time is stored."""
        return bool(self._retry_at_by_id)

    def remaining(self, upstream_id: str) -> float:
        """Return the seconds until requests to ``upstream_id`` may be sent, 0 for now."""
        retry_at = self._retry_at_by_id.get(upstream_id)
        return 0.0 if retry_at is None else max(0.0, retry_at - self._clock())

    def pending(self) -> list[str]:
        """Return the ids of the upstreams whose retry times have not passed."""
        now = self._clock()
        return [key for key, retry_at in list(self._retry_at_by_id.items()) if retry_at > now]

    def forget(self, upstream_ids: Iterable[str]) -> None:
        """Drop upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._retry_at_by_id.pop(key, None)
