"""When upstreams that have rejected this instance take its requests again."""

import threading
import time
from collections.abc import Callable, Iterable


class RetryTimes:
    """Kept by upstream id: a new start of the process has named no time.

    A sound answer to a request that was sent earlier does not shorten a named time, nor
    does a later rejection that names a shorter one.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._retry_at_by_id: dict[str, float] = {}

    def note(self, upstream_id: str, seconds: float) -> None:
        """Take the time that a rejection names."""
        with self._lock:
            known = self._retry_at_by_id.get(upstream_id, float("-inf"))
            self._retry_at_by_id[upstream_id] = max(known, self._clock() + seconds)

    @property
    def known(self) -> bool:
        """Whether any upstream has named a time."""
        return bool(self._retry_at_by_id)

    def remaining(self, upstream_id: str) -> float:
        """Return the seconds until ``upstream_id`` may be asked again, 0 for now."""
        retry_at = self._retry_at_by_id.get(upstream_id)
        return 0.0 if retry_at is None else max(0.0, retry_at - self._clock())

    def pending(self) -> list[str]:
        """Return the ids of the upstreams whose times have not passed."""
        now = self._clock()
        return [key for key, retry_at in list(self._retry_at_by_id.items()) if retry_at > now]

    def forget(self, upstream_ids: Iterable[str]) -> None:
        """Drop upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._retry_at_by_id.pop(key, None)
