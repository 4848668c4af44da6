"""Which software versions of a service may have begun a stream that still lives."""

import math
import threading
import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from itertools import chain

import msgspec

from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.leases.clock import Clock, lease_clock

# An older list may lack a version that streams have begun at since.
CURRENT_LIST_SECONDS = 2.0
# A process that was suspended may hold an old list that its steady clock takes for current.
SUSPENDED_SECONDS = 0.5

# Seconds since an upstream of each version was listed last, by service and version.
AgesByService = dict[str, dict[str, float]]


class SoftwareRecord(msgspec.Struct):
    """What the leader's row says of versions, for instances that have just started.

    All versions that were listed are known for the last ``software_known_seconds``.
    """

    software: AgesByService = {}
    software_known_seconds: float = 0.0


class SoftwareVersions:
    """Remembers the versions that were listed, for as long as a stream can live.

    What former processes of the deployment have seen is taken over from the leader's row.
    Without that, all versions are known only from the start of this process.
    """

    def __init__(
        self,
        stream_seconds: Callable[[], float],
        list_age: Callable[[], float],
        clock: Clock = lease_clock,
        steady_clock: Clock = time.monotonic,
    ) -> None:
        # Returns for how long a stream can live, over all tries of its caller.
        self._stream_seconds = stream_seconds
        # Returns the seconds since the list was known to be current, by the steady clock.
        self._list_age = list_age
        self._clock = clock
        # Stops while the machine is suspended, as that of the list's age does.
        self._steady_clock = steady_clock
        self._lock = threading.Lock()
        self._current: tuple[Upstream, ...] = ()
        # When an upstream of each version was listed last; None stands for an unknown version.
        self._listed_at: dict[str, dict[str | None, float]] = defaultdict(dict)
        # When another instance told of a stream of each version.
        self._told_at: dict[str, dict[str | None, float]] = defaultdict(dict)
        self._known_since = clock()
        self._suspended = clock() - steady_clock()
        self._resumed_at = -math.inf

    def follow(self, before: Iterable[Upstream], after: Iterable[Upstream]) -> None:
        """Take a new list and the one that it replaces."""
        now, current = self._clock(), tuple(after)
        with self._lock:
            for upstream in (*before, *current):
                self._listed_at[upstream.service][upstream.software] = now
            self._current = current

    def note(self, service: str, software: str, age: float = 0.0) -> None:
        """Note that a stream has begun at a version ``age`` seconds ago."""
        told_at = self._clock() - age
        with self._lock:
            times = self._told_at[service]
            times[software] = max(told_at, times.get(software, -math.inf))

    def record(self) -> SoftwareRecord:
        """Return what is remembered, for the leader's row."""
        now = self._clock()
        with self._lock:
            self._follow_time(now)
            ages = {
                service: {
                    software: round(now - at, 3) for software, at in times.items() if software
                }
                for service, times in self._listed_at.items()
            }
        return SoftwareRecord(ages, round(self.known_seconds, 3))

    @property
    def known_seconds(self) -> float:
        """For how long all versions that were listed are known."""
        return self._clock() - self._known_since

    def take_over(self, record: SoftwareRecord) -> None:
        """Take over what former processes of the deployment knew."""
        now = self._clock()
        with self._lock:
            for service, age_by_software in record.software.items():
                times = self._listed_at[service]
                for software, age in age_by_software.items():
                    times[software] = max(now - age, times.get(software, -math.inf))
            self._known_since = min(self._known_since, now - record.software_known_seconds)

    def note_missed(self) -> None:
        """Note that versions may have served until now that were never listed here."""
        self._known_since = self._clock()

    def serving(self, service: str) -> set[str | None]:
        """Return the versions of the upstreams that are listed now."""
        return {one.software for one in self._current if one.service == service}

    def remembered(self, service: str) -> set[str | None]:
        """Return the versions that may have begun a stream which still lives."""
        with self._lock:
            self._follow_time(self._clock())
            return {*self._listed_at.get(service, ()), *self._told_at.get(service, ())}

    def mixed(self) -> frozenset[str]:
        """Return the services of which several versions may have begun streams that still live."""
        with self._lock:
            services = {*self._listed_at, *self._told_at}
        return frozenset(one for one in services if len(self.remembered(one)) > 1)

    def is_gone(self, service: str, software: str) -> bool:
        """Return whether no upstream of a version serves any more.

        One that others know and the list here lacks may be too new for it.
        """
        with self._lock:
            now = self._clock()
            self._follow_time(now)
            listed_at = self._listed_at[service].get(software, -math.inf)
            told_at = self._told_at[service].get(software, -math.inf)
        if software in self.serving(service):
            return False
        return listed_at > told_at or now > told_at + CURRENT_LIST_SECONDS

    def sole(self, service: str) -> str | None:
        """Return the version that has begun all streams of ``service``, None if not known."""
        if self.known_seconds < self._stream_seconds() or not self._is_list_current():
            return None
        versions = self.remembered(service)
        return next(iter(versions)) if len(versions) == 1 else None

    def _follow_time(self, now: float) -> None:
        """Note what is still listed, and forget versions whose streams have all ended."""
        for upstream in self._current:
            self._listed_at[upstream.service][upstream.software] = now
        since = now - self._stream_seconds()
        for times in chain(self._listed_at.values(), self._told_at.values()):
            for software in [key for key, at in times.items() if at < since]:
                del times[software]

    def _is_list_current(self) -> bool:
        now = self._steady_clock()
        suspended = self._clock() - now
        if suspended > self._suspended + SUSPENDED_SECONDS:
            self._suspended, self._resumed_at = suspended, now
        age = self._list_age()
        return age < CURRENT_LIST_SECONDS and now - age > self._resumed_at
