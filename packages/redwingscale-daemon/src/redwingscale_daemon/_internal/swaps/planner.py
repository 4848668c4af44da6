"""Decides which model to load where, and which models to evict for it."""

import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from heapq import nlargest
from typing import NamedTuple

from redwingscale_daemon._internal.routes.service_rule import EngineRule, ModelRule
from redwingscale_daemon._internal.swaps.copy_guard import CopyGuard
from redwingscale_daemon._internal.swaps.demand import (
    RECENT_HALF_LIFE_SECONDS,
    Demand,
    WaitingUnit,
)
from redwingscale_daemon._internal.swaps.evictions import (
    DEMAND_HORIZON_SECONDS,
    Eviction,
    Evictions,
)
from redwingscale_daemon._internal.swaps.room import load_time
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# A model that some worker has cached in memory or on disk can be loaded within about a second when
# it is requested: loading it in advance has this fraction of the value of loading one that only
# the weight store has.
LOCAL_COPY_FRACTION = 0.4
# Fraction of the requests moved to an extra copy that it serves in time.
EXTRA_COPY_IN_TIME_FRACTION = 0.5
# Fraction of a busy model's requests that a second holder saves in the long run, since single
# holders crash.
SINGLE_HOLDER_RISK_FRACTION = 0.08
# Unread prompt tokens at an overloaded and at a lightly loaded worker: half a second and a tenth
# of a second of reading.
OVERLOADED_PROMPT_TOKENS = 12_000
LIGHT_LOAD_PROMPT_TOKENS = 2_500
# Requests per second that one holder serves in time at least: prompts of some 2,400 tokens at 19
# tokens per ms, for half of the engine's time.
SERVED_PER_HOLDER = 4.0
# Cost of a load, in requests: it blocks other orders of the worker, and its weights count against
# the rate of the weight store.
LOAD_COST_PER_SECOND = 0.8
# A rarely requested model that only the weight store has never pays off by its requests alone.
# Each second that requests wait in vain therefore counts as this fraction of a request; after some
# 15 seconds the model is loaded in place of an idle one.
OVERDUE_REQUESTS_PER_SECOND = 0.2
MAX_OVERDUE_REQUESTS = 6.0
# An unload waits for the streams that run on the model.
BUSY_UNLOAD_SECONDS = 2.0
# Each plan evaluates each proposal at each worker; one of the best is enough for one swap.
MAX_COVERAGE_PROPOSALS = 24


class Swap(NamedTuple):
    """Load ``model`` at a worker after unloading its ``evicted`` models.

    ``net_gain`` is in requests, after the cost of the evictions and of the load.
    """

    view: WorkerView
    model: ModelRule
    evicted: tuple[str, ...]
    load_seconds: float
    cold: bool
    net_gain: float


class _Proposal(NamedTuple):
    """A copy of ``model`` to load; ``gain`` returns the requests that it serves by load seconds.

    A ``spare_only`` proposal evicts only copies of models that are resident elsewhere as well; a
    ``lightly_loaded_only`` one is for workers with few unread prompt tokens. A ``free_room_only``
    one evicts nothing. An ``awaited`` one is for requests without a holder.
    """

    model: ModelRule
    gain: Callable[[float], float]
    spare_only: bool = False
    lightly_loaded_only: bool = False
    free_room_only: bool = False
    awaited: bool = False

    def net_gain(self, eviction: Eviction, load_seconds: float) -> float:
        """Return the gain of a load after its costs."""
        return self.gain(load_seconds) - eviction.loss - load_seconds * LOAD_COST_PER_SECOND


