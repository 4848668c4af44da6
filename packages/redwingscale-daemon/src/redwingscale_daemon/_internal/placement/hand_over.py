"""Keeps units that are no longer in the target until their substitutes are ready."""

from collections import Counter
from collections.abc import Iterable, Mapping

from redwingscale_daemon._internal.placement.engine_room import EngineRoom
from redwingscale_daemon._internal.placement.group import Group
from redwingscale_daemon._internal.placement.plan import PlannedUnit

REQUIRED_SUBSTITUTES = 2

Target = Mapping[str, Mapping[str, Group]]


class HandOver:
    """Decides which units each engine keeps, before new loads are added to the plan.

    Make before break: a group that is resident but no longer in the target stays until
    its model is ready on `REQUIRED_SUBSTITUTES` of the engines that have it in their
    target, or on all if they are fewer. It is unloaded earlier only if its memory is
    needed and another ready copy of its model remains. ``groups_by_key`` has every listed
    version; a resident that is not in it is unloaded at once.
    """

    def __init__(
        self,
        groups_by_key: Mapping[str, Group],
        target: Target,
        rooms_by_engine: Mapping[str, EngineRoom],
    ) -> None:
        self._groups_by_key = groups_by_key
        self._target = target
        self._rooms_by_engine = rooms_by_engine
        self._ready_by_engine = {e: self._ready(room) for e, room in rooms_by_engine.items()}
        self._ready_copies = Counter(
            groups_by_key[key].model for keys in self._ready_by_engine.values() for key in keys
        )
        wanted = [(e, key, g.model) for e, groups in target.items() for key, g in groups.items()]
        self._wanted = Counter(model for _, _, model in wanted)
        self._ready_wanted = Counter(m for e, key, m in wanted if key in self._ready_by_engine[e])

    def listed(
        self, released_by_engine: Mapping[str, Iterable[PlannedUnit]]
    ) -> dict[str, dict[str, PlannedUnit]]:
        """Return the units to list, by engine; ``released_by_engine`` is from the last plan."""
        return {
            engine: self._listed_here(room, {p.unit: p for p in released_by_engine.get(engine, ())})
            for engine, room in self._rooms_by_engine.items()
        }

    def _listed_here(
        self, room: EngineRoom, released: dict[str, PlannedUnit]
    ) -> dict[str, PlannedUnit]:
        if not room.is_open:
            # Which units are ready there is unknown. The engine's owner may be alive, and
            # would unload the only copy of a model if this plan did not list it.
            return released
        return self._wanted_here(room, set(released)) | self._kept_here(room)

    def _wanted_here(self, room: EngineRoom, released: set[str]) -> dict[str, PlannedUnit]:
        present = released | {r.unit for r in room.residents}
        groups = self._target[room.engine].values()
        return {p.unit: p for group in groups for p in group.units if p.unit in present}

    def _kept_here(self, room: EngineRoom) -> dict[str, PlannedUnit]:
        target = self._target[room.engine]
        serving = [r.unit for r in room.residents if r.ready and r.unit not in target]
        obsolete = [self._groups_by_key[key] for key in serving if key in self._groups_by_key]
        present = {r.unit for r in room.residents}
        return {
            p.unit: p
            for group in obsolete
            if not self._may_unload(room, group)
            for p in group.units
            if p.unit in present
        }

    def _may_unload(self, room: EngineRoom, group: Group) -> bool:
        is_ready = group.key in self._ready_by_engine[room.engine]
        others = self._ready_copies[group.model] - is_ready
        required = min(REQUIRED_SUBSTITUTES, self._wanted[group.model])
        replaced = 0 < required <= self._ready_wanted[group.model]
        if not replaced and not (others > 0 and self._lacks_memory(room)):
            return False
        # Subtracted at once, so that two engines never both unload the last two copies.
        self._ready_copies[group.model] -= is_ready
        return True

    def _ready(self, room: EngineRoom) -> set[str]:
        """Return the keys of the groups that are ready with all their adapters."""
        if not room.is_open:
            return set()
        units = {r.unit for r in room.residents if r.ready}
        groups = [self._groups_by_key[u] for u in units if u in self._groups_by_key]
        return {g.key for g in groups if all(p.unit in units for p in g.units)}

    def _lacks_memory(self, room: EngineRoom) -> bool:
        """Return whether the target does not fit beside the residents."""
        groups = self._target[room.engine].values()
        sizes = {r.unit: r.size_bytes for r in room.residents}
        sizes |= {p.unit: p.size_bytes for group in groups for p in group.units}
        return sum(sizes.values()) > room.capacity_bytes
