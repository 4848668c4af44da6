"""The load of engines: lagging reports, brought forward by what this instance sees."""

import threading
from collections.abc import Iterable

from redwingscale_daemon._internal.upstreams.directory import EngineView
from redwingscale_daemon._internal.upstreams.in_flight import InFlight

MAX_FACTOR = 64.0
SAMPLE_WEIGHT = 0.02


class LoadEstimate:
    """Work per slot, never less than what this instance itself has running there.

    Between two reports this instance knows only its own starts and ends. The
    others do alike, as callers are spread evenly, so its own change since the
    report counts as often as its part of the whole is small. Without this, all
    instances would send to the engine that was idle in the last report.
    """

    def __init__(self, in_flight: InFlight) -> None:
        self._lock = threading.Lock()
        self._in_flight = in_flight
        self._in_flight_at_report: dict[str, tuple[float, int]] = {}
        self._factor = 1.0

    def loads(self, views: Iterable[EngineView]) -> dict[str, float]:
        """Return work per slot by engine."""
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
        """Learn how many times this instance's own work the engines have."""
        if here:
            seen = min(max(reported / here, 1.0), MAX_FACTOR)
            self._factor += SAMPLE_WEIGHT * (seen - self._factor)
