"""Decides which model to load where, and what makes room for it."""

import time
from collections.abc import Callable, Iterable, Sequence
from itertools import combinations
from typing import NamedTuple

from redwingscale_daemon._internal.routes.service_rule import EngineRule, ModelRule
from redwingscale_daemon._internal.swaps.demand import Demand, WaitingUnit
from redwingscale_daemon._internal.swaps.room import load_time, used_mb
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# A model that has just come has requests on their way to it.
LEAST_STAY_SECONDS = 1.5
# Gains and losses are counted in requests. A model that comes or goes is expected
# to be asked for as it was lately for this long: demand moves within ten seconds.
HORIZON_SECONDS = 8.0
# What a second copy of a model that nobody asks for is worth.
SECOND_COPY = 0.3
# A model that is at hand at some worker comes back within about a second.
AT_HAND_PART = 0.4
# The part of the requests that come to a holder in place of another one which is
# late for it, and of those that a further copy takes over which is in time for it.
CROWDED_PART = 0.3
RELIEF_PART = 0.5
# The part of a busy model's requests that a second holder saves in the long run: the
# crash of an only holder cost 114 requests in four seconds. Half as much again costs
# calm days 0.03 of worth.
SINGLE_PART = 0.08
# Until demand is seen, as many copies stay as the workers begin with would suggest.
UNSEEN_COPY = 5.0
# Prompts of half a second and of a tenth wait to be read at such a worker.
CROWDED_PROMPT_TOKENS = 12_000
CALM_PROMPT_TOKENS = 2_500
# A load keeps a worker from other orders, and its weights take a place in the rate
# of the weight store. Mean worth of calm days at 0.12, 0.3, 0.5 and 0.8 on the two
# deployments: 0.59, 0.61, 0.68, 0.69 and 0.48, 0.60, 0.67, 0.72.
LOAD_SECOND = 0.8
# A request that runs on a model keeps it from going until it has ended.
RUNNING_REQUEST = 0.3
# A model that is asked for now and then, and must come from the weight store, never
# pays by its requests alone: each second that they ask in vain counts as part of
# one. After some 15 seconds it comes in, at the cost of a model that rests.
MISSING_SECOND = 0.2
MOST_OVERDUE = 6.0
MOST_EVICTIONS = 3


class Swap(NamedTuple):
    """Load ``model`` at a worker after its ``evicted`` models have gone."""

    view: WorkerView
    model: ModelRule
    evicted: tuple[str, ...]
    load_seconds: float
    cold: bool


