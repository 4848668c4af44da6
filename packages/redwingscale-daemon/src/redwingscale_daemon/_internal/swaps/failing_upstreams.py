"""Failure ratios of upstreams, from the outcomes that all instances report to the leader."""

import threading
import time
from collections.abc import Iterable
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.swaps.messages import OutcomeEntry

# Half-life of the counts: an upstream that has recovered is used again within a few
# seconds, even if no request was sent to it in the meantime.
HALF_LIFE_SECONDS = 3.0
# The counts of an upstream are scaled down to this total: without a limit, a burst of
# hundreds of failures would keep the upstream out of use for a minute.
MAX_COUNTED_REQUESTS = 16.0
# A single failure is no evidence: one request can crash its upstream, or lose its
# connection in the network.
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
        """The fraction of requests that fail, 0 while there are too few failures to judge."""
        if self.failed < MIN_FAILURES:
            return 0.0
        ratio = self.failed / (self.failed + self.answered)
        return ratio if ratio >= MIN_FAILURE_RATIO else 0.0


class FailingUpstreams:
    """Counts the answered and failed requests of each upstream; the counts decay."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts_by_id: dict[str, _Counts] = {}
        self._logged_ids: frozenset[str] = frozenset()

    def receive(self, entries: Iterable[OutcomeEntry]) -> None:
        """Add what an instance has counted since its previous update."""
        now = time.monotonic()
        with self._lock:
            for entry in entries:
                counts = self._counts_by_id.get(entry.upstream, _Counts(0.0, 0.0, now)).decayed(now)
                answered, failed = counts.answered + entry.answered, counts.failed + entry.failed
                scale = min(1.0, MAX_COUNTED_REQUESTS / max(1.0, answered + failed))
                self._counts_by_id[entry.upstream] = _Counts(answered * scale, failed * scale, now)

    def ratios(self) -> dict[str, float]:
        """Return the failure ratio of each upstream with enough failures to judge, by id."""
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
