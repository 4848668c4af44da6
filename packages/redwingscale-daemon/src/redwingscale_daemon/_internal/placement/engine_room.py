"""The state of an engine as known to the planner."""

from enum import Enum
from typing import NamedTuple

from redwingscale_daemon._internal.models.report import ResidentUnit


class Availability(Enum):
    """How the planner may use an engine.

    ``OPEN``: reports and takes new units. ``SILENT``: has not reported for a short time,
    perhaps a restart; its replicas count, but it takes no new units. ``PARTITIONED``: its
    whole failure domain is silent. It likely serves its own side of a network partition,
    so it keeps its units, but this side needs replicas of its own.
    """

    OPEN = "open"
    SILENT = "silent"
    PARTITIONED = "cut"


class EngineRoom(NamedTuple):
    """Memory, batch size and residents of an engine.

    ``capacity_bytes`` excludes the share of the cache; ``slots`` is the most requests that
    the engine runs at once.
    """

    engine: str
    failure_domain: str
    capacity_bytes: int
    slots: int
    availability: Availability = Availability.OPEN
    residents: tuple[ResidentUnit, ...] = ()

    @property
    def is_open(self) -> bool:
        return self.availability is Availability.OPEN

    def has_resident(self, unit: str) -> bool:
        """Return whether ``unit`` takes memory here, ready or not."""
        return any(r.unit == unit for r in self.residents)
