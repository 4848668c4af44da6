"""An engine as the planner sees it."""

from enum import Enum
from typing import NamedTuple

from redwingscale_daemon._internal.models.report import ResidentUnit


class Availability(Enum):
    """What the planner may count on at an engine.

    ``OPEN``: heard of, takes more. ``SILENT``: quiet for a short time, perhaps a
    restart; counts as a replica, takes nothing. ``PARTITIONED``: its whole failure domain
    is quiet; it likely serves its own side, so it keeps what it has, but this
    side needs a replica of its own.
    """

    OPEN = "open"
    SILENT = "silent"
    PARTITIONED = "cut"


class EngineRoom(NamedTuple):
    """An engine; ``capacity_bytes`` excludes the cache's share, ``slots`` bounds its batch."""

    engine: str
    failure_domain: str
    capacity_bytes: int
    slots: int
    availability: Availability = Availability.OPEN
    residents: tuple[ResidentUnit, ...] = ()

    @property
    def is_open(self) -> bool:
        return self.availability is Availability.OPEN

    def holds(self, unit: str) -> bool:
        """Return whether ``unit`` takes memory here, ready or not."""
        return any(r.unit == unit for r in self.residents)
