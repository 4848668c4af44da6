"""Which upstreams fail requests, from what all instances tell the order giver."""

import threading
import time
from collections.abc import Iterable
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.swaps.messages import OutcomeEntry

# What was seen counts half after this: an upstream that has recovered is used again
# within some seconds, also when nobody has tried it.
HALF_SECONDS = 3.0
# Above this many a further failure adds nothing: after a burst of hundreds an upstream
# would else stay out for a minute.
MOST_COUNTED = 16.0
# One request that crashes its upstream, or is cut by a network, tells nothing.
LEAST_FAILURES = 2.0
LEAST_PART = 0.1


class _Seen(NamedTuple):
    answered: float
    failed: float
    at: float

    def faded(self, now: float) -> "_Seen":
        part = 0.5 ** ((now - self.at) / HALF_SECONDS)
        return _Seen(self.answered * part, self.failed * part, now)

    @property
    def part(self) -> float:
        """Return the failing part, 0 while too few have failed."""
        if self.failed < LEAST_FAILURES:
            return 0.0
        part = self.failed / (self.failed + self.answered)
        return part if part >= LEAST_PART else 0.0


class FailingUpstreams:
    """Counts that fade, by upstream id."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._seen_by_id: dict[str, _Seen] = {}
        self._told: frozenset[str] = frozenset()

    def receive(self, entries: Iterable[OutcomeEntry]) -> None:
        """Take what an instance has counted since its last news."""
        now = time.monotonic()
        with self._lock:
            for entry in entries:
                before = self._seen_by_id.get(entry.upstream, _Seen(0.0, 0.0, now)).faded(now)
                answered, failed = before.answered + entry.answered, before.failed + entry.failed
                scale = min(1.0, MOST_COUNTED / max(1.0, answered + failed))
                self._seen_by_id[entry.upstream] = _Seen(answered * scale, failed * scale, now)

    def ratios(self) -> dict[str, float]:
        """Return the failing part of each upstream that fails enough to tell."""
        now = time.monotonic()
        with self._lock:
            faded = {key: seen.faded(now) for key, seen in self._seen_by_id.items()}
            self._seen_by_id = {
                key: seen for key, seen in faded.items() if seen.answered + seen.failed > 0.1
            }
        ratios = {key: round(seen.part, 2) for key, seen in faded.items() if seen.part}
        self._log(ratios)
        return ratios

    def _log(self, ratios: dict[str, float]) -> None:
        for key in ratios.keys() - self._told:
            log_event("upstream_failing", level="WARNING", upstream=key, part=ratios[key])
        for key in self._told - ratios.keys():
            log_event("upstream_sound", upstream=key)
        self._told = frozenset(ratios)
