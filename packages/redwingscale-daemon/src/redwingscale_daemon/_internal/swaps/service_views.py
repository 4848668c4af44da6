"""The planner's view of a service: its workers, and the models that requests miss there."""

from collections.abc import Callable, Mapping, Sequence

from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory
from redwingscale_daemon._internal.routes.service_rule import EngineRule
from redwingscale_daemon._internal.swaps.demand import Demand, WaitingUnit
from redwingscale_daemon._internal.swaps.instance_totals import Totals
from redwingscale_daemon._internal.swaps.rate_limited_views import limit_resident_models
from redwingscale_daemon._internal.swaps.worker_pool import WorkerPool
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# One refused request in some seconds does not justify a load.
MIN_REFUSED_PER_SECOND = 0.2


class ServiceViews:
    """Combines the upstream list, the workers' ledgers and the rate limits of upstreams."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        workers: WorkerPool,
        demand: Demand,
        limits_by_id: Callable[[], Mapping[str, float]],
    ) -> None:
        self._directory = directory
        self._workers = workers
        self._demand = demand
        self._limits_by_id = limits_by_id

    def views(self, service: str, totals: Totals) -> list[WorkerView]:
        """Return the workers of ``service`` that accept new work from most instances."""
        views = self._workers.views(self._directory.usable(service), totals)
        limits_by_id = self._limits_by_id()
        if not limits_by_id:
            return views
        return limit_resident_models(
            views,
            limits_by_id,
            lambda model: self._demand.model_rate(service, model),
            [one.unit for one in self._demand.waiting() if one.service == service],
        )

    def missing_models(
        self,
        service: str,
        engine: EngineRule,
        views: Sequence[WorkerView],
        totals: Totals,
        *,
        by_arrivals: bool = False,
    ) -> list[WaitingUnit]:
        """Return the requested models that are neither resident nor being loaded at ``views``.

        Behind the queue of an upstream with a rate limit, or before the retry time of one that
        rejects requests, most requests are refused at once and wait nowhere. Their models count as
        missing all the same. With ``by_arrivals``, so do all models that are requested now: their
        requests are refused at once while no load is planned.
        """
        present = {name for view in views for name in [*view.resident, view.loading]}
        waiting = [
            one
            for one in self._demand.wanted()
            if one.service == service and one.unit.model not in present
        ]
        if by_arrivals:
            waiting += self._requested(service, engine, present, waiting)
        if not self._limits_by_id() and not totals.rejecting:
            return waiting
        counted = present | {one.unit.model for one in waiting}
        refused = [
            WaitingUnit(service, Unit(name), rate, 0.0)
            for name in engine.models_by_name.keys() - counted
            if (rate := self._demand.overload_rate(service, name)) >= MIN_REFUSED_PER_SECOND
        ]
        return waiting + refused

    def _requested(
        self,
        service: str,
        engine: EngineRule,
        present: set[str],
        waiting: Sequence[WaitingUnit],
    ) -> list[WaitingUnit]:
        counted = present | {one.unit.model for one in waiting}
        return [
            WaitingUnit(service, Unit(name), rate, 0.0)
            for name, rate in self._demand.requested_models(service).items()
            if name in engine.models_by_name and name not in counted
        ]
