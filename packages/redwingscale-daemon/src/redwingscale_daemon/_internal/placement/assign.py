"""Places a first replica of every listed model, and a second in another failure domain."""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from redwingscale_common.finding import Finding

from redwingscale_daemon._internal.placement.engine_room import Availability, EngineRoom
from redwingscale_daemon._internal.placement.group import Group
from redwingscale_daemon._internal.placement.layout import Layout
from redwingscale_daemon._internal.placement.make_room import make_room
from redwingscale_daemon._internal.placement.swap_room import swap_room


class Assignment(NamedTuple):
    """A layout, with a finding for each group that has no replica in it."""

    layout: Layout
    findings: list[Finding]


def assign(
    groups_by_key: Mapping[str, Group],
    rooms_by_engine: Mapping[str, EngineRoom],
    previous_by_engine: Mapping[str, Collection[str]],
    load_by_key: Mapping[str, float],
) -> Assignment:
    """Return the previous layout with as few changes as give every group its replicas.

    All first replicas are placed before any second one, and replace additional replicas
    if there is no free memory. If not all groups fit, those with the least demand are
    left out.
    """
    layout = _keep_previous(groups_by_key, rooms_by_engine, previous_by_engine)
    groups = _in_placement_order(groups_by_key, layout, load_by_key)
    missing = [g for g in groups if not _is_reachable(layout, g)]
    findings = [_finding(g) for g in missing if not _place_replica(layout, g, 1, load_by_key)]
    for group in groups:
        if len(layout.domains(group.key)) == 1:
            _place_replica(layout, group, 2, load_by_key)
    return Assignment(layout, findings)


def _is_reachable(layout: Layout, group: Group) -> bool:
    rooms = layout.rooms_by_engine
    return any(
        rooms[e].availability is not Availability.PARTITIONED for e in layout.replicas(group.key)
    )


def _keep_previous(
    groups_by_key: Mapping[str, Group],
    rooms_by_engine: Mapping[str, EngineRoom],
    previous_by_engine: Mapping[str, Collection[str]],
) -> Layout:
    layout = Layout(rooms_by_engine)
    for engine in rooms_by_engine:
        for key in previous_by_engine.get(engine, ()):
            group = groups_by_key.get(key)
            if group is not None and layout.free_bytes(engine) >= group.size_bytes:
                layout.add(engine, group)
    return layout


def _in_placement_order(
    groups_by_key: Mapping[str, Group], layout: Layout, load_by_key: Mapping[str, float]
) -> list[Group]:
    capacity = sum(r.capacity_bytes for r in layout.rooms_by_engine.values() if r.is_open)
    groups = groups_by_key.values()
    if sum(g.size_bytes for g in groups) <= capacity:
        # All groups fit once: placing large groups first wastes the least memory.
        return sorted(groups, key=lambda g: (-g.size_bytes, g.key))
    return sorted(groups, key=lambda g: (-load_by_key.get(g.key, 0.0), g.size_bytes, g.key))


def _finding(group: Group) -> Finding:
    return Finding(
        f"$.models.{group.model}",
        f"{group.key} fits on no engine: it needs {group.size_bytes} bytes",
        "add memory, or list fewer models",
    )


def _place_replica(
    layout: Layout, group: Group, replica: int, load_by_key: Mapping[str, float]
) -> bool:
    """Add replica number ``replica`` of ``group``; return whether there was room."""
    taken = layout.domains(group.key)
    engines = [
        engine
        for engine, room in layout.rooms_by_engine.items()
        if layout.accepts(engine, group) and room.failure_domain not in taken
    ]
    fitting = [e for e in engines if layout.free_bytes(e) >= group.size_bytes]
    if fitting:
        layout.add(max(fitting, key=lambda e: _preference(layout, e, group)), group)
        return True
    engine = make_room(layout, group, engines, replica, load_by_key)
    engine = engine or swap_room(layout, group, engines)
    if engine is None:
        return False
    layout.add(engine, group)
    return True


def _preference(layout: Layout, engine: str, group: Group) -> tuple[bool, bool, int, str]:
    """Return a sort key: already resident, then fits beside all residents, then most free."""
    room = layout.rooms_by_engine[engine]
    resident_bytes = sum(r.size_bytes for r in room.residents)
    fits_beside_residents = room.capacity_bytes - resident_bytes >= group.size_bytes
    return room.has_resident(group.key), fits_beside_residents, layout.free_bytes(engine), engine