class Planner:
    """Finds the swap that gains most: requests that it serves against those it costs."""

    def __init__(self, service: str, engine: EngineRule, demand: Demand) -> None:
        self._service = service
        self._engine = engine
        self._demand = demand

    def swap_for(
        self, waiting: WaitingUnit, views: Sequence[WorkerView], *, cold_allowed: bool
    ) -> Swap | None:
        """Return the best way to bring in what requests wait for, None when none pays now.

        A worker whose models are all in use is no choice, however long the
        request has waited: another one is free soon, and what is dropped here
        would be asked for again at once.
        """
        rule = self._engine.models_by_name.get(waiting.unit.model)
        if rule is None:
            return None
        rate = self._demand.model_rate(self._service, rule.name)
        missing = self._demand.missing_seconds(self._service, rule.name, held=False)
        overdue = min(MOST_OVERDUE, missing * MISSING_SECOND)

        def gain(swap: Swap) -> float:
            in_time = waiting.patience_seconds > swap.load_seconds
            served = waiting.requests if in_time else 0
            return rate * HORIZON_SECONDS + served + overdue

        return _best(self._all_options(rule, views), gain, cold_allowed=cold_allowed)

    def coverage_swap(self, views: Sequence[WorkerView], *, cold_allowed: bool) -> Swap | None:
        """Return a swap that brings in a model that nobody holds, where it pays.

        Only copies that another worker holds as well make room: where not all
        models fit, each would else drive another one out for ever.
        """
        holders = _holder_counts(views)
        at_hand = frozenset().union(*(v.upstream.in_memory | v.upstream.on_disk for v in views))
        options = [
            option
            for name, rule in self._engine.models_by_name.items()
            if name not in holders
            for option in self._all_options(rule, views)
            if all(holders[evicted] > 1 for evicted in option[0].evicted)
        ]

        def gain(swap: Swap) -> float:
            name = swap.model.name
            value = self._demand.standing(self._service, name) + self._expected(name)
            return value * (AT_HAND_PART if name in at_hand else 1.0)

        return _best(options, gain, cold_allowed=cold_allowed)

    def _expected(self, name: str) -> float:
        return self._demand.model_rate(self._service, name) * HORIZON_SECONDS

    def relief_swap(self, views: Sequence[WorkerView], *, cold_allowed: bool) -> Swap | None:
        """Return a swap that adds a copy of a model that needs one.

        Either its holders are overloaded, or a busy model has one holder only: a
        crash of that one would cost all its requests for the time of a load.
        """
        holders = _holder_counts(views)
        calm = [view for view in views if view.prompt_tokens < CALM_PROMPT_TOKENS]
        crowded = {
            name
            for name in holders
            if all(v.prompt_tokens > CROWDED_PROMPT_TOKENS for v in views if name in v.held)
            and not any(view.loading == name for view in views)
        }
        single = {
            name
            for name, count in holders.items()
            if count == 1 and not any(view.loading == name for view in views)
        }
        options = [
            option
            for name in crowded | single
            if (rule := self._engine.models_by_name.get(name)) is not None
            for option in self._all_options(rule, calm)
        ]

        def gain(swap: Swap) -> float:
            name = swap.model.name
            rate = self._demand.model_rate(self._service, name)
            if name in crowded:
                return rate * HORIZON_SECONDS / (holders[name] + 1) * RELIEF_PART
            return rate * HORIZON_SECONDS * SINGLE_PART

        return _best(options, gain, cold_allowed=cold_allowed)

    def _all_options(
        self, rule: ModelRule, views: Sequence[WorkerView]
    ) -> list[tuple[Swap, float]]:
        holders = _holder_counts(views)
        return [
            option
            for view in views
            if view.free and rule.name not in view.held
            for option in self._options(rule, view, holders)
        ]

    def _options(
        self, rule: ModelRule, view: WorkerView, holders: dict[str, int]
    ) -> list[tuple[Swap, float]]:
        seconds, cold = load_time(rule, view)
        found = []
        for evicted in self._evictions(rule, view):
            running = sum(map(view.open_for, evicted))
            loss = running * RUNNING_REQUEST + sum(self._loss(n, holders) for n in evicted)
            found.append((Swap(view, rule, evicted, seconds, cold), loss))
        return found

    def _evictions(self, rule: ModelRule, view: WorkerView) -> list[tuple[str, ...]]:
        """Return the sets of models whose room is enough, without needless members.

        Two copies that others hold as well may be a better choice than the only
        copy of one model.
        """
        names = [name for name in view.held if self._may_go(name, view)]
        found: list[tuple[str, ...]] = []
        for count in range(min(len(names), MOST_EVICTIONS) + 1):
            found += [
                out
                for out in combinations(names, count)
                if not any(set(smaller) <= set(out) for smaller in found)
                and self._fits(rule, view, out)
            ]
        return found

    def _may_go(self, name: str, view: WorkerView) -> bool:
        stayed = time.monotonic() - view.settled_at.get(name, float("-inf"))
        return stayed > LEAST_STAY_SECONDS

    def _fits(self, rule: ModelRule, view: WorkerView, evicted: tuple[str, ...]) -> bool:
        stay = {name: held for name, held in view.held.items() if name not in evicted}
        return used_mb(self._engine, stay) + rule.weights_mb <= self._engine.weights_mb

    def _loss(self, name: str, holders: dict[str, int]) -> float:
        """Return how many requests are lost or late when a copy of ``name`` goes."""
        rate = self._demand.model_rate(self._service, name)
        others = holders.get(name, 1) - 1
        if others <= 0:
            return self._demand.standing(self._service, name) + rate * HORIZON_SECONDS
        if others < self._demand.copies_to_keep(self._service, name):
            return UNSEEN_COPY
        # Each holder's part of the requests grows from one in n to one in n - 1.
        more = rate * HORIZON_SECONDS / (others * (others + 1))
        return SECOND_COPY / others**2 + more * CROWDED_PART


def _best(
    options: Iterable[tuple[Swap, float]], gain: Callable[[Swap], float], *, cold_allowed: bool
) -> Swap | None:
    """Return the swap that gains most beyond its loss and its load, if any does."""
    priced = [
        (gain(swap) - loss - swap.load_seconds * LOAD_SECOND, swap)
        for swap, loss in options
        if cold_allowed or not swap.cold
    ]
    best = max(priced, key=lambda option: option[0], default=None)
    return best[1] if best is not None and best[0] > 0 else None


def _holder_counts(views: Sequence[WorkerView]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for view in views:
        for name in [*view.held, *([view.loading] if view.loading else [])]:
            counts[name] = counts.get(name, 0) + 1
    return counts
