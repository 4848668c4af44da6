"""Which models and adapters upstreams hold, as the order giver tells it."""

import math
import threading
import time
from typing import NamedTuple

# The order giver tells its view four times a second; a view that has missed
# several is older than the upstreams' own entries.
FRESH_SECONDS = 1.5

AdaptersByModel = dict[str, frozenset[str]]


class ResidencyView(NamedTuple):
    """Adapters by model by upstream id; ``ready_in`` is when a unit that loads will be there."""

    resident_by_upstream: dict[str, AdaptersByModel]
    ready_in_by_unit: dict[str, float]
    received_at: float


class Residency:
    """The newest view of the order giver."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._view = ResidencyView({}, {}, float("-inf"))
        # What upstreams have said themselves, and when.
        self._reported: dict[str, tuple[AdaptersByModel, float]] = {}
        self._fence: int | None = None

    def replace(
        self, resident: dict[str, AdaptersByModel], ready_in: dict[str, float], fence: int = 0
    ) -> None:
        """Take the view that has just come from the order giver with ``fence``."""
        with self._lock:
            self._fence = fence
            self._view = ResidencyView(resident, ready_in, time.monotonic())

    def update(
        self, resident: dict[str, AdaptersByModel], ready_in: dict[str, float], fence: int
    ) -> None:
        """Take what has changed since the view of the same order giver.

        Of another giver than the one that told the view, nothing is known yet.
        """
        with self._lock:
            if fence == self._fence:
                known = {**self._view.resident_by_upstream, **resident}
                self._view = ResidencyView(known, ready_in, time.monotonic())

    def reported(self, upstream_id: str, resident: AdaptersByModel, at: float) -> None:
        """Take what an upstream has said of itself."""
        with self._lock:
            self._reported[upstream_id] = (resident, at)

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop what upstreams that are gone have said."""
        with self._lock:
            for key in upstream_ids:
                self._reported.pop(key, None)

    @property
    def age(self) -> float:
        """Seconds since the order giver was last heard."""
        return time.monotonic() - self._view.received_at

    @property
    def fresh(self) -> bool:
        """Whether an order giver was heard of lately."""
        return self.age < FRESH_SECONDS

    def resident(self, upstream_id: str, known_at: float = math.inf) -> AdaptersByModel | None:
        """Return what ``upstream_id`` holds, None without a fresh view or one from after ``known_at``.

        An instance that hears the order giver does not read the list: what it last read
        there may be 20 s old. When the giver falls silent, its last view is the better
        one until the list, or the upstreams themselves, could be read again.
        """
        received_at = self._view.received_at
        resident, reported_at = self._reported.get(upstream_id, (None, -math.inf))
        if reported_at > max(received_at, -math.inf if known_at == math.inf else known_at):
            return resident
        if not self.fresh and received_at < known_at:
            return None
        return self._view.resident_by_upstream.get(upstream_id)

    def ready_in(self, unit: str) -> float | None:
        """Return the seconds until ``unit`` can be used somewhere, None if unknown."""
        if not self.fresh:
            return None
        ready_in = self._view.ready_in_by_unit.get(unit)
        if ready_in is None:
            return None
        return max(0.0, ready_in - (time.monotonic() - self._view.received_at))
