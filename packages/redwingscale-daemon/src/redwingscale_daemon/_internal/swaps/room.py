"""Computes the memory that models take at a worker and how long they take to load."""

from redwingscale_daemon._internal.fleet.residency import AdaptersByModel
from redwingscale_daemon._internal.routes.service_rule import EngineRule, ModelRule
from redwingscale_daemon._internal.swaps.worker_view import WorkerView


def used_mb(engine: EngineRule, resident: AdaptersByModel) -> float:
    """Return the memory that models and adapters take; an unknown model counts as the largest."""
    total = 0.0
    for name, adapters in resident.items():
        rule = engine.models_by_name.get(name)
        total += rule.weights_mb + len(adapters) * rule.adapter_mb if rule else _largest_mb(engine)
    return total


def _largest_mb(engine: EngineRule) -> float:
    return max((rule.weights_mb for rule in engine.models_by_name.values()), default=0.0)


def load_time(rule: ModelRule, view: WorkerView) -> tuple[float, bool]:
    """Return the seconds that a load takes, and whether it reads from the weight store."""
    if rule.name in view.upstream.in_memory:
        return rule.memory_seconds, False
    if rule.name in view.upstream.on_disk:
        return rule.disk_seconds, False
    return rule.cold_seconds, True
