"""Makes room on a full engine: removes spare replicas, then moves small groups."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from redwingscale_daemon._internal.placement.group import Group
from redwingscale_daemon._internal.placement.layout import Layout

MAX_ENGINES_TRIED = 64
MAX_DISPLACEMENTS = 6


class Displacement(NamedTuple):
    """``group`` moves from the engine to engine ``to``; an empty ``to`` is an eviction."""

    group: Group
    to: str


def make_room(
    layout: Layout,
    group: Group,
    engines: Iterable[str],
    replica: int,
    load_by_key: Mapping[str, float],
) -> str | None:
    """Make room for ``group`` on one of ``engines`` with the fewest changes; return the engine.

    A replica is evicted only if its group keeps at least ``replica`` others: a second
    replica never replaces the second replica of another model, nor a first the only one.
    """
    tried = sorted(engines, key=lambda e: (-layout.free_bytes(e), e))[:MAX_ENGINES_TRIED]
    plans = [(e, _displacements(layout, group, e, replica, load_by_key)) for e in tried]
    found = [(engine, plan) for engine, plan in plans if plan is not None]
    if not found:
        return None
    engine, plan = min(found, key=lambda item: (len(item[1]), item[0]))
    for displacement in plan:
        layout.remove(engine, displacement.group)
        if displacement.to:
            layout.add(displacement.to, displacement.group)
    return engine


def _displacements(
    layout: Layout,
    group: Group,
    engine: str,
    replica: int,
    load_by_key: Mapping[str, float],
) -> list[Displacement] | None:
    needed = group.size_bytes - layout.free_bytes(engine)
    plan: list[Displacement] = []
    taken: dict[str, int] = {}
    for displaced in _displaceable(layout, engine, replica, load_by_key):
        if needed <= 0 or len(plan) == MAX_DISPLACEMENTS:
            break
        to = (
            ""
            if _is_spare(layout, displaced, replica)
            else _destination(layout, displaced, engine, taken)
        )
        if to is None:
            continue
        if to:
            taken[to] = taken.get(to, 0) + displaced.size_bytes
        plan.append(Displacement(displaced, to))
        needed -= displaced.size_bytes
    return plan if needed <= 0 else None


def _displaceable(
    layout: Layout, engine: str, replica: int, load_by_key: Mapping[str, float]
) -> list[Group]:
    """Return the groups of ``engine``: spare replicas by demand, then the others by size."""

    def rank(group: Group) -> tuple[bool, float]:
        spare = _is_spare(layout, group, replica)
        return not spare, load_by_key.get(group.key, 0.0) if spare else group.size_bytes

    return sorted(layout.groups_by_engine[engine].values(), key=rank)


def _is_spare(layout: Layout, group: Group, replica: int) -> bool:
    return len(layout.replicas(group.key)) > replica


def _destination(layout: Layout, group: Group, engine: str, taken: Mapping[str, int]) -> str | None:
    """Return the engine with the least sufficient room, in a failure domain not in use."""
    used = layout.domains(group.key, without=engine)
    fitting = [
        other
        for other, room in layout.rooms_by_engine.items()
        if room.failure_domain not in used
        and layout.accepts(other, group)
        and layout.free_bytes(other) - taken.get(other, 0) >= group.size_bytes
    ]
    return min(fitting, key=lambda e: (layout.free_bytes(e), e)) if fitting else None
