"""What upstreams with a rate limit still serve, as the planner sees it."""

from collections.abc import Callable, Collection, Mapping, Sequence

from redwingscale_daemon._internal.fleet.residency import AdaptersByModel
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# Of the limit of an upstream, what its models may be asked for on average:
# requests come unevenly.
CARRIED_PART = 0.7


def with_carried_models(
    views: Sequence[WorkerView],
    limits_by_id: Mapping[str, float],
    asked: Callable[[str], float],
    waiting: Collection[Unit],
) -> list[WorkerView]:
    """Return ``views`` in which upstreams with a limit hold only what they can serve.

    Of the models that no other upstream holds, one with a limit keeps those that
    are ``asked`` for least a second, up to its limit; the others count as
    missing, so that they are loaded elsewhere. It gets no orders: they would take the
    place of requests. Where all have limits, they are planned for as they are.
    """
    sound = [view for view in views if view.upstream.id not in limits_by_id]
    if not sound:
        return list(views)
    elsewhere = {name for view in sound for name in [*view.resident, view.loading]}
    missing = {unit.model for unit in waiting if unit.adapter and not _is_resident(unit, views)}
    limited = [view for view in views if view.upstream.id in limits_by_id]
    return sound + [
        view._replace(
            free=False,
            resident=_carried(
                {name: adapters for name, adapters in view.resident.items() if name not in missing},
                elsewhere,
                asked,
                limits_by_id[view.upstream.id],
            ),
        )
        for view in limited
    ]


def _carried(
    resident: AdaptersByModel,
    elsewhere: Collection[str],
    asked: Callable[[str], float],
    per_second: float,
) -> AdaptersByModel:
    left = per_second * CARRIED_PART
    carried = {}
    for name in sorted(resident.keys() - elsewhere, key=asked):
        left -= asked(name)
        if left < 0:
            break
        carried[name] = resident[name]
    return carried


def _is_resident(unit: Unit, views: Sequence[WorkerView]) -> bool:
    return any(unit.adapter in view.resident.get(unit.model, ()) for view in views)
