"""The leader's plans for copies at hand, for the services where these are on."""

import math
import time
from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.routes.service_rule import EngineRule
from redwingscale_daemon._internal.settings.scheduling import Mode, is_on
from redwingscale_daemon._internal.swaps.copy_guard import CopyGuard
from redwingscale_daemon._internal.swaps.copy_map import CopyMap
from redwingscale_daemon._internal.swaps.demand import Demand
from redwingscale_daemon._internal.swaps.recent_evictions import RecentEvictions
from redwingscale_daemon._internal.swaps.staging import Staging
from redwingscale_daemon._internal.swaps.staging_options import StagedLoad
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# The reports that a successor reads before it stages anything, for each of its plans.
MAX_REPORTS_PER_STEP = 8
# A successor stages nothing before all instances have sent their demand.
FIRST_UPDATES_SECONDS = 1.0
# A worker where a staged load has failed gets the next one this much later.
RETRY_SECONDS = 5.0


class CopySettings(NamedTuple):
    """When copies at hand decide and when they are staged, and what counts them.

    ``on_staged`` is called with the purpose of each staged load, ``on_missing`` with the service
    and how many of its models are at no reachable worker.
    """

    mode: Mode = Mode.OFF
    staging: Mode = Mode.OFF
    on_staged: Callable[[str], None] = lambda _: None
    on_missing: Callable[[str, int], None] = lambda _, __: None


class CopyPlans:
    """Makes the guards for the planner and finds staged loads, in one leader.

    The plan needs no state of a former leader: the evictions remembered here only prevent swaps.
    A successor does not know what the loads in flight are of. It reads the reports of all workers,
    and stages nothing while one carries out an order, for at most the time of a cold load.
    """

    def __init__(self, settings: CopySettings, demand: Demand) -> None:
        self._settings = settings
        self._demand = demand
        self._recent = RecentEvictions()
        self._missing_by_service: dict[str, int] = {}
        # The last staged load at each worker, with its start.
        self._staged_by_id: dict[str, tuple[str, float]] = {}
        # When the term began, if another process was leader before; else None.
        self._succeeded_at: float | None = None

    def is_on(self, engine: EngineRule | None) -> bool:
        """Return whether copies at hand decide for a service with ``engine``."""
        return is_on(self._settings.mode, engine)

    def stages(self, engine: EngineRule | None) -> bool:
        """Return whether copies are staged for a service with ``engine``."""
        return self.is_on(engine) and is_on(self._settings.staging, engine)

    def begin_term(self, *, succeeds_another: bool) -> None:
        """Note the start of a term as leader."""
        self._succeeded_at = time.monotonic() if succeeds_another else None

    def guard(self, service: str, engine: EngineRule, views: Sequence[WorkerView]) -> CopyGuard:
        """Return the guard for one plan."""
        copies = CopyMap(engine, views, time.monotonic())
        return CopyGuard(service, engine, self._demand, self._recent, copies)

    def note_evictions(self, service: str, models: Sequence[str]) -> None:
        """Note that ``models`` are evicted now."""
        self._recent.note(service, models)

    def reports_to_read(self, engine: EngineRule, views: Sequence[WorkerView]) -> list[str]:
        """Return the ids of the workers whose reports a successor needs now."""
        if not self._is_taking_over(engine):
            return []
        unknown = [one.upstream.id for one in views if one.free and not one.confirmed]
        return unknown[:MAX_REPORTS_PER_STEP]

    def next_load(
        self,
        service: str,
        engine: EngineRule,
        views: Sequence[WorkerView],
        *,
        cold_allowed: bool,
        awaited: Collection[str] = (),
    ) -> StagedLoad | None:
        """Return the next load to stage, None if none is useful.

        Requests wait for the ``awaited`` models, but a swap for them does not pay off now.
        """
        guard = self.guard(service, engine, views)
        self._note_missing(service, len(guard.copies.missing()))
        if self._is_taking_over(engine) and not self._is_informed(views):
            return None
        usable = [view._replace(free=view.free and not self._has_failed(view)) for view in views]
        staging = Staging(service, engine, self._demand, guard, usable)
        load = staging.next_load(cold_allowed=cold_allowed, awaited=awaited)
        if load is not None:
            self._staged_by_id[load.view.upstream.id] = (load.model, time.monotonic())
            self._settings.on_staged(load.purpose)
            log_event(
                "copy_staged",
                upstream=load.view.upstream.id,
                model=load.model,
                evicted=",".join(load.evicted) or "-",
                cold=load.cold,
                seconds=load.load_seconds,
                purpose=load.purpose,
                missing=self._missing_by_service[service],
            )
        return load

    def _is_taking_over(self, engine: EngineRule) -> bool:
        if self._succeeded_at is None:
            return False
        longest = max((rule.cold_seconds for rule in engine.models_by_name.values()), default=0.0)
        return time.monotonic() - self._succeeded_at < longest

    def _is_informed(self, views: Sequence[WorkerView]) -> bool:
        assert self._succeeded_at is not None
        early = time.monotonic() - self._succeeded_at < FIRST_UPDATES_SECONDS
        return not early and all(view.confirmed for view in views)

    def _has_failed(self, view: WorkerView) -> bool:
        """Return whether the last staged load at a worker that is free has failed lately."""
        model, began_at = self._staged_by_id.get(view.upstream.id, ("", -math.inf))
        if not view.free or time.monotonic() - began_at > RETRY_SECONDS:
            return False
        return view.settled_at.get(model, -math.inf) < began_at

    def _note_missing(self, service: str, count: int) -> None:
        before = self._missing_by_service.get(service, 0)
        self._missing_by_service[service] = count
        if count != before:
            self._settings.on_missing(service, count)
        if count > before or (before and not count):
            # Each staged load tells how many are left.
            log_event("models_without_copy", service=service, models=count)
