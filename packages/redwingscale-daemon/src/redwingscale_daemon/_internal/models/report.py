"""The state of an engine, in one format for all vendors."""

from typing import NamedTuple


class ResidentUnit(NamedTuple):
    """A unit in an engine's memory; it answers requests only if it is ``ready``."""

    unit: str
    size_bytes: int
    ready: bool


class Report(NamedTuple):
    """The answer to one poll of an engine.

    ``orders`` maps order ids to ``running``, ``done`` or ``failed``. A missing id
    says nothing: the order may be lost or still in flight. ``fence`` is the lowest
    fencing number whose orders the engine accepts, 0 if its vendor has no fencing.
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
    """The state of an upstream that its owner announces to all instances.

    ``fence`` is the owner's fencing number: of the digests of two owners, the one
    with the higher number applies. No instance routes to a ``retiring`` unit, nor to
    any unit of an engine that is ``set_aside``, which is silent or sent an invalid
    report. ``retirement`` rises with each change of ``retiring``.
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
