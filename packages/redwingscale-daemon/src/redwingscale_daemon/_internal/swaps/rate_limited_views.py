"""The planner's view of upstreams with a rate limit."""

from collections.abc import Callable, Collection, Mapping, Sequence

from redwingscale_daemon._internal.fleet.residency import AdaptersByModel
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# Fraction of an upstream's rate limit that its models may use on average: requests arrive
# unevenly.
USABLE_LIMIT_FRACTION = 0.7


def limit_resident_models(
    views: Sequence[WorkerView],
    limits_by_id: Mapping[str, float],
    rate_of: Callable[[str], float],
    waiting: Collection[Unit],
) -> list[WorkerView]:
    """Return ``views`` with rate-limited upstreams reduced to the models that they can serve.

    Of the models that no upstream without a limit has, a rate-limited one keeps those with the
    lowest rate per second (``rate_of``), up to its limit. The others count as missing, so that
    they are loaded elsewhere, and so do models with a ``waiting`` adapter that is resident
    nowhere. A rate-limited upstream gets no orders: they would use up calls that requests need. If
    all upstreams have limits, the views are returned unchanged.
    """
    unlimited = [view for view in views if view.upstream.id not in limits_by_id]
    if not unlimited:
        return list(views)
    elsewhere = {name for view in unlimited for name in [*view.resident, view.loading]}
    missing = {unit.model for unit in waiting if unit.adapter and not _is_resident(unit, views)}
    limited = [view for view in views if view.upstream.id in limits_by_id]
    return unlimited + [
        view._replace(
            free=False,
            resident=_served_within_limit(
                {name: adapters for name, adapters in view.resident.items() if name not in missing},
                elsewhere,
                rate_of,
                limits_by_id[view.upstream.id],
            ),
        )
        for view in limited
    ]


def _served_within_limit(
    resident: AdaptersByModel,
    elsewhere: Collection[str],
    rate_of: Callable[[str], float],
    per_second: float,
) -> AdaptersByModel:
    left = per_second * USABLE_LIMIT_FRACTION
    served = {}
    for name in sorted(resident.keys() - elsewhere, key=rate_of):
        left -= rate_of(name)
        if left < 0:
            break
        served[name] = resident[name]
    return served


def _is_resident(unit: Unit, views: Sequence[WorkerView]) -> bool:
    return any(unit.adapter in view.resident.get(unit.model, ()) for view in views)
