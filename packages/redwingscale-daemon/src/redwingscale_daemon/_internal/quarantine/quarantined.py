"""The requests that are refused, and those that were until lately."""

import time

from redwingscale_daemon._internal.quarantine.record import Quarantined
from redwingscale_daemon._internal.quarantine.store import StoredQuarantine

FIRST_QUARANTINE_SECONDS = 300.0
LONGEST_QUARANTINE_SECONDS = 3600.0
# A request that was quarantined may run in turns only for this long.
PROBATION_SECONDS = 3600.0
# A crash is attributed to a request that was quarantined at most this long ago because
# of the same engine.
ATTRIBUTION_SECONDS = 10.0
MAX_QUARANTINED = 1024


class QuarantinedRequests:
    """Quarantines by fingerprint, each kept until its probation has ended.

    Each quarantine of a request lasts twice as long as the one before. Not safe for threads.
    """

    def __init__(self) -> None:
        self._by_fingerprint: dict[str, Quarantined] = {}
        self._expired: set[str] = set()

    def __bool__(self) -> bool:
        return bool(self._by_fingerprint)

    def known(self, fingerprint: str) -> bool:
        """Return whether a request is quarantined or was so lately."""
        return fingerprint in self._by_fingerprint

    def seconds_left(self, fingerprint: str) -> float:
        """Return how long a request is still refused, 0 if it is not."""
        quarantined = self._by_fingerprint.get(fingerprint)
        return max(0.0, quarantined.expires_at - time.monotonic()) if quarantined else 0.0

    def next_seconds(self, fingerprint: str) -> float:
        """Return how long the next quarantine of a request lasts."""
        before = self._by_fingerprint.get(fingerprint)
        if before is None:
            return FIRST_QUARANTINE_SECONDS
        return min(LONGEST_QUARANTINE_SECONDS, 2 * before.seconds)

    def add(self, quarantine: StoredQuarantine) -> None:
        """Add or prolong a quarantine; beyond `MAX_QUARANTINED` the first to end is dropped."""
        expires_at = time.monotonic() + quarantine.seconds
        self._by_fingerprint[quarantine.fingerprint] = Quarantined(
            expires_at, quarantine.crashed_engines, quarantine.seconds
        )
        self._expired.discard(quarantine.fingerprint)
        if len(self._by_fingerprint) > MAX_QUARANTINED:
            self.pop(min(self._by_fingerprint, key=lambda f: self._by_fingerprint[f].expires_at))

    def note_crash(self, fingerprint: str, engine: str) -> None:
        """Note that an engine ended under a request sent before its quarantine was known."""
        one = self._by_fingerprint[fingerprint]
        engines = dict.fromkeys((*one.crashed_engines, engine))
        self._by_fingerprint[fingerprint] = one._replace(crashed_engines=tuple(engines))

    def pop(self, fingerprint: str) -> None:
        """Drop a quarantine if there is one."""
        self._by_fingerprint.pop(fingerprint, None)
        self._expired.discard(fingerprint)

    def drop_expired(self) -> list[str]:
        """Return the quarantines that have expired since the last call; end probations."""
        now = time.monotonic()
        expired = [
            key
            for key, one in self._by_fingerprint.items()
            if one.expires_at <= now and key not in self._expired
        ]
        self._expired.update(expired)
        for key in list(self._expired):
            if self._by_fingerprint[key].expires_at + PROBATION_SECONDS <= now:
                self.pop(key)
        return expired

    def explains(self, engine: str) -> bool:
        """Return whether a request was quarantined lately because of a crash of ``engine``."""
        oldest = time.monotonic() - ATTRIBUTION_SECONDS
        return any(
            engine in one.crashed_engines and one.expires_at - one.seconds > oldest
            for one in self._by_fingerprint.values()
        )
