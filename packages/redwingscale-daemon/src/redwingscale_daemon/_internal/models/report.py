"""The state of an engine, in one shape for every vendor."""

from typing import NamedTuple


class ResidentUnit(NamedTuple):
    """A unit in an engine's memory; only a ``ready`` one answers requests."""

    unit: str
    size_bytes: int
    ready: bool


class Report(NamedTuple):
    """One poll of an engine.

    ``orders`` maps order ids to ``running``, ``done`` or ``failed``; an id that
    is missing tells nothing: the order may be lost or still on its way.
    ``fence`` is the lowest fencing number that the engine still takes orders
    of; 0 where its vendor has no fencing.
    """

    leaving: bool
    capacity_bytes: int
    residents: tuple[ResidentUnit, ...]
    running: int
    waiting: int
    slots: int
    orders: dict[str, str]
    fence: int = 0


class Digest(NamedTuple):
    """What the owner of an upstream tells all instances of it.

    ``fence`` is the owner's fencing number: of two owners' digests the higher
    one holds. No instance routes to a ``retiring`` unit, nor to any unit of an
    engine that is ``set_aside`` (silent, or its report was nonsense).
    ``retirement`` rises with each change of ``retiring``.
    """

    upstream: str
    fence: int
    leaving: bool
    capacity_bytes: int
    residents: tuple[ResidentUnit, ...]
    running: int
    waiting: int
    slots: int
    retiring: tuple[str, ...] = ()
    retirement: int = 0
    set_aside: bool = False
