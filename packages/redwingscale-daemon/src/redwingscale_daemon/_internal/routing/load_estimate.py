"""Estimates the load of engines from delayed reports and own requests."""

import threading
from collections.abc import Iterable

from redwingscale_daemon._internal.upstreams.directory import EngineView
from redwingscale_daemon._internal.upstreams.in_flight import InFlight

# Limits the ratio of all requests to the own ones, which is about the number of instances.
MAX_FACTOR = 64.0
SAMPLE_WEIGHT = 0.02


class LoadEstimate:
    """Estimates requests per slot, at least those of this instance in flight.

    Between two reports this instance sees only its own requests start and end. Callers
    are spread evenly over instances, so the others change alike: the own change since
    the report is multiplied by the ratio of all requests to the own ones. Without this,
    all instances would send to the engine that was idle in the last report.
    """

    def __init__(self, in_flight: InFlight) -> None:
        self._lock = threading.Lock()
        self._in_flight = in_flight
        self._in_flight_at_report: dict[str, tuple[float, int]] = {}
        self._factor = 1.0

    def loads(self, views: Iterable[EngineView]) -> dict[str, float]:
        """Return requests per slot by engine."""
        with self._lock:
            return {view.member.id: self._load(view) for view in views}

    def _load(self, view: EngineView) -> float:
        here = self._in_flight.count(view.member.id)
        if (digest := view.digest) is None:
            return float(here)
        reported = digest.running + digest.waiting
        received_at, before = self._in_flight_at_report.get(view.member.id, (0.0, 0))
        if received_at != view.received_at:
            before = here
            self._in_flight_at_report[view.member.id] = (view.received_at, here)
            self._update_factor(reported, here)
        expected = reported + self._factor * (here - before)
        return max(here, expected) / max(1, digest.slots)

    def _update_factor(self, reported: int, here: int) -> None:
        """Update the average ratio of reported requests to those of this instance."""
        if here:
            seen = min(max(reported / here, 1.0), MAX_FACTOR)
            self._factor += SAMPLE_WEIGHT * (seen - self._factor)
