"""Decides which model to load where, and what makes room for it."""

import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from heapq import nlargest
from typing import NamedTuple

from redwingscale_daemon._internal.routes.service_rule import EngineRule, ModelRule
from redwingscale_daemon._internal.swaps.demand import (
    RECENT_HALF_LIFE_SECONDS,
    Demand,
    WaitingUnit,
)
from redwingscale_daemon._internal.swaps.evictions import DEMAND_HORIZON_SECONDS, Eviction, Evictions
from redwingscale_daemon._internal.swaps.room import load_time
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# A model that is at hand at some worker comes back within about a second.
LOCAL_COPY_FRACTION = 0.4
# The part of the requests that a further copy takes over which is in time for it.
EXTRA_COPY_IN_TIME_FRACTION = 0.5
# The part of a busy model's requests that a second holder saves in the long run, by the
# crashes of only holders.
SINGLE_HOLDER_RISK_FRACTION = 0.08
# Prompts of half a second and of a tenth wait to be read at such a worker.
OVERLOADED_PROMPT_TOKENS = 12_000
LIGHT_LOAD_PROMPT_TOKENS = 2_500
# In requests: a load keeps a worker from other orders, and its weights take a place in
# the rate of the weight store.
LOAD_COST_PER_SECOND = 0.8
# A model that is asked for now and then, and must come from the weight store, never
# pays by its requests alone: each second that they ask in vain counts as part of
# one. After some 15 seconds it comes in, at the cost of a model that rests.
OVERDUE_REQUESTS_PER_SECOND = 0.2
MAX_OVERDUE_REQUESTS = 6.0
# Each plan weighs each wish at each worker; one of the best is enough for one swap.
MAX_COVERAGE_PROPOSALS = 24


class Swap(NamedTuple):
    """Load ``model`` at a worker after its ``evicted`` models have gone.

    ``net_gain`` is in requests, beyond what the evictions and the load cost.
    """

    view: WorkerView
    model: ModelRule
    evicted: tuple[str, ...]
    load_seconds: float
    cold: bool
    net_gain: float


class _Proposal(NamedTuple):
    """A copy of ``model`` that would serve ``gain`` requests, by the seconds of its load.

    A ``spare_only`` one takes the place of copies that another worker holds as
    well; a ``calm_only`` one goes to workers that have little to read.
    """

    model: ModelRule
    gain: Callable[[float], float]
    spare_only: bool = False
    lightly_loaded_only: bool = False


