"""What may go from a worker to make room for another model, and what that costs."""

import time
from collections.abc import Sequence
from itertools import combinations
from typing import NamedTuple

from redwingscale_daemon._internal.routes.service_rule import EngineRule
from redwingscale_daemon._internal.swaps.demand import Demand
from redwingscale_daemon._internal.swaps.room import used_mb
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# A model that has just come has requests on their way to it.
MIN_RESIDENT_SECONDS = 1.5
# A model that comes or goes is expected to be asked for as it was lately for this
# long: demand moves within ten seconds.
DEMAND_HORIZON_SECONDS = 8.0
# What a second copy of a model that nobody asks for is worth, in requests.
IDLE_SECOND_COPY_REQUESTS = 0.3
# The part of the requests that come to a holder in place of another one which is
# late for it.
LATE_REQUESTS_FRACTION = 0.3
# Until demand is seen, as many copies stay as the workers begin with would suggest.
INITIAL_COPY_REQUESTS = 5.0
# A request that runs on a model keeps it from going until it has ended.
RUNNING_REQUEST_COST = 0.3
MAX_EVICTED_MODELS = 3


class Eviction(NamedTuple):
    """Models to drop, the room that there is then, and the requests that it costs.

    ``spare`` tells that another worker holds each of them as well.
    """

    models: tuple[str, ...]
    room_mb: float
    loss: float
    spare: bool


class Evictions:
    """The choices at each worker, worked out once for all models that ask for room."""

    def __init__(
        self,
        service: str,
        engine: EngineRule,
        demand: Demand,
        views: Sequence[WorkerView],
    ) -> None:
        self._service = service
        self._engine = engine
        self._demand = demand
        self.holders = _holder_counts(views)
        self._by_upstream: dict[str, list[Eviction]] = {}

    def cheapest(
        self, view: WorkerView, needed_mb: float, *, spare_only: bool = False
    ) -> Eviction | None:
        """Return the cheapest choice that leaves ``needed_mb``, None without one.

        Two copies that others hold as well may be a better choice than the only
        copy of one model.
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
        names = [name for name in view.resident if _is_evictable(name, view)]
        losses = {name: self._loss(name, view) for name in names}
        return [
            Eviction(
                evicted,
                self._room_mb(view, evicted),
                sum(losses[name] for name in evicted),
                all(self.holders[name] > 1 for name in evicted),
            )
            for count in range(min(len(names), MAX_EVICTED_MODELS) + 1)
            for evicted in combinations(names, count)
        ]

    def _room_mb(self, view: WorkerView, evicted: tuple[str, ...]) -> float:
        kept = {name: adapters for name, adapters in view.resident.items() if name not in evicted}
        return self._engine.weights_mb - used_mb(self._engine, kept)

    def _loss(self, name: str, view: WorkerView) -> float:
        """Return how many requests are lost or late when the copy of ``name`` goes."""
        running = view.open_for(name) * RUNNING_REQUEST_COST
        rate = self._demand.model_rate(self._service, name)
        others = self.holders.get(name, 1) - 1
        if others <= 0:
            return running + self._demand.baseline_requests(self._service, name) + rate * DEMAND_HORIZON_SECONDS
        if others < self._demand.copies_to_keep(self._service, name):
            return running + INITIAL_COPY_REQUESTS
        # Each holder's part of the requests grows from one in n to one in n - 1.
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
