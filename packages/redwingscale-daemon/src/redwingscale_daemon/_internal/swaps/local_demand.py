"""The demand of this instance's callers, by unit."""

import threading
import time
from collections import Counter, defaultdict
from collections.abc import Callable

from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.forwarding.terms import Terms
from redwingscale_daemon._internal.swaps.bound_waits import LocalBoundWaits
from redwingscale_daemon._internal.swaps.messages import BoundWait, DemandEntry

_Key = tuple[str, Unit]
# Fraction of the newest request in the mean weight of a unit's requests; most of them
# come from one route.
NEWEST_FRACTION = 0.25


class LocalDemand:
    """Counts arrivals, overloads and waiting requests by unit, for the next update."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._arrivals: Counter[_Key] = Counter()
        self._overloads: Counter[_Key] = Counter()
        self._refused: Counter[_Key] = Counter()
        self._refused_waits: dict[_Key, float] = {}
        self._waiting: Counter[_Key] = Counter()
        # Mean weight of the requests for each unit.
        self._weights: dict[_Key, float] = {}
        self._wait_ends_at: dict[_Key, list[float]] = defaultdict(list)
        self._bound = LocalBoundWaits()
        self._wake: Callable[[], None] = lambda: None

    def on_new_wait(self, wake: Callable[[], None]) -> None:
        """Call ``wake`` whenever a request begins to wait, so that an update is sent at once."""
        self._wake = wake

    def arrived(self, service: str, terms: Terms, weight: float = 1.0) -> None:
        """Count a request; ``weight`` is that of its urgency."""
        if terms.prompt is not None:
            key = (service, terms.prompt.unit)
            with self._lock:
                self._arrivals[key] += 1
                before = self._weights.get(key, weight)
                self._weights[key] = before + (weight - before) * NEWEST_FRACTION

    def note_overload(self, service: str, unit: Unit) -> None:
        """Count a request that another copy of ``unit``'s model would have served in time."""
        with self._lock:
            self._overloads[(service, unit)] += 1

    def note_refused(self, service: str, unit: Unit, max_wait_seconds: float) -> None:
        """Count a request refused for want of a holder, which could have waited so long."""
        key = (service, unit)
        with self._lock:
            self._refused[key] += 1
            self._refused_waits[key] = max(max_wait_seconds, self._refused_waits.get(key, 0.0))
        self._wake()

    def begin_wait(
        self, service: str, unit: Unit, max_wait_seconds: float, software: str | None = None
    ) -> None:
        """Note that a request waits for ``unit``, for at most ``max_wait_seconds``.

        ``software`` is the version that a begun stream waits for, None for any version.
        """
        if software is not None:
            self._bound.begin(service, unit, software, max_wait_seconds)
            self._wake()
            return
        key = (service, unit)
        with self._lock:
            self._waiting[key] += 1
            self._wait_ends_at[key].append(time.monotonic() + max_wait_seconds)
        self._wake()

    def bound_waits(self) -> list[BoundWait]:
        """Return the begun streams that wait for one software version."""
        return self._bound.entries()

    def end_wait(self, service: str, unit: Unit, software: str | None = None) -> None:
        """Note that a request no longer waits for ``unit``; ``software`` as in `begin_wait`."""
        if software is not None:
            self._bound.end(service, unit, software)
            return
        key = (service, unit)
        with self._lock:
            self._waiting[key] -= 1
            if self._waiting[key] <= 0:
                del self._waiting[key]
                self._wait_ends_at.pop(key, None)

    def drain(self) -> list[DemandEntry]:
        """Return the demand since the previous call, and the requests that wait now."""
        now = time.monotonic()
        with self._lock:
            arrivals, self._arrivals = self._arrivals, Counter()
            overloads, self._overloads = self._overloads, Counter()
            refused, self._refused = self._refused, Counter()
            refused_waits, self._refused_waits = self._refused_waits, {}
            waiting = dict(self._waiting)
            weights = dict(self._weights)
            longest = {key: max(ends) - now for key, ends in self._wait_ends_at.items()}
        return [
            DemandEntry(
                service,
                unit.model,
                unit.adapter,
                arrivals[(service, unit)],
                waiting.get((service, unit), 0),
                longest.get((service, unit), 0.0),
                overloads[(service, unit)],
                round(weights.get((service, unit), 1.0), 2),
                refused[(service, unit)],
                refused_waits.get((service, unit), 0.0),
            )
            for service, unit in (
                arrivals.keys() | waiting.keys() | overloads.keys() | refused.keys()
            )
        ]
