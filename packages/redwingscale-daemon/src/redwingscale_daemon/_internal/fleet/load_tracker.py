"""Tracks the load of upstreams from the requests that the instances send."""

import threading
import time
from collections import Counter, defaultdict
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.unit import Unit

# The load from other instances is announced four times a second. Since requests last half
# a second, older figures are not used.
OTHERS_FRESH_SECONDS = 1.5
ANNOUNCEMENT_SECONDS = 0.25
# An instance is busier than the others with so many times their requests on average, as announced
# within this time. They take over what it does not serve, and may still have room then.
UNEVEN_RATIO = 1.25
UNEVEN_FRESH_SECONDS = 5.0


class Load(NamedTuple):
    """Open requests at an upstream, and prompt tokens that it has yet to process.

    ``generating`` of the requests are streams that have begun and whose pauses are limited.
    ``waiting`` prompt tokens are those of requests that wait for a place there.
    """

    requests: int
    prompt_tokens: int
    generating: int = 0
    waiting: int = 0

    def plus(self, other: "Load") -> "Load":
        """Return the sum of both loads."""
        return Load(
            self.requests + other.requests,
            self.prompt_tokens + other.prompt_tokens,
            self.generating + other.generating,
            self.waiting + other.waiting,
        )


NO_LOAD = Load(0, 0)


class LoadTicket:
    """One open request at one upstream."""

    def __init__(
        self, load_tracker: "LoadTracker", upstream_id: str, unit: Unit | None, prompt_tokens: int
    ) -> None:
        self._load_tracker = load_tracker
        self._upstream_id = upstream_id
        self._unit = unit
        self._prompt_tokens = prompt_tokens
        self._open = True
        self._generating = 0

    def note_prompt_read(self) -> None:
        """Note the first event, which means that the prompt has been processed."""
        if self._prompt_tokens:
            self._load_tracker.add(self._upstream_id, 0, -self._prompt_tokens)
            self._prompt_tokens = 0

    def note_generating(self) -> None:
        """Count the request as a stream whose pauses are limited; a second call does nothing."""
        if self._open and not self._generating:
            self._generating = 1
            self._load_tracker.add(self._upstream_id, 0, 0, generating=1)

    def close(self) -> None:
        """Note the end of the request; a second call does nothing."""
        if self._open:
            self._open = False
            self._load_tracker.add(
                self._upstream_id, -1, -self._prompt_tokens, self._unit, -self._generating
            )


class LoadTracker:
    """Load by upstream id, from this instance and from the others."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._own: dict[str, Load] = defaultdict(lambda: NO_LOAD)
        self._open_by_unit: Counter[tuple[str, Unit]] = Counter()
        self._others: dict[str, Load] = {}
        self._others_at = float("-inf")
        self._instances = 1

    def open_ticket(self, upstream_id: str, unit: Unit | None, prompt_tokens: int) -> LoadTicket:
        """Count a new request; ``unit`` is what it runs on, None for a plain service."""
        self.add(upstream_id, 1, prompt_tokens, unit)
        return LoadTicket(self, upstream_id, unit, prompt_tokens)

    def add(
        self,
        upstream_id: str,
        requests: int,
        prompt_tokens: int,
        unit: Unit | None = None,
        generating: int = 0,
    ) -> None:
        """Add to this instance's load of an upstream."""
        with self._lock:
            if unit is not None:
                self._open_by_unit[(upstream_id, unit)] += requests
            added = Load(requests, prompt_tokens, generating)
            self._own[upstream_id] = self._own[upstream_id].plus(added)

    def add_waiting(self, upstream_id: str, tokens: int) -> None:
        """Add to the prompt tokens of requests that wait for a place at an upstream."""
        with self._lock:
            self._own[upstream_id] = self._own[upstream_id].plus(Load(0, 0, waiting=tokens))

    def open_by_unit(self) -> dict[tuple[str, Unit], int]:
        """Return this instance's open requests by upstream and unit, without zero counts."""
        with self._lock:
            self._open_by_unit = +self._open_by_unit
            return dict(self._open_by_unit)

    def own(self) -> dict[str, Load]:
        """Return this instance's load of the upstreams with open or waiting requests."""
        with self._lock:
            return {key: load for key, load in self._own.items() if load.requests or load.waiting}

    def own_at(self, upstream_id: str) -> Load:
        """Return this instance's load of an upstream."""
        return self._own.get(upstream_id, NO_LOAD)

    def set_others(self, others: dict[str, Load], instances: int = 1) -> None:
        """Set the summed load from the other instances; ``instances`` counts this one as well."""
        with self._lock:
            self._others, self._instances = others, instances
            self._others_at = time.monotonic()

    def announcement(self) -> float:
        """Return what changes whenever the load from the other instances is announced.

        Without announcements it changes as often as they usually come.
        """
        now = time.monotonic()
        if now - self._others_at > OTHERS_FRESH_SECONDS:
            return now // ANNOUNCEMENT_SECONDS
        return self._others_at

    def is_uneven(self) -> bool:
        """Return whether this instance has clearly more requests open than the others on average."""
        instances = self._instances
        if instances < 2 or time.monotonic() - self._others_at > UNEVEN_FRESH_SECONDS:
            return False
        with self._lock:
            own = sum(load.requests for load in self._own.values())
            others = sum(load.requests for load in self._others.values())
        return own > UNEVEN_RATIO * others / (instances - 1)

    def total(self, upstream_id: str) -> Load:
        """Return the load of an upstream from all instances."""
        own = self._own.get(upstream_id, NO_LOAD)
        if time.monotonic() - self._others_at > OTHERS_FRESH_SECONDS:
            return own
        return own.plus(self._others.get(upstream_id, NO_LOAD))

    def parts(self, upstream_id: str) -> tuple[Load, Load, float]:
        """Return this instance's load, the others', and the milliseconds since its announcement.

        The others' load is returned however old it is, zero if none was announced.
        """
        own = self._own.get(upstream_id, NO_LOAD)
        age_ms = (time.monotonic() - self._others_at) * 1000.0
        return own, self._others.get(upstream_id, NO_LOAD), age_ms

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop entries without open requests of upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                if key in self._own and not (self._own[key].requests or self._own[key].waiting):
                    del self._own[key]
