"""Chooses the worker at which an adapter is loaded."""

from collections.abc import Sequence

from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# An adapter that makes room may be asked for again, as if some requests more ran there.
EVICTION_COST_REQUESTS = 10


def choose_worker(unit: Unit, views: Sequence[WorkerView], slots: int) -> WorkerView | None:
    """Return the worker at which ``unit``'s adapter is best loaded, None without a place.

    Only an adapter that no request uses makes room: the order to drop another one
    would keep the worker from all orders until its last request has ended.
    """
    holders = [
        view
        for view in views
        if view.free
        and unit.model in view.resident
        and len(view.adapters()) - len(view.idle_adapters()) < slots
    ]
    return min(holders, key=lambda view: _adapter_cost(view, slots), default=None)


def _adapter_cost(view: WorkerView, slots: int) -> float:
    full = len(view.adapters()) >= slots
    return view.requests + len(view.adapters()) + (EVICTION_COST_REQUESTS if full else 0)
