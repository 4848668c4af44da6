"""Where each group is, while a plan is made."""

from collections.abc import Mapping

from redwingscale_daemon._internal.placement.engine_room import EngineRoom
from redwingscale_daemon._internal.placement.group import Group


class Layout:
    """Groups by engine, with the memory left; the same facts by group."""

    def __init__(self, rooms_by_engine: Mapping[str, EngineRoom]) -> None:
        self.rooms_by_engine = rooms_by_engine
        self.groups_by_engine: dict[str, dict[str, Group]] = {e: {} for e in rooms_by_engine}
        self.engines_by_key: dict[str, list[str]] = {}
        self._free = {e: room.capacity_bytes for e, room in rooms_by_engine.items()}

    def add(self, engine: str, group: Group) -> None:
        """Put ``group`` on ``engine``."""
        self.groups_by_engine[engine][group.key] = group
        self.engines_by_key.setdefault(group.key, []).append(engine)
        self._free[engine] -= group.size_bytes

    def remove(self, engine: str, group: Group) -> None:
        """Take ``group`` from ``engine``."""
        del self.groups_by_engine[engine][group.key]
        self.engines_by_key[group.key].remove(engine)
        self._free[engine] += group.size_bytes

    def free_bytes(self, engine: str) -> int:
        """Return the memory that no group of the layout takes."""
        return self._free[engine]

    def replicas(self, key: str) -> list[str]:
        """Return the engines of a group, in the order in which it got them."""
        return self.engines_by_key.get(key, [])

    def accepts(self, engine: str, group: Group) -> bool:
        """Return whether ``engine`` may take ``group``, its memory left aside."""
        return (
            self.rooms_by_engine[engine].is_open and group.key not in self.groups_by_engine[engine]
        )

    def domains(self, key: str, without: str = "") -> set[str]:
        """Return the failure domains of a group's replicas, but for one engine's."""
        return {self.rooms_by_engine[e].failure_domain for e in self.replicas(key) if e != without}

    def keys_by_engine(self) -> dict[str, list[str]]:
        """Return the keys on each engine, as a plan keeps them."""
        return {e: sorted(groups) for e, groups in self.groups_by_engine.items()}
