"""What upstreams with a rate limit still serve, as the planner sees it."""

from collections.abc import Callable, Collection, Mapping, Sequence

from redwingscale_daemon._internal.fleet.residency import AdaptersByModel
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# Of the limit of an upstream, what its models may be asked for on average:
# requests come unevenly.
USABLE_LIMIT_FRACTION = 0.7


def limit_resident_models(
    views: Sequence[WorkerView],
    limits_by_id: Mapping[str, float],
    rate_of: Callable[[str], float],
    waiting: Collection[Unit],
) -> list[WorkerView]:
    """Return ``views`` in which upstreams with a limit hold only what they can serve.

    Of the models that no other upstream holds, one with a limit keeps those that
    are ``asked`` for least a second, up to its limit; the others count as
    missing, so that they are loaded elsewhere. It gets no orders: they would take the
    place of requests. Where all have limits, they are planned for as they are.
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
    resident: AdaptersByModel, elsewhere: Collection[str], rate_of: Callable[[str], float], per_second: float
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