class Planner:
    """Finds the swap that gains most: requests that it serves against those it costs."""

    def __init__(self, service: str, engine: EngineRule, demand: Demand) -> None:
        self._service = service
        self._engine = engine
        self._demand = demand

    def best_swap(
        self, waiting: Iterable[WaitingUnit], views: Sequence[WorkerView], *, cold_allowed: bool
    ) -> Swap | None:
        """Return the swap that gains most, whatever calls for it, None when none pays now.

        What requests ask for now is weighed together: a rare model that one waits for
        would else take the turn of a further copy of one that turns hundreds away.
        What may be asked for later comes after it.
        """
        evictions = self._evictions(views)
        current = [
            *(proposal for one in waiting if (proposal := self._waiting_proposal(one)) is not None),
            *self._extra_copy_proposals(evictions, views),
        ]
        return _choose_best(current, evictions, views, cold_allowed=cold_allowed) or _choose_best(
            self._coverage_proposals(evictions, views), evictions, views, cold_allowed=cold_allowed
        )

    def swap_for(
        self, waiting: WaitingUnit, views: Sequence[WorkerView], *, cold_allowed: bool
    ) -> Swap | None:
        """Return the best way to bring in what requests wait for, None when none pays now.

        A worker whose models are all in use is no choice, however long the
        request has waited: another one is free soon, and what is dropped here
        would be asked for again at once.
        """
        proposal = self._waiting_proposal(waiting)
        proposals = [proposal] if proposal else []
        return _choose_best(proposals, self._evictions(views), views, cold_allowed=cold_allowed)

    def coverage_swap(self, views: Sequence[WorkerView], *, cold_allowed: bool) -> Swap | None:
        """Return a swap that brings in a model that nobody holds, where it pays.

        Only copies that another worker holds as well make room: where not all
        models fit, each would else drive another one out for ever.
        """
        evictions = self._evictions(views)
        proposals = self._coverage_proposals(evictions, views)
        return _choose_best(proposals, evictions, views, cold_allowed=cold_allowed)

    def extra_copy_swap(self, views: Sequence[WorkerView], *, cold_allowed: bool) -> Swap | None:
        """Return a swap that adds a copy of a model that needs one.

        Either its holders are overloaded, or a busy model has one holder only: a
        crash of that one would cost all its requests for the time of a load.
        """
        evictions = self._evictions(views)
        proposals = self._extra_copy_proposals(evictions, views)
        return _choose_best(proposals, evictions, views, cold_allowed=cold_allowed)

    def _evictions(self, views: Sequence[WorkerView]) -> Evictions:
        return Evictions(self._service, self._engine, self._demand, views)

    def _waiting_proposal(self, waiting: WaitingUnit) -> _Proposal | None:
        rule = self._engine.models_by_name.get(waiting.unit.model)
        if rule is None:
            return None
        expected = self._expected(rule.name)
        missing = self._demand.missing_seconds(self._service, rule.name, resident=False)
        overdue = min(MAX_OVERDUE_REQUESTS, missing * OVERDUE_REQUESTS_PER_SECOND)

        def gain(load_seconds: float) -> float:
            in_time = waiting.max_wait_seconds > load_seconds
            return expected + overdue + (waiting.requests if in_time else 0)

        return _Proposal(rule, gain)

    def _coverage_proposals(self, evictions: Evictions, views: Sequence[WorkerView]) -> list[_Proposal]:
        local = frozenset().union(*(v.upstream.in_memory | v.upstream.on_disk for v in views))

        def proposal(name: str, rule: ModelRule) -> _Proposal:
            value = self._demand.baseline_requests(self._service, name) + self._expected(name)
            value *= LOCAL_COPY_FRACTION if name in local else 1.0
            return _Proposal(rule, lambda _: value, spare_only=True)

        proposals = [
            proposal(name, rule)
            for name, rule in self._engine.models_by_name.items()
            if name not in evictions.holders
        ]
        return nlargest(MAX_COVERAGE_PROPOSALS, proposals, key=lambda one: one.gain(0.0))

    def _extra_copy_proposals(self, evictions: Evictions, views: Sequence[WorkerView]) -> list[_Proposal]:
        def proposal(name: str) -> _Proposal:
            value = self._extra_copy_gain(name, evictions.holders[name], arriving.get(name, 0.0), views)
            return _Proposal(self._engine.models_by_name[name], lambda _: value, lightly_loaded_only=True)

        arriving = _arriving_copies(views)
        proposals = [proposal(name) for name in evictions.holders if name in self._engine.models_by_name]
        return [one for one in proposals if one.gain(0.0) > 0]

    def _extra_copy_gain(
        self, name: str, holders: int, arriving: float, views: Sequence[WorkerView]
    ) -> float:
        """Return what one more copy gains beside ``holders``, ``coming`` of them on their way.

        For demand that moves to a model with one copy, among some hundred workers: with
        one copy on its way at a time, and four seconds for each, it takes as many
        seconds as it needs copies, four times over. So copies are loaded side by side
        as long as those on their way would not take over all that is missed.
        """
        expected = self._expected(name)
        absorbed = self._demand.recent_rate(self._service, name) * arriving / holders
        unabsorbed = max(0.0, self._demand.overload_rate(self._service, name) - absorbed)
        overload_gain = unabsorbed * DEMAND_HORIZON_SECONDS * EXTRA_COPY_IN_TIME_FRACTION
        if arriving >= 1:
            return overload_gain
        overloaded = all(v.prompt_tokens > OVERLOADED_PROMPT_TOKENS for v in views if name in v.resident)
        shared_gain = expected / (holders + 1) * EXTRA_COPY_IN_TIME_FRACTION if overloaded else 0.0
        single_holder_gain = expected * SINGLE_HOLDER_RISK_FRACTION if holders == 1 else 0.0
        return max(overload_gain, shared_gain, single_holder_gain)

    def _expected(self, name: str) -> float:
        return self._demand.model_rate(self._service, name) * DEMAND_HORIZON_SECONDS


def _arriving_copies(views: Sequence[WorkerView]) -> dict[str, float]:
    """Return how many copies of each model are on their way, or were so lately.

    What was missed before a copy came fades from the demand in some seconds. The copy
    counts as coming for as long: further ones would else be loaded for those misses.
    """
    now = time.monotonic()
    arriving: dict[str, float] = defaultdict(float)
    for view in views:
        if view.loading:
            arriving[view.loading] += 1.0
        for name, settled_at in view.settled_at.items():
            if name in view.resident:
                arriving[name] += 0.5 ** ((now - settled_at) / RECENT_HALF_LIFE_SECONDS)
    return arriving


def _choose_best(
    proposals: Iterable[_Proposal],
    evictions: Evictions,
    views: Sequence[WorkerView],
    *,
    cold_allowed: bool,
) -> Swap | None:
    """Return the swap that gains most beyond its loss and its load, if any does."""
    priced = [
        (proposal.gain(seconds) - eviction.loss - seconds * LOAD_COST_PER_SECOND, proposal, view, eviction)
        for proposal in proposals
        for view in views
        if (eviction := _choose_eviction(proposal, view, evictions)) is not None
        for seconds, cold in [load_time(proposal.model, view)]
        if cold_allowed or not cold
    ]
    best = max(priced, key=lambda option: option[0], default=None)
    if best is None or best[0] <= 0:
        return None
    net_gain, proposal, view, eviction = best
    return Swap(view, proposal.model, eviction.models, *load_time(proposal.model, view), net_gain)


def _choose_eviction(proposal: _Proposal, view: WorkerView, evictions: Evictions) -> Eviction | None:
    if not view.free or proposal.model.name in view.resident:
        return None
    if proposal.lightly_loaded_only and view.prompt_tokens >= LIGHT_LOAD_PROMPT_TOKENS:
        return None
    return evictions.cheapest(view, proposal.model.weights_mb, spare_only=proposal.spare_only)
