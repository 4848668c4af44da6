"""Chooses the worker that loads an adapter."""

from collections.abc import Sequence

from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# Cost of a full worker, in requests: the adapter that is evicted there may be requested again.
EVICTION_COST_REQUESTS = 10


def choose_worker(unit: Unit, views: Sequence[WorkerView], slots: int) -> WorkerView | None:
    """Return the best worker to load the adapter of ``unit``, None if no worker has room.

    Only adapters that no request uses are evicted: an order to unload one in use blocks all other
    orders of the worker until its last request has ended.
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
