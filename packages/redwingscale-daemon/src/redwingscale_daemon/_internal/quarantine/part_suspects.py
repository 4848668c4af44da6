"""Which parts of prompts were in requests under which upstreams ended."""

import math
import time
from collections import deque
from collections.abc import Callable, Collection, Iterable, Iterator

from redwingscale_daemon._internal.quarantine.part_ends import PartEnd, PartEnds
from redwingscale_daemon._internal.quarantine.part_record import PartCount, PartCrash, PartVerdict
from redwingscale_daemon._internal.quarantine.part_shares import WINDOW_SECONDS, PartCounts
from redwingscale_daemon._internal.quarantine.part_suspicion import UNBEGUN_END, Suspect, Suspicion

SUSPICION_SECONDS = 300.0
MAX_SUSPECTS = 1024
# From this ratio on, requests with the part run one at a time.
TURN_RATIO = 30.0
# Many ends of a rare part are beyond what a float expresses.
LEAST_CHANCE = 1e-300
# An instance tells its share of a part if the others know of one this many times smaller.
TOLD_FACTOR = 2.0


class PartSuspects:
    """Crashes by part, until a request with it survives; not safe for threads."""

    def __init__(
        self,
        counts: PartCounts,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._counts, self._clock = counts, clock
        self._by_part: dict[str, Suspect] = {}
        # The highest share at another instance; kept when a part is cleared.
        self._share_elsewhere: dict[str, float] = {}
        self._ends = PartEnds(SUSPICION_SECONDS, clock)
        # Requests of this instance that ended with an upstream as their answers began.
        self._ended = 0
        self._suspected_at: deque[float] = deque(maxlen=MAX_SUSPECTS)
        # Looked up for each request; emptied with each change.
        self._ratio_by_part: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._by_part)

    def __contains__(self, part: str) -> bool:
        return part in self._by_part

    def count_before(self, part: str) -> PartCount:
        """Return how many requests had ``part`` here, but for one, before it was suspect.

        The lower share if it is suspect: its requests may run no more.
        """
        now = self._counts.arrivals.count(part).without_one()
        suspect = self._by_part.get(part)
        return min(suspect.count, now, key=PartCount.share) if suspect else now

    def note_ended(self, parts: Iterable[str]) -> None:
        """Count a request of this instance that ended with an upstream as its answer began."""
        self._ended += 1
        for suspect in filter(None, map(self._by_part.get, parts)):
            suspect.ended_with += 1

    def add(self, crash: PartCrash) -> list[str]:
        """Add a crash; return the parts that were not suspect before."""
        now = self._clock()
        self._ratio_by_part.clear()
        self._ends.add(crash)
        new = [part for part in crash.parts if part not in self._by_part]
        totals = self._counts.survivors.total, self._ended
        for part in new:
            self._by_part[part] = Suspect(now, self.count_before(part), *totals)
            self._suspected_at.append(now)
        for part in crash.parts:
            self._by_part[part].add_end(crash.engine, *totals)
        while len(self._by_part) > MAX_SUSPECTS:
            self.clear(min(self._by_part, key=lambda key: self._by_part[key].since))
        return new

    def note_share(self, part: str, share: float) -> None:
        """Note the share of a part at another instance: callers may be spread unevenly."""
        self._ratio_by_part.pop(part, None)
        if share > 0.0:
            before = self._share_elsewhere.pop(part, 0.0)
            self._share_elsewhere[part] = max(before, share)
        while len(self._share_elsewhere) > MAX_SUSPECTS:
            del self._share_elsewhere[next(iter(self._share_elsewhere))]

    def shares_unknown_elsewhere(self, parts: Iterable[str]) -> dict[str, float]:
        """Return the shares here, by part, that are far above those of the other instances."""
        here = {part: self._counts.survivors.seen(part) for part in parts if part in self._by_part}
        return {
            part: share
            for part, share in here.items()
            if share > TOLD_FACTOR * self._share_elsewhere.get(part, 0.0)
        }

    def suspicion(self, part: str) -> Suspicion | None:
        """Return what speaks against ``part``, None without anything."""
        suspect = self._by_part.get(part)
        if suspect is None:
            return None
        found = {engine: self._ends.find(engine, part) for engine in suspect.engines}
        ends = {engine: end for engine, end in found.items() if end is not None}
        if not ends:
            return None
        by_instance: dict[str, PartCount] = {}
        for end in ends.values():
            by_instance |= end.counts(part)
        count = PartCount.total(by_instance.values())
        elsewhere = self._share_elsewhere.get(part, 0.0)
        shares = [max(elsewhere, count.share(drawn)) for drawn in range(len(ends))]
        since = min(suspect.since, self._clock() - WINDOW_SECONDS)
        in_all = max(len(ends), self._ends.count_since(since, part))
        begun = sum(bool(end.begun) for end in ends.values())
        chance = min(
            self._chance_of_ends(shares, ends.values(), in_all),
            self._chance_of_no_survivor(suspect, begun, since),
        )
        return Suspicion(
            tuple(ends),
            begun + UNBEGUN_END * (len(ends) - begun),
            len(set().union(*(end.requests_with(part) for end in ends.values()))),
            1.0 / max(chance, LEAST_CHANCE),
            max(shares),
            in_all,
        )

    @staticmethod
    def _chance_of_ends(shares: Iterable[float], ends: Collection[PartEnd], in_all: int) -> float:
        """Return the chance that a part of these shares is in requests at as many ends.

        It may be there at any of the ``in_all`` ends.
        """
        chances = (
            1.0 - (1.0 - share) ** len(end.candidates)
            for share, end in zip(shares, ends, strict=True)
        )
        return math.prod(chances) * math.comb(in_all, len(ends))

    def _chance_of_no_survivor(self, suspect: Suspect, begun: int, since: float) -> float:
        """Return the chance that none of the requests with a part survived since the first end.

        They end like the others of this instance. The first end is what made the part suspect, and
        any of the parts that became so may be the one that did not survive.
        """
        others = PartCount(suspect.others_ended, suspect.others_ended + suspect.others_survived)
        chance = math.prod(others.share(drawn) for drawn in range(begun - 1))
        suspects = sum(1 for at in self._suspected_at if at >= since)
        return chance * max(1, suspects)

    def seconds_suspect(self, part: str) -> float:
        """Return for how long ``part`` has been suspect, 0 if it is not."""
        suspect = self._by_part.get(part)
        return self._clock() - suspect.since if suspect else 0.0

    def needs_turn(self, part: str) -> bool:
        """Return whether requests with ``part`` may run only one at a time."""
        return self.ratio(part) >= TURN_RATIO

    def ratio(self, part: str) -> float:
        """Return how much likelier its ends are if ``part`` causes them, 0 without any.

        As of the last change to what is known.
        """
        if part not in self._by_part:
            return 0.0
        known = self._ratio_by_part.get(part)
        if known is None:
            suspicion = self.suspicion(part)
            known = self._ratio_by_part[part] = suspicion.ratio if suspicion else 0.0
        return known

    def verdict(self, parts: Iterable[str]) -> PartVerdict | None:
        """Return the part that explains its crashes best if that proves it to be the cause."""
        found = [(part, self.suspicion(part)) for part in sorted(parts)]
        proven = [(part, one) for part, one in found if one is not None and one.is_proof]
        if not proven:
            return None
        part, best = max(proven, key=lambda item: item[1].ratio)
        return PartVerdict(
            part, best.engines, best.requests, best.ratio, best.share, best.ends_in_all
        )

    def survived(self, parts: Collection[str], begun_at: float) -> Iterator[str]:
        """Yield those of ``parts`` that a run clears, which began at ``begun_at``."""
        for part, suspect in self._by_part.items():
            if part in parts and begun_at > suspect.since:
                yield part

    def clear(self, part: str) -> bool:
        """Drop a part; return if it was there."""
        self._ratio_by_part.pop(part, None)
        return self._by_part.pop(part, None) is not None

    def note_cause(self, key: str, engines: Collection[str]) -> None:
        """Note that ``engines`` ended under ``key``, which is quarantined: a request or a part.

        Their ends count only for the parts of that request, and for no other part.
        """
        self._ratio_by_part.clear()
        self._ends.note_cause(key, engines)
        for part, suspect in list(self._by_part.items()):
            if not any(self._ends.find(engine, part) for engine in suspect.engines):
                self.clear(part)

    def drop_old(self) -> None:
        """Drop what nothing was heard of for `SUSPICION_SECONDS`."""
        oldest = self._clock() - SUSPICION_SECONDS
        for part in [key for key, one in self._by_part.items() if one.since < oldest]:
            self.clear(part)
        self._ends.drop_old()
        self._ratio_by_part.clear()
