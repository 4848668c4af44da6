"""Which upstreams fail requests, from what all instances tell the order giver."""

import threading
import time
from collections.abc import Iterable
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.swaps.messages import OutcomeEntry

# What was seen counts half after this: an upstream that has recovered is used again
# within some seconds, also when nobody has tried it.
HALF_LIFE_SECONDS = 3.0
# Above this many a further failure adds nothing: after a burst of hundreds an upstream
# would else stay out for a minute.
MAX_COUNTED_REQUESTS = 16.0
# One request that crashes its upstream, or is cut by a network, tells nothing.
MIN_FAILURES = 2.0
MIN_FAILURE_RATIO = 0.1


class _Counts(NamedTuple):
    answered: float
    failed: float
    counted_at: float

    def decayed(self, now: float) -> "_Counts":
        factor = 0.5 ** ((now - self.counted_at) / HALF_LIFE_SECONDS)
        return _Counts(self.answered * factor, self.failed * factor, now)

    @property
    def failure_ratio(self) -> float:
        """Return the failing part, 0 while too few have failed."""
        if self.failed < MIN_FAILURES:
            return 0.0
        ratio = self.failed / (self.failed + self.answered)
        return ratio if ratio >= MIN_FAILURE_RATIO else 0.0


class FailingUpstreams:
    """Counts that fade, by upstream id."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts_by_id: dict[str, _Counts] = {}
        self._logged_ids: frozenset[str] = frozenset()

    def receive(self, entries: Iterable[OutcomeEntry]) -> None:
        """Take what an instance has counted since its last news."""
        now = time.monotonic()
        with self._lock:
            for entry in entries:
                counts = self._counts_by_id.get(entry.upstream, _Counts(0.0, 0.0, now)).decayed(now)
                answered, failed = counts.answered + entry.answered, counts.failed + entry.failed
                scale = min(1.0, MAX_COUNTED_REQUESTS / max(1.0, answered + failed))
                self._counts_by_id[entry.upstream] = _Counts(answered * scale, failed * scale, now)

    def ratios(self) -> dict[str, float]:
        """Return the failing part of each upstream that fails enough to tell."""
        now = time.monotonic()
        with self._lock:
            decayed = {key: counts.decayed(now) for key, counts in self._counts_by_id.items()}
            self._counts_by_id = {
                key: counts
                for key, counts in decayed.items()
                if counts.answered + counts.failed > 0.1
            }
        ratios = {
            key: round(counts.failure_ratio, 2)
            for key, counts in decayed.items()
            if counts.failure_ratio
        }
        self._log(ratios)
        return ratios

    def _log(self, ratios: dict[str, float]) -> None:
        for key in ratios.keys() - self._logged_ids:
            log_event("upstream_failing", level="WARNING", upstream=key, part=ratios[key])
        for key in self._logged_ids - ratios.keys():
            log_event("upstream_sound", upstream=key)
        self._logged_ids = frozenset(ratios)
