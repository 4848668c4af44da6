"""Decides which model gets a copy at which worker before anyone asks for it."""

import math
import time
from collections.abc import Iterable, Sequence
from itertools import chain, combinations
from typing import NamedTuple

from redwingscale_daemon._internal.routes.service_rule import EngineRule
from redwingscale_daemon._internal.swaps.copy_guard import CopyGuard
from redwingscale_daemon._internal.swaps.demand import (
    KEPT_INITIAL_COPIES_FRACTION,
    OBSERVATION_SECONDS,
    Demand,
)
from redwingscale_daemon._internal.swaps.evictions import MAX_EVICTED_MODELS, MIN_RESIDENT_SECONDS
from redwingscale_daemon._internal.swaps.planner import LIGHT_LOAD_PROMPT_TOKENS
from redwingscale_daemon._internal.swaps.room import load_time, used_mb
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# A model counts as unrequested below this rate: its last request is some 8 s old.
UNREQUESTED_PER_SECOND = 0.02
# During traffic, staging occupies at most this fraction of the workers: each is blocked for the
# time of a cold load, and a copy on its disk may be asked for meanwhile.
MAX_WORKERS_IN_TRAFFIC = 0.1
# A worker with less than this fraction of the mean copies is filled up: it is new.
FEW_COPIES_FRACTION = 0.5
# Costs of evicting a model for a staged one, in order of preference: a model that was resident
# nowhere at the start, one with enough other holders, one at hand only, one with too few holders.
STAGED_COST, SPARE_COST, AT_HAND_COST, BUSY_COST = 0.0, 1.0, 2.0, 5.0
# An adapter that is resident on an evicted model has to be loaded again with it.
ADAPTER_COST = 0.1


class StagedLoad(NamedTuple):
    """Load ``model`` at a worker after unloading ``evicted``, for ``purpose``."""

    view: WorkerView
    model: str
    evicted: tuple[str, ...]
    load_seconds: float
    cold: bool
    purpose: str


class _Option(NamedTuple):
    """A load with the last copies that it may drive out, and the cost of its evictions."""

    load: StagedLoad
    lost: dict[str, float]
    cost: float


