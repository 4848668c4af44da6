"""Which models and adapters are resident at upstreams, from the leader and from reports."""

import math
import threading
import time
from typing import NamedTuple

# The leader sends its view four times a second; after several lost updates the view is
# older than the upstreams' own entries.
FRESH_SECONDS = 1.5

AdaptersByModel = dict[str, frozenset[str]]


class ResidencyView(NamedTuple):
    """The leader's view, received at the monotonic time ``received_at``.

    ``ready_in_by_unit`` has the seconds until a unit that is being loaded is resident.
    """

    resident_by_upstream: dict[str, AdaptersByModel]
    ready_in_by_unit: dict[str, float]
    received_at: float


class Residency:
    """The leader's latest view, and what upstreams have reported themselves."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._view = ResidencyView({}, {}, float("-inf"))
        # What upstreams have reported themselves, and when.
        self._reported: dict[str, tuple[AdaptersByModel, float]] = {}
        self._fence: int | None = None
        # How many updates of leaders were taken.
        self.updates = 0

    def replace(
        self, resident: dict[str, AdaptersByModel], ready_in: dict[str, float], fence: int = 0
    ) -> None:
        """Take a full view that was just received from the leader with ``fence``."""
        with self._lock:
            self._fence = fence
            self.updates += 1
            self._view = ResidencyView(resident, ready_in, time.monotonic())

    def update(
        self, resident: dict[str, AdaptersByModel], ready_in: dict[str, float], fence: int
    ) -> None:
        """Take changes to the view of the leader with ``fence``.

        Changes from another leader are ignored until its full view is received.
        """
        with self._lock:
            if fence == self._fence:
                merged = {**self._view.resident_by_upstream, **resident}
                self.updates += 1
                self._view = ResidencyView(merged, ready_in, time.monotonic())

    def reported(self, upstream_id: str, resident: AdaptersByModel, at: float) -> None:
        """Take an upstream's own report, received at the monotonic time ``at``."""
        with self._lock:
            self._reported[upstream_id] = (resident, at)

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop the reports of upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._reported.pop(key, None)

    @property
    def age(self) -> float:
        """Seconds since the last update of a leader."""
        return time.monotonic() - self._view.received_at

    @property
    def fresh(self) -> bool:
        """Whether an update of a leader was received lately."""
        return self.age < FRESH_SECONDS

    def resident(self, upstream_id: str, listed_at: float = math.inf) -> AdaptersByModel | None:
        """Return what is resident at ``upstream_id``, None if unknown here.

        ``listed_at`` is when the list was read, monotonic: a view that is neither fresh
        nor newer than that read is not used. An instance that receives the leader's
        updates does not read the list, so its copy may be 20 s old. When the leader falls
        silent, its last view is preferred until the list is read, or the upstream reports.
        """
        received_at = self._view.received_at
        resident, reported_at = self._reported.get(upstream_id, (None, -math.inf))
        if reported_at > max(received_at, -math.inf if listed_at == math.inf else listed_at):
            return resident
        if not self.fresh and received_at < listed_at:
            return None
        return self._view.resident_by_upstream.get(upstream_id)

    def ready_in(self, unit: str) -> float | None:
        """Return the seconds until ``unit`` is resident somewhere, None if unknown."""
        if not self.fresh:
            return None
        ready_in = self._view.ready_in_by_unit.get(unit)
        if ready_in is None:
            return None
        return max(0.0, ready_in - (time.monotonic() - self._view.received_at))
