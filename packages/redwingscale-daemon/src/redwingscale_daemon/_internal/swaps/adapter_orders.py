"""Decides which adapters are loaded at which workers, and which are evicted for them."""

from collections.abc import Callable

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.routes.service_rule import EngineRule
from redwingscale_daemon._internal.swaps.adapter_choice import choose_worker
from redwingscale_daemon._internal.swaps.adapter_spread import AdapterSpread
from redwingscale_daemon._internal.swaps.demand import Demand, WaitingUnit
from redwingscale_daemon._internal.swaps.tasks import AdapterTask
from redwingscale_daemon._internal.swaps.worker_pool import WorkerPool
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# An extra copy of an adapter evicts only adapters with less than this fraction of its request
# rate: each request for an evicted adapter waits until it is loaded again.
MAX_EVICTED_RATE_FRACTION = 0.3


class AdapterOrders:
    """Starts adapter loads at workers where the adapters' models are resident."""

    def __init__(self, demand: Demand, workers: WorkerPool) -> None:
        self._demand = demand
        self._workers = workers
        self._spread = AdapterSpread()

    def load_waiting(
        self, waiting: WaitingUnit, engine: EngineRule, views: list[WorkerView]
    ) -> None:
        """Load an adapter that requests wait for, if a worker has room for it."""
        view = choose_worker(waiting.unit, views, engine.adapter_slots)
        if view is not None:
            self._start_load(waiting.service, waiting.unit, engine, view, waiting.requests)

    def load_extra_copies(
        self, service: str, engine: EngineRule, views: Callable[[str], list[WorkerView]]
    ) -> None:
        """Load overloaded adapters at additional, less loaded copies of their models."""
        overloaded = self._demand.overloaded_adapters(service)
        if not overloaded:
            return
        for copy in self._spread.choose_copies(overloaded, views(service), engine.adapter_slots):
            self._demand.clear_overload(service, copy.unit)
            evicted = self._least_requested(service, engine, copy.view)
            requested = self._demand.rate(service, copy.unit)
            if all(
                self._demand.rate(service, one) < requested * MAX_EVICTED_RATE_FRACTION
                for one in evicted
            ):
                self._start_load(service, copy.unit, engine, copy.view, 0)

    def _start_load(
        self, service: str, unit: Unit, engine: EngineRule, view: WorkerView, waiting: float
    ) -> None:
        evicted = self._least_requested(service, engine, view)
        log_event(
            "adapter_planned",
            upstream=view.upstream.id,
            unit=unit,
            evicted=",".join(map(str, evicted)) or "-",
            waiting=waiting,
        )
        self._workers.start_task(view.upstream.id, AdapterTask(unit, evicted))

    def _least_requested(
        self, service: str, engine: EngineRule, view: WorkerView
    ) -> tuple[Unit, ...]:
        """Return the least requested idle adapters to evict for one more adapter."""
        excess = max(0, len(view.adapters()) + 1 - engine.adapter_slots)
        idle = view.idle_adapters()
        return tuple(sorted(idle, key=lambda one: self._demand.rate(service, one))[:excess])
