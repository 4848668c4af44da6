"""Decides which model to load where, and what makes room for it."""

import time
from collections.abc import Sequence
from itertools import combinations
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.routes.service_rule import EngineRule, ModelRule
from redwingscale_daemon._internal.swaps.demand import Demand
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# Adapters come and go beside the models; this many of the largest fit besides.
# A model that has just come has requests on their way to it.
LEAST_STAY_SECONDS = 1.5
# What a second of waiting of one request weighs against a second of loading.
LOST_HOLDER_WEIGHT = 6.0
DUPLICATE_WEIGHT = 0.4
RUNNING_REQUEST_SECONDS = 0.03
MOST_EVICTIONS = 3


class Swap(NamedTuple):
    """Load ``model`` at a worker after its ``evicted`` models have gone."""

    view: WorkerView
    model: ModelRule
    evicted: tuple[str, ...]
    load_seconds: float
    cold: bool


class Planner:
    """Finds the cheapest swap: load time, and what the evicted models are asked for."""

    def __init__(self, service: str, engine: EngineRule, demand: Demand) -> None:
        self._service = service
        self._engine = engine
        self._demand = demand

    def swap_for(
        self, model: str, views: Sequence[WorkerView], *, cold_allowed: bool
    ) -> Swap | None:
        """Return the best way to bring ``model`` in, None when there is none now."""
        rule = self._engine.models_by_name.get(model)
        if rule is None:
            return None
        holders = _holder_counts(views)
        options = [
            (swap.load_seconds + cost, swap)
            for view in views
            if view.free and model not in view.held
            for swap, cost in self._options(rule, view, holders)
            if cold_allowed or not swap.cold
        ]
        return min(options, key=lambda option: option[0], default=(0.0, None))[1]

    def _options(
        self, rule: ModelRule, view: WorkerView, holders: dict[str, int]
    ) -> list[tuple[Swap, float]]:
        seconds, cold = load_time(rule, view)
        found = []
        for evicted in self._evictions(rule, view):
            cost = sum(self._harm(name, view, holders) for name in evicted)
            found.append((Swap(view, rule, evicted, seconds, cold), cost))
        return found

    def _evictions(self, rule: ModelRule, view: WorkerView) -> list[tuple[str, ...]]:
        """Return the smallest sets of models whose room is enough."""
        names = [name for name in view.held if self._may_go(name, view)]
        for count in range(min(len(names), MOST_EVICTIONS) + 1):
            sets = [
                names_out
                for names_out in combinations(names, count)
                if self._fits(rule, view, names_out)
            ]
            if sets:
                return sets
        return []

    def _may_go(self, name: str, view: WorkerView) -> bool:
        stayed = time.monotonic() - view.settled_at.get(name, float("-inf"))
        return stayed > LEAST_STAY_SECONDS

    def _fits(self, rule: ModelRule, view: WorkerView, evicted: tuple[str, ...]) -> bool:
        stay = {name: held for name, held in view.held.items() if name not in evicted}
        return used_mb(self._engine, stay) + rule.weights_mb <= self._engine.weights_mb

    def _harm(self, name: str, view: WorkerView, holders: dict[str, int]) -> float:
        rate = self._demand.model_rate(self._service, name)
        others = holders.get(name, 1) - 1
        if others <= 0:
            rule = self._engine.models_by_name.get(name)
            back = load_time(rule, view)[0] if rule else 0.0
            return rate * LOST_HOLDER_WEIGHT * (0.5 + back) + 0.2
        return rate / others * DUPLICATE_WEIGHT


def used_mb(engine: EngineRule, held: dict[str, frozenset[str]]) -> float:
    """Return the memory that models and adapters take; unknown models count as the largest."""
    largest = max((rule.weights_mb for rule in engine.models_by_name.values()), default=0.0)
    total = 0.0
    for name, adapters in held.items():
        rule = engine.models_by_name.get(name)
        total += rule.weights_mb + len(adapters) * rule.adapter_mb if rule else largest
    return total


def load_time(rule: ModelRule, view: WorkerView) -> tuple[float, bool]:
    """Return the seconds that a load takes, and whether it comes from the weight store."""
    if rule.name in view.upstream.in_memory:
        return rule.memory_seconds, False
    if rule.name in view.upstream.on_disk:
        return rule.disk_seconds, False
    return rule.cold_seconds, True


def adapter_worker(unit: Unit, views: Sequence[WorkerView], slots: int) -> WorkerView | None:
    """Return the worker at which ``unit``'s adapter is best loaded: one with a place, little to do."""
    holders = [view for view in views if view.free and unit.model in view.held]
    return min(
        holders,
        key=lambda view: (
            _adapters(view) >= slots,
            view.requests * RUNNING_REQUEST_SECONDS + _adapters(view) * RUNNING_REQUEST_SECONDS,
        ),
        default=None,
    )


def _adapters(view: WorkerView) -> int:
    return sum(len(adapters) for adapters in view.held.values())


def _holder_counts(views: Sequence[WorkerView]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for view in views:
        for name in [*view.held, *([view.loading] if view.loading else [])]:
            counts[name] = counts.get(name, 0) + 1
    return counts
