"""The cost of a swap in copies at hand, and the models that a swap must not evict."""

import time
from collections.abc import Iterable

from redwingscale_daemon._internal.routes.service_rule import (
    DEMAND_SHIFT_SECONDS,
    EngineRule,
    ModelRule,
)
from redwingscale_daemon._internal.swaps.copy_map import CopyMap
from redwingscale_daemon._internal.swaps.demand import MISSING_PER_SECOND, Demand
from redwingscale_daemon._internal.swaps.recent_evictions import RecentEvictions
from redwingscale_daemon._internal.swaps.room import load_time
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# Cost, in requests, of the loss of a model's last copy at hand: its next load takes some 7 s
# longer, at `planner.LOAD_COST_PER_SECOND`, and every second model is requested at some time.
LAST_COPY_REQUESTS = 3.0
# A model that was loaded for requests stays for as long: its demand moves on no sooner. Two models
# would otherwise evict each other for as long as both are requested.
KEPT_SECONDS = DEMAND_SHIFT_SECONDS
# The eviction of a requested model's only holder causes another load at once, in the place of a
# third model: it has to gain this many times what is lost.
RELOADED_LOSS_FACTOR = 2.0
# The requests that a model without current demand may get are late by a second if it is at hand.
LOCAL_COPY_LOSS_FRACTION = 0.4
# Time between the end of a worker's load and the start of the next one there: the report is polled
# every 0.15 s and instances stop routing to the evicted model within 0.12 s.
BETWEEN_LOADS_SECONDS = 0.5


class CopyGuard:
    """Judges the swaps of one plan; for the planner and for `staging.Staging`."""

    def __init__(
        self,
        service: str,
        engine: EngineRule,
        demand: Demand,
        recent: RecentEvictions,
        copies: CopyMap,
    ) -> None:
        self._service = service
        self._engine = engine
        self._demand = demand
        self._recent = recent
        self.copies = copies

    def may_evict(self, name: str, view: WorkerView) -> bool:
        """Return whether ``name`` may be evicted at a worker where it was loaded some time ago."""
        settled_at = view.settled_at.get(name)
        if settled_at is None or time.monotonic() - settled_at >= KEPT_SECONDS:
            return True
        rule = self._engine.models_by_name.get(name)
        load_seconds = rule.cold_seconds if rule else 0.0
        if self._recent.returned(self._service, name, settled_at, load_seconds):
            return False
        return self._demand.recent_rate(self._service, name) < MISSING_PER_SECOND

    def idle_loss(self, name: str, requests: float) -> float:
        """Return the loss of ``requests`` that may come for the model after its eviction."""
        return requests * (LOCAL_COPY_LOSS_FRACTION if self.copies.at_hand(name) else 1.0)

    def only_holder_loss(self, name: str, requests: float) -> float:
        """Return the loss of the ``requests`` that come for the model without a holder."""
        requested = self._demand.recent_rate(self._service, name) >= MISSING_PER_SECOND
        return requests * (RELOADED_LOSS_FACTOR if requested else 1.0)

    def copies_loss(self, view: WorkerView, name: str, evicted: Iterable[str]) -> float:
        """Return the cost, in requests, of the last copies that a load may drive out."""
        lost = self.copies.last_copies_lost(view, name, evicted)
        return LAST_COPY_REQUESTS * sum(lost.values())

    def sooner_from_copy(self, rule: ModelRule, views: Iterable[WorkerView]) -> bool:
        """Return whether a worker with a copy will have loaded it sooner than the weight store.

        Such a worker carries out another order now; a load from the weight store elsewhere would
        end later than both that order and a load from the copy.
        """
        return any(
            view.ready_in + BETWEEN_LOADS_SECONDS + load_time(rule, view)[0] < rule.cold_seconds
            for view in views
            if view.loading and rule.name in self.copies.local(view)
        )
