"""Finds the models that a worker can evict to make room, and the cost of evicting them."""

import time
from collections.abc import Sequence
from itertools import combinations
from typing import NamedTuple

from redwingscale_daemon._internal.routes.service_rule import DEMAND_SHIFT_SECONDS, EngineRule
from redwingscale_daemon._internal.swaps.copy_guard import CopyGuard
from redwingscale_daemon._internal.swaps.demand import Demand
from redwingscale_daemon._internal.swaps.room import used_mb
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# A model that has just been loaded has requests on their way to it.
MIN_RESIDENT_SECONDS = 1.5
# A model that is loaded or evicted is expected to keep its recent request rate for this long.
DEMAND_HORIZON_SECONDS = DEMAND_SHIFT_SECONDS
# Value of a second copy of a model without requests, in requests.
IDLE_SECOND_COPY_REQUESTS = 0.3
# Fraction of the requests moved from an evicted copy to another holder that are late there.
LATE_REQUESTS_FRACTION = 0.3
# Cost, in requests, of evicting a copy that `Demand.copies_to_keep` reserves until demand is
# observed.
INITIAL_COPY_REQUESTS = 5.0
# Cost, in requests, of each running request: it delays the unload of its model until it ends.
RUNNING_REQUEST_COST = 0.3
MAX_EVICTED_MODELS = 3


class Eviction(NamedTuple):
    """Models to evict, the memory that is free then, and the cost in requests.

    ``spare`` is true if each of them is resident at another worker as well.
    """

    models: tuple[str, ...]
    room_mb: float
    loss: float
    spare: bool


class Evictions:
    """The possible evictions at each worker, computed once for all models that need room."""

    def __init__(
        self,
        service: str,
        engine: EngineRule,
        demand: Demand,
        views: Sequence[WorkerView],
        guard: CopyGuard | None = None,
    ) -> None:
        self._service = service
        self._engine = engine
        self._demand = demand
        self._views = views
        # None where copies at hand decide nothing.
        self.guard = guard
        self.holder_counts = _holder_counts(views)
        self._by_upstream: dict[str, list[Eviction]] = {}

    def cheapest(
        self, view: WorkerView, needed_mb: float, *, spare_only: bool = False
    ) -> Eviction | None:
        """Return the cheapest eviction that leaves ``needed_mb`` free, None if there is none.

        Evicting two copies that are resident elsewhere as well may cost less than evicting the
        only copy of one model.
        """
        choices = self._by_upstream.get(view.upstream.id)
        if choices is None:
            choices = self._by_upstream[view.upstream.id] = self._choices(view)
        sufficient = (
            choice
            for choice in choices
            if choice.room_mb >= needed_mb and (choice.spare or not spare_only)
        )
        return min(sufficient, key=lambda choice: choice.loss, default=None)

    def _choices(self, view: WorkerView) -> list[Eviction]:
        names = [name for name in view.resident if self._may_evict(name, view)]
        losses = {name: self._loss(name, view) for name in names}
        return [
            Eviction(
                evicted,
                self._room_mb(view, evicted),
                sum(losses[name] for name in evicted),
                all(self.holder_counts[name] > 1 for name in evicted),
            )
            for count in range(min(len(names), MAX_EVICTED_MODELS) + 1)
            for evicted in combinations(names, count)
        ]

    def _may_evict(self, name: str, view: WorkerView) -> bool:
        if not _is_evictable(name, view) or self._is_last_for_streams(name, view):
            return False
        return self.guard is None or self.guard.may_evict(name, view)

    def _is_last_for_streams(self, name: str, view: WorkerView) -> bool:
        """Return whether streams that run here could go on at no other upstream."""
        software = view.upstream.software
        same = [one for one in self._views if one.upstream.software == software]
        return (
            len(same) < len(self._views)
            and view.open_for(name) > 0
            and not any(name in one.resident for one in same if one is not view)
        )

    def _room_mb(self, view: WorkerView, evicted: tuple[str, ...]) -> float:
        kept = {name: adapters for name, adapters in view.resident.items() if name not in evicted}
        return self._engine.weights_mb - view.reserved_mb - used_mb(self._engine, kept)

    def _loss(self, name: str, view: WorkerView) -> float:
        """Return how many requests are lost or late if the copy of ``name`` is evicted."""
        running = view.open_for(name) * RUNNING_REQUEST_COST
        rate = self._demand.model_rate(self._service, name)
        others = self.holder_counts.get(name, 1) - 1
        if others <= 0:
            later = self._demand.baseline_requests(self._service, name)
            now = rate * DEMAND_HORIZON_SECONDS
            if self.guard is not None:
                later = self.guard.idle_loss(name, later)
                now = self.guard.only_holder_loss(name, now)
            return running + later + now
        if others < self._demand.copies_to_keep(self._service, name):
            return running + INITIAL_COPY_REQUESTS
        # Each holder's fraction of the requests grows from 1/n to 1/(n - 1).
        more = rate * DEMAND_HORIZON_SECONDS / (others * (others + 1))
        return running + IDLE_SECOND_COPY_REQUESTS / others**2 + more * LATE_REQUESTS_FRACTION


def _is_evictable(name: str, view: WorkerView) -> bool:
    resident_seconds = time.monotonic() - view.settled_at.get(name, float("-inf"))
    return resident_seconds > MIN_RESIDENT_SECONDS


def _holder_counts(views: Sequence[WorkerView]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for view in views:
        for name in [*view.resident, *([view.loading] if view.loading else [])]:
            counts[name] = counts.get(name, 0) + 1
    return counts