class Staging:
    """The staged loads that are possible at one point in time; called if no request waits.

    Answers two loads: the 16 s before traffic starts, in which some 25 of 104 models are at no
    worker and each of 30 workers carries out one cold load, and the idle workers during traffic.
    Only a load makes a copy, and it drives the least recently used copies out. A model whose last
    copy would be at risk is first loaded from that copy, which makes it the most recently used
    one.
    """

    def __init__(
        self,
        service: str,
        engine: EngineRule,
        demand: Demand,
        guard: CopyGuard,
        views: Sequence[WorkerView],
    ) -> None:
        self._service = service
        self._engine = engine
        self._demand = demand
        self._guard = guard
        self._copies = guard.copies
        self._views = views
        self._traffic_seconds = demand.traffic_seconds()
        self._free = [view for view in views if self._may_load(view)]

    def next_load(self, *, cold_allowed: bool) -> StagedLoad | None:
        """Return the next load, None if none is useful now."""
        if not self._free or self._too_many():
            return None
        missing = self._copies.missing()
        option = (
            self._without_copy(missing)
            or self._protection(missing)
            or self._restoration()
            or self._second_domain()
            or self._few_copies()
        )
        return option.load if option and (cold_allowed or not option.load.cold) else None

    def _may_load(self, view: WorkerView) -> bool:
        if not view.free or view.loading:
            return False
        return self._traffic_seconds is None or view.prompt_tokens < LIGHT_LOAD_PROMPT_TOKENS

    def _too_many(self) -> bool:
        if self._traffic_seconds is None:
            return False
        staged = sum(1 for v in self._views if v.loading and self._is_unrequested(v.loading))
        return staged >= max(1, len(self._views) * MAX_WORKERS_IN_TRAFFIC)

    def _without_copy(self, missing: Iterable[str]) -> _Option | None:
        """Return the load of a model that is at no worker, where no last copy is at risk."""
        for name in missing:
            option = _cheapest(self._options(name, "no_copy"))
            if option is not None:
                return option
        return None

    def _protection(self, missing: Sequence[str]) -> _Option | None:
        """Return a load that prepares a worker for a model that is at no worker.

        Each prepared worker takes one such model, so that no more workers are prepared at a time
        than there are models left.
        """
        prepared = sum(
            1 for view in self._views if view.loading and view.loading in self._copies.local(view)
        )
        if len(missing) <= prepared:
            return None
        at_risk = [
            option
            for view in self._free
            for option in self._options_at(view, missing[0], "no_copy")
        ]
        for option in sorted(at_risk, key=lambda one: (len(one.lost), one.cost)):
            for name in sorted(option.lost):
                if name in self._copies.local(option.load.view):
                    protecting = self._options_at(option.load.view, name, "protects")
                    if (found := _cheapest(protecting)) is not None:
                        return found
        if any(view.loading for view in self._views):
            # A worker that is free later may take it without risk.
            return None
        gaining = [option for option in at_risk if sum(option.lost.values()) < 1]
        return min(gaining, key=lambda one: (sum(one.lost.values()), one.cost), default=None)

    def _restoration(self) -> _Option | None:
        """Return the load of a model that was resident at the start and is in too few places."""
        seconds = self._traffic_seconds
        if seconds is not None and seconds > OBSERVATION_SECONDS:
            return None
        least = 1 if seconds is None else 2
        lacking = {
            name: self._copies.holders(name) / initial
            for name in self._engine.models_by_name
            if (initial := self._demand.initial_copies(self._service, name)) >= least
            and self._copies.holders(name) < initial
        }
        for name in sorted(lacking, key=lambda one: (lacking[one], one)):
            options = [
                option
                for option in self._options(name, "restores")
                if not option.load.cold and option.cost < SPARE_COST
            ]
            if (option := _cheapest(options)) is not None:
                return option
        return None

    def _second_domain(self) -> _Option | None:
        """Return the load of a busy model all of whose copies are in one failure domain."""
        domains = {view.upstream.id: view.upstream.failure_domain for view in self._views}
        busy = [name for name in self._engine.models_by_name if self._is_busy(name)]
        for name in sorted(busy, key=self._rate, reverse=True):
            present = {domains[key] for key in self._copies.places(name)}
            if len(present) != 1:
                continue
            options = [
                option
                for option in self._options(name, "second_domain")
                if option.load.view.upstream.failure_domain not in present
            ]
            if (option := _cheapest(options)) is not None:
                return option
        return None

    def _few_copies(self) -> _Option | None:
        """Return a load at a worker with few copies, of the model with the fewest places."""
        stored = {view.upstream.id: self._copies.stored_mb(view) for view in self._views}
        few = sum(stored.values()) / len(stored) * FEW_COPIES_FRACTION
        for view in self._free:
            if stored[view.upstream.id] >= few:
                continue
            options = [
                option
                for name in self._engine.models_by_name
                if name not in view.resident and self._copies.fits_on_disk(view, name)
                for option in self._options_at(view, name, "few_copies")
                if not option.lost and option.load.cold
            ]
            best = min(
                options,
                key=lambda one: (
                    len(self._copies.places(one.load.model)),
                    -self._rate(one.load.model),
                    one.cost,
                    one.load.model,
                ),
                default=None,
            )
            if best is not None:
                return best
        return None

    def _options(self, name: str, purpose: str) -> list[_Option]:
        return [
            option
            for view in self._free
            if name not in view.resident
            for option in self._options_at(view, name, purpose)
        ]

    def _options_at(self, view: WorkerView, name: str, purpose: str) -> list[_Option]:
        rule = self._engine.models_by_name[name]
        if name in view.resident:
            return []
        names = [one for one in view.resident if self._may_evict(one, view)]
        counts = range(min(len(names), MAX_EVICTED_MODELS) + 1)
        return [
            _Option(
                StagedLoad(view, name, evicted, *load_time(rule, view), purpose),
                self._copies.last_copies_lost(view, name, evicted),
                sum(self._cost(one, view) for one in evicted),
            )
            for evicted in chain.from_iterable(combinations(names, count) for count in counts)
            if self._room_mb(view, evicted) >= rule.weights_mb
            and all(self._survives(one, view) for one in evicted)
        ]

    def _may_evict(self, name: str, view: WorkerView) -> bool:
        if view.open_for(name) or not self._is_unrequested(name):
            return False
        if self._traffic_seconds is None:
            return True
        settled_at = view.settled_at.get(name, -math.inf)
        return time.monotonic() - settled_at > MIN_RESIDENT_SECONDS and self._guard.may_evict(
            name, view
        )

    def _survives(self, name: str, view: WorkerView) -> bool:
        """Return whether ``name`` is still somewhere after it is unloaded at the worker."""
        return name in self._copies.local(view) or bool(
            self._copies.places(name) - {view.upstream.id}
        )

    def _cost(self, name: str, view: WorkerView) -> float:
        adapters = len(view.resident[name]) * ADAPTER_COST
        initial = self._demand.initial_copies(self._service, name)
        others = self._copies.holders(name) - 1
        if initial == 0:
            return STAGED_COST
        if others < math.ceil(initial * KEPT_INITIAL_COPIES_FRACTION) and initial > 1:
            return BUSY_COST + adapters
        return (SPARE_COST if others > 0 else AT_HAND_COST) + adapters

    def _room_mb(self, view: WorkerView, evicted: tuple[str, ...]) -> float:
        kept = {name: adapters for name, adapters in view.resident.items() if name not in evicted}
        return self._engine.weights_mb - used_mb(self._engine, kept)

    def _is_unrequested(self, name: str) -> bool:
        return self._rate(name) < UNREQUESTED_PER_SECOND

    def _is_busy(self, name: str) -> bool:
        if self._traffic_seconds is None:
            return self._demand.initial_copies(self._service, name) > 1
        return not self._is_unrequested(name)

    def _rate(self, name: str) -> float:
        return self._demand.recent_rate(self._service, name)


def _cheapest(options: Iterable[_Option]) -> _Option | None:
    """Return the cheapest option that puts no last copy at risk."""
    return min(
        (option for option in options if not option.lost),
        key=lambda one: (one.cost, len(one.load.evicted), one.load.view.upstream.id),
        default=None,
    )