class Planner:
    """Finds the swap with the highest net gain: requests that it serves minus those it costs."""

    def __init__(
        self,
        service: str,
        engine: EngineRule,
        demand: Demand,
        guard_for: Callable[[Sequence[WorkerView]], CopyGuard | None] = lambda _: None,
    ) -> None:
        self._service = service
        self._engine = engine
        self._demand = demand
        # Returns the guard of the copies at hand, None where they decide nothing.
        self._guard_for = guard_for

    def best_swap(
        self, waiting: Iterable[WaitingUnit], views: Sequence[WorkerView], *, cold_allowed: bool
    ) -> Swap | None:
        """Return the swap with the highest net gain for any reason, None if none pays off now.

        Models that requests wait for and extra copies are compared directly: a rare model that one
        request waits for would otherwise delay an extra copy of a model with hundreds of refused
        requests. Models that may be requested later are considered only after these.
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
        """Return the best swap to load what requests wait for, None if none pays off now.

        A worker whose models are all in use is not chosen, however long the request has waited:
        another worker is free soon, and the evicted model would be requested again at once.
        """
        proposal = self._waiting_proposal(waiting)
        proposals = [proposal] if proposal else []
        return _choose_best(proposals, self._evictions(views), views, cold_allowed=cold_allowed)

    def coverage_swap(self, views: Sequence[WorkerView], *, cold_allowed: bool) -> Swap | None:
        """Return a swap that loads a model without a holder, None if none pays off.

        Only copies of models that are resident elsewhere as well are evicted: if not all models
        fit, they would otherwise evict one another for ever.
        """
        evictions = self._evictions(views)
        proposals = self._coverage_proposals(evictions, views)
        return _choose_best(proposals, evictions, views, cold_allowed=cold_allowed)

    def extra_copy_swap(self, views: Sequence[WorkerView], *, cold_allowed: bool) -> Swap | None:
        """Return a swap that adds a copy of a model that needs one, None if none pays off.

        A model needs one if its holders are overloaded, or if it is busy and has one holder only:
        a crash of that holder would cost all its requests for the time of a load.
        """
        evictions = self._evictions(views)
        proposals = self._extra_copy_proposals(evictions, views)
        return _choose_best(proposals, evictions, views, cold_allowed=cold_allowed)

    def _evictions(self, views: Sequence[WorkerView]) -> Evictions:
        guard = self._guard_for(views)
        return Evictions(self._service, self._engine, self._demand, views, guard)

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

        return _Proposal(rule, gain, awaited=True)

    def _coverage_proposals(
        self, evictions: Evictions, views: Sequence[WorkerView]
    ) -> list[_Proposal]:
        local = frozenset().union(*(v.upstream.in_memory | v.upstream.on_disk for v in views))

        def proposal(name: str, rule: ModelRule) -> _Proposal:
            value = self._demand.baseline_requests(self._service, name) + self._expected(name)
            value *= LOCAL_COPY_FRACTION if name in local else 1.0
            return _Proposal(
                rule,
                lambda _: value,
                spare_only=True,
                free_room_only=evictions.guard is not None,
            )

        if evictions.guard is not None and evictions.guard.copies.missing():
            # Staging makes copies of these first.
            return []

        proposals = [
            proposal(name, rule)
            for name, rule in self._engine.models_by_name.items()
            if name not in evictions.holder_counts
        ]
        return nlargest(MAX_COVERAGE_PROPOSALS, proposals, key=lambda one: one.gain(0.0))

    def _extra_copy_proposals(
        self, evictions: Evictions, views: Sequence[WorkerView]
    ) -> list[_Proposal]:
        def proposal(name: str) -> _Proposal:
            value = self._extra_copy_gain(
                name, evictions.holder_counts[name], arriving.get(name, 0.0), views
            )
            if evictions.guard is not None:
                value = max(value, self._sudden_gain(name, evictions.holder_counts[name], views))
            return _Proposal(
                self._engine.models_by_name[name], lambda _: value, lightly_loaded_only=True
            )

        arriving = _arriving_copies(views)
        proposals = [
            proposal(name)
            for name in evictions.holder_counts
            if name in self._engine.models_by_name
        ]
        return [one for one in proposals if one.gain(0.0) > 0]

    def _extra_copy_gain(
        self, name: str, holders: int, arriving: float, views: Sequence[WorkerView]
    ) -> float:
        """Return the gain of one more copy beside ``holders``, of which ``arriving`` are loading.

        If demand moves to a model with one copy, among some hundred workers, loading one copy at a
        time takes four seconds for each copy that it needs. Copies are therefore loaded in
        parallel as long as those that are arriving would not absorb all overload.
        """
        expected = self._expected(name)
        absorbed = self._demand.recent_rate(self._service, name) * arriving / holders
        unabsorbed = max(0.0, self._demand.overload_rate(self._service, name) - absorbed)
        overload_gain = unabsorbed * DEMAND_HORIZON_SECONDS * EXTRA_COPY_IN_TIME_FRACTION
        if arriving >= 1:
            return overload_gain
        overloaded = all(
            v.prompt_tokens > OVERLOADED_PROMPT_TOKENS for v in views if name in v.resident
        )
        shared_gain = expected / (holders + 1) * EXTRA_COPY_IN_TIME_FRACTION if overloaded else 0.0
        single_holder_gain = expected * SINGLE_HOLDER_RISK_FRACTION if holders == 1 else 0.0
        return max(overload_gain, shared_gain, single_holder_gain)

    def _sudden_gain(self, name: str, holders: int, views: Sequence[WorkerView]) -> float:
        """Return the gain of one more copy of a model that is loading and resident nowhere.

        Nothing tells its overload before the first load ends. If its arrivals exceed what the
        loading copies will serve, more of them are loaded at the same time.
        """
        if any(name in view.resident for view in views):
            return 0.0
        rates = self._demand.requested_models(self._service)
        served = max(SERVED_PER_HOLDER, sum(rates.values()) / max(1, len(views)))
        unserved = max(0.0, rates.get(name, 0.0) - holders * served)
        return unserved * DEMAND_HORIZON_SECONDS * EXTRA_COPY_IN_TIME_FRACTION

    def _expected(self, name: str) -> float:
        return self._demand.model_rate(self._service, name) * DEMAND_HORIZON_SECONDS


def _arriving_copies(views: Sequence[WorkerView]) -> dict[str, float]:
    """Return how many copies of each model are loading, or were until lately.

    Overload from before a copy was loaded fades from the demand within some seconds. The copy
    counts as arriving for as long; otherwise further copies would be loaded for that overload.
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
    """Return the swap that gains most beyond its loss and its load, None if none pays off.

    Swaps are compared by their costs in copies at hand as well. These prevent a swap altogether
    only if nobody waits for its model: for an awaited one they decide about the worker.
    """
    priced = [
        (net_gain - copies_loss, net_gain, proposal, view, eviction)
        for proposal in proposals
        for view in views
        if (eviction := _choose_eviction(proposal, view, evictions)) is not None
        for seconds, cold in [load_time(proposal.model, view)]
        if cold_allowed or not cold
        for wait in [_unload_seconds(view, eviction, evictions.guard)]
        if (net_gain := proposal.net_gain(eviction, wait + seconds)) > 0
        for copies_loss in [_copies_loss(proposal, view, eviction, evictions.guard)]
        if proposal.awaited or net_gain > copies_loss
        if not cold or not _is_sooner_from_copy(proposal, evictions.guard, views)
    ]
    best = max(priced, key=lambda option: option[0], default=None)
    if best is None:
        return None
    _, net_gain, proposal, view, eviction = best
    return Swap(view, proposal.model, eviction.models, *load_time(proposal.model, view), net_gain)


def _unload_seconds(view: WorkerView, eviction: Eviction, guard: CopyGuard | None) -> float:
    """Return how long the evicted models are expected to take to unload."""
    if guard is None or not any(map(view.open_for, eviction.models)):
        return 0.0
    return BUSY_UNLOAD_SECONDS


def _copies_loss(
    proposal: _Proposal, view: WorkerView, eviction: Eviction, guard: CopyGuard | None
) -> float:
    if guard is None:
        return 0.0
    return guard.copies_loss(view, proposal.model.name, eviction.models)


def _is_sooner_from_copy(
    proposal: _Proposal, guard: CopyGuard | None, views: Sequence[WorkerView]
) -> bool:
    return guard is not None and guard.sooner_from_copy(proposal.model, views)


def _choose_eviction(
    proposal: _Proposal, view: WorkerView, evictions: Evictions
) -> Eviction | None:
    if not view.free or proposal.model.name in view.resident:
        return None
    if proposal.lightly_loaded_only and view.prompt_tokens >= LIGHT_LOAD_PROMPT_TOKENS:
        return None
    eviction = evictions.cheapest(view, proposal.model.weights_mb, spare_only=proposal.spare_only)
    if eviction is not None and proposal.free_room_only and eviction.models:
        return None
    return eviction
