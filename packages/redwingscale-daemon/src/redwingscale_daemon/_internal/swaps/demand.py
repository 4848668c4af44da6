"""How much each model is asked for, over all instances."""

import threading
import time
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.swaps.messages import InstanceNews, NeedEntry

# Demand moves from one model to another within five seconds.
MEMORY_SECONDS = 4.0
# An instance's news replace its former ones; one that is silent needs nothing.
NEWS_SECONDS = 1.5


class WaitingUnit(NamedTuple):
    """Requests that wait for a unit; the most patient gives up after ``patience_seconds``."""

    service: str
    unit: Unit
    requests: int
    patience_seconds: float


class _Rate(NamedTuple):
    per_second: float
    at: float

    def now(self, now: float) -> float:
        return self.per_second * 0.5 ** ((now - self.at) / MEMORY_SECONDS)


class Demand:
    """Arrival rates by unit that fade, and what waits now."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._rates: dict[tuple[str, Unit], _Rate] = {}
        self._waiting: dict[str, tuple[float, list[NeedEntry]]] = {}

    def heard(self, news: InstanceNews) -> None:
        """Take an instance's news."""
        now = time.monotonic()
        with self._lock:
            self._waiting[news.instance] = (now, [need for need in news.needs if need.waiting])
            for need in news.needs:
                self._count(need, now)

    def waiting(self) -> list[WaitingUnit]:
        """Return what requests wait for, the least patient first."""
        now = time.monotonic()
        with self._lock:
            needs = [
                (need, heard_at)
                for heard_at, entries in self._waiting.values()
                if now - heard_at < NEWS_SECONDS
                for need in entries
            ]
        by_unit: dict[tuple[str, Unit], WaitingUnit] = {}
        for need, heard_at in needs:
            key = (need.service, Unit(need.model, need.adapter))
            patience = need.patience_seconds - (now - heard_at)
            known = by_unit.get(key, WaitingUnit(*key, 0, 0.0))
            by_unit[key] = known._replace(
                requests=known.requests + need.waiting,
                patience_seconds=max(known.patience_seconds, patience),
            )
        return sorted(by_unit.values(), key=lambda waiting: waiting.patience_seconds)

    def rate(self, service: str, unit: Unit) -> float:
        """Return the arrivals a second of ``unit`` alone, faded."""
        rate = self._rates.get((service, unit))
        return rate.now(time.monotonic()) if rate else 0.0

    def model_rate(self, service: str, model: str) -> float:
        """Return the arrivals a second of ``model`` with all its adapters."""
        now = time.monotonic()
        with self._lock:
            return sum(
                rate.now(now)
                for (of_service, unit), rate in self._rates.items()
                if of_service == service and unit.model == model
            )

    def _count(self, need: NeedEntry, now: float) -> None:
        key = (need.service, Unit(need.model, need.adapter))
        before = self._rates.get(key, _Rate(0.0, now))
        # Each arrival adds what makes a steady stream of one a second add up to one.
        added = need.arrivals * 0.693 / MEMORY_SECONDS
        self._rates[key] = _Rate(before.now(now) + added, now)
