"""Upstreams that ended, and the requests that may have ended them."""

import time
from collections.abc import Callable, Collection

from redwingscale_daemon._internal.quarantine.part_record import PartCount, PartCrash

MAX_ENDS = 1024
# With so many possible causes an end says nothing about any of them.
MAX_CANDIDATES = 16


class PartEnd:
    """The end of one upstream, with the requests at the begin of their answers by fingerprint."""

    def __init__(self, at: float) -> None:
        self.at = at
        self.begun: dict[str, PartCrash] = {}
        self.unbegun: dict[str, PartCrash] = {}

    def add(self, crash: PartCrash) -> None:
        """Add a request that was lost as the upstream ended."""
        requests = self.begun if crash.began else self.unbegun
        requests[crash.request] = crash

    @property
    def candidates(self) -> dict[str, PartCrash]:
        """The possible causes: those with a head, if there are any."""
        return self.begun or self.unbegun

    def requests_with(self, part: str) -> set[str]:
        """Return the possible causes that have ``part``."""
        return {key for key, crash in self.candidates.items() if part in crash.parts}

    def counts(self, part: str) -> dict[str, PartCount]:
        """Return how many requests had ``part`` at each instance that lost one here."""
        return {
            crash.instance: count
            for crash in self.candidates.values()
            for one, count in zip(crash.parts, crash.counts, strict=False)
            if one == part
        }


class PartEnds:
    """The ends of upstreams by engine; not safe for threads."""

    def __init__(self, max_age_seconds: float, clock: Callable[[], float] = time.monotonic) -> None:
        self._max_age_seconds, self._clock = max_age_seconds, clock
        self._by_engine: dict[str, PartEnd] = {}
        # What is known to have ended an engine: the key of a quarantine.
        self._cause_by_engine: dict[str, str] = {}

    def add(self, crash: PartCrash) -> None:
        """Add a request that was lost as an upstream ended."""
        end = self._by_engine.get(crash.engine)
        if end is None:
            end = self._by_engine[crash.engine] = PartEnd(self._clock())
        end.add(crash)
        while len(self._by_engine) > MAX_ENDS:
            del self._by_engine[next(iter(self._by_engine))]

    def note_cause(self, key: str, engines: Collection[str]) -> None:
        """Note that ``key``, which is quarantined, ended ``engines``."""
        self._cause_by_engine |= dict.fromkeys(engines, key)
        while len(self._cause_by_engine) > MAX_ENDS:
            del self._cause_by_engine[next(iter(self._cause_by_engine))]

    def find(self, engine: str, part: str) -> PartEnd | None:
        """Return the end of ``engine`` if it counts for ``part``."""
        end = self._by_engine.get(engine)
        if end is None or not self._counts(engine, end, part) or not end.requests_with(part):
            return None
        return end

    def count_since(self, at: float, part: str) -> int:
        """Return how many ends since ``at`` have no known cause without ``part``."""
        return sum(
            end.at >= at and self._counts(engine, end, part)
            for engine, end in self._by_engine.items()
        )

    def _counts(self, engine: str, end: PartEnd, part: str) -> bool:
        if len(end.candidates) >= MAX_CANDIDATES:
            return False
        cause = self._cause_by_engine.get(engine)
        return cause is None or cause in end.requests_with(part)

    def drop_old(self) -> None:
        """Drop ends that are too old."""
        oldest = self._clock() - self._max_age_seconds
        self._by_engine = {key: end for key, end in self._by_engine.items() if end.at >= oldest}
