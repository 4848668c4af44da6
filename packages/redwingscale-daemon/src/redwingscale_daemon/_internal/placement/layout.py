"""The placement of groups on engines while a plan is made."""

from collections.abc import Mapping

from redwingscale_daemon._internal.placement.engine_room import EngineRoom
from redwingscale_daemon._internal.placement.group import Group


class Layout:
    """Groups by engine and engines by group, with the free memory of each engine."""

    def __init__(self, rooms_by_engine: Mapping[str, EngineRoom]) -> None:
        self.rooms_by_engine = rooms_by_engine
        self.groups_by_engine: dict[str, dict[str, Group]] = {e: {} for e in rooms_by_engine}
        self.engines_by_key: dict[str, list[str]] = {}
        self._free = {e: room.capacity_bytes for e, room in rooms_by_engine.items()}

    def add(self, engine: str, group: Group) -> None:
        """Add a replica of ``group`` to ``engine``."""
        self.groups_by_engine[engine][group.key] = group
        self.engines_by_key.setdefault(group.key, []).append(engine)
        self._free[engine] -= group.size_bytes

    def remove(self, engine: str, group: Group) -> None:
        """Remove the replica of ``group`` from ``engine``."""
        del self.groups_by_engine[engine][group.key]
        self.engines_by_key[group.key].remove(engine)
        self._free[engine] += group.size_bytes

    def free_bytes(self, engine: str) -> int:
        """Return the memory of ``engine`` that no group of the layout uses."""
        return self._free[engine]

    def replicas(self, key: str) -> list[str]:
        """Return the engines with a replica of the group, in the order of their addition."""
        return self.engines_by_key.get(key, [])

    def accepts(self, engine: str, group: Group) -> bool:
        """Return whether ``engine`` may take ``group``, without regard to its memory."""
        return (
            self.rooms_by_engine[engine].is_open and group.key not in self.groups_by_engine[engine]
        )

    def domains(self, key: str, without: str = "") -> set[str]:
        """Return the failure domains of the group's replicas, except the one on ``without``."""
        return {self.rooms_by_engine[e].failure_domain for e in self.replicas(key) if e != without}

    def keys_by_engine(self) -> dict[str, list[str]]:
        """Return the sorted group keys on each engine."""
        return {e: sorted(groups) for e, groups in self.groups_by_engine.items()}
