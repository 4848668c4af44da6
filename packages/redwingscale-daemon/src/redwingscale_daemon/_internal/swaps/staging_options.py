"""The loads that are possible at each worker without anyone waiting for them, and their costs."""

import math
import time
from collections.abc import Iterable, Sequence
from itertools import chain, combinations
from typing import NamedTuple

from redwingscale_daemon._internal.routes.service_rule import EngineRule
from redwingscale_daemon._internal.swaps.copy_guard import CopyGuard
from redwingscale_daemon._internal.swaps.demand import KEPT_INITIAL_COPIES_FRACTION, Demand
from redwingscale_daemon._internal.swaps.evictions import MAX_EVICTED_MODELS, MIN_RESIDENT_SECONDS
from redwingscale_daemon._internal.swaps.planner import LIGHT_LOAD_PROMPT_TOKENS
from redwingscale_daemon._internal.swaps.room import load_time, used_mb
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# A model counts as unrequested below this rate: its last request is some 8 s old.
UNREQUESTED_PER_SECOND = 0.02
# Costs of evicting a model for a staged one, in order of preference: a model that was resident
# nowhere at the start, one with enough other holders, one at hand only, one with too few holders.
STAGED_COST, SPARE_COST, AT_HAND_COST, BUSY_COST = 0.0, 1.0, 2.0, 5.0
# An adapter that is resident on an evicted model has to be loaded again with it.
ADAPTER_COST = 0.1
# A model that is at hand only at a worker that is occupied by a load during traffic.
ONLY_COPY_COST = 0.5


class StagedLoad(NamedTuple):
    """Load ``model`` at a worker after unloading ``evicted``, for ``purpose``."""

    view: WorkerView
    model: str
    evicted: tuple[str, ...]
    load_seconds: float
    cold: bool
    purpose: str


class StagingOption(NamedTuple):
    """A load with the last copies that it may drive out, by probability, and its cost."""

    load: StagedLoad
    lost: dict[str, float]
    cost: float


class StagingOptions:
    """Finds the loads that evict no requested model and no model that would be nowhere then.

    For 45 workers, each of which has two or three resident models.
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
        self._in_traffic = demand.traffic_seconds() is not None
        self.free = [view for view in views if self._may_load(view)]

    def everywhere(self, name: str, purpose: str) -> list[StagingOption]:
        """Return the loads of ``name`` at all free workers."""
        return [option for view in self.free for option in self.at(view, name, purpose)]

    def at(self, view: WorkerView, name: str, purpose: str) -> list[StagingOption]:
        """Return the loads of ``name`` at a worker, one for each choice of evictions."""
        if name in view.resident:
            return []
        rule = self._engine.models_by_name[name]
        names = [one for one in view.resident if self._may_evict(one, view)]
        counts = range(min(len(names), MAX_EVICTED_MODELS) + 1)
        occupied = self._occupied_cost(view) if self._in_traffic else 0.0
        return [
            StagingOption(
                StagedLoad(view, name, evicted, *load_time(rule, view), purpose),
                self._copies.last_copies_lost(view, name, evicted),
                sum(self._cost(one, view) for one in evicted) + occupied,
            )
            for evicted in chain.from_iterable(combinations(names, count) for count in counts)
            if self._room_mb(view, evicted) >= rule.weights_mb
            and all(self._survives(one, view) for one in evicted)
        ]

    def is_unrequested(self, name: str) -> bool:
        """Return whether nobody has asked for ``name`` lately."""
        return self._demand.recent_rate(self._service, name) < UNREQUESTED_PER_SECOND

    def _may_load(self, view: WorkerView) -> bool:
        if not view.free or view.loading:
            return False
        return not self._in_traffic or view.prompt_tokens < LIGHT_LOAD_PROMPT_TOKENS

    def _may_evict(self, name: str, view: WorkerView) -> bool:
        if view.open_for(name) or not self.is_unrequested(name):
            return False
        if not self._in_traffic:
            return True
        resident_seconds = time.monotonic() - view.settled_at.get(name, -math.inf)
        return resident_seconds > MIN_RESIDENT_SECONDS and self._guard.may_evict(name, view)

    def _survives(self, name: str, view: WorkerView) -> bool:
        """Return whether ``name`` is still somewhere after it is unloaded at the worker."""
        return name in self._copies.local(view) or self._copies.kept_elsewhere(name, view)

    def _cost(self, name: str, view: WorkerView) -> float:
        adapters = len(view.resident[name]) * ADAPTER_COST
        initial = self._demand.initial_copies(self._service, name)
        others = self._copies.holders(name) - 1
        if initial == 0:
            return STAGED_COST
        if initial > 1 and others < math.ceil(initial * KEPT_INITIAL_COPIES_FRACTION):
            return BUSY_COST + adapters
        return (SPARE_COST if others > 0 else AT_HAND_COST) + adapters

    def _occupied_cost(self, view: WorkerView) -> float:
        """Return the cost of occupying a worker: models at hand there alone may be asked for."""
        here = {view.upstream.id}
        alone = [name for name in self._copies.local(view) if self._copies.places(name) == here]
        return ONLY_COPY_COST * sum(1 for name in alone if name not in view.resident)

    def _room_mb(self, view: WorkerView, evicted: tuple[str, ...]) -> float:
        kept = {name: adapters for name, adapters in view.resident.items() if name not in evicted}
        return self._engine.weights_mb - view.reserved_mb - used_mb(self._engine, kept)


def cheapest(options: Iterable[StagingOption]) -> StagingOption | None:
    """Return the cheapest option that puts no last copy at risk."""
    return min(
        (option for option in options if not option.lost),
        key=lambda one: (one.cost, len(one.load.evicted), one.load.view.upstream.id),
        default=None,
    )
