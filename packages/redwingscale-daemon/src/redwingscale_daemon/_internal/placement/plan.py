"""The plan: which units each engine should hold."""

from typing import NamedTuple


class PlannedUnit(NamedTuple):
    """A unit and its size, as the configuration of the plan had it."""

    unit: str
    size_bytes: int


class Plan(NamedTuple):
    """``units_by_engine`` of plan ``sequence``, made for a configuration version.

    ``units_by_engine`` is what owners carry out now: it holds back loads that
    must wait for the gate, and keeps units whose substitute is not ready yet.
    ``target_by_engine`` is where it leads: the model versions (``model@version``)
    that each engine holds when all loads are done. A new planner goes on from it.
    """

    sequence: int
    configuration_version: int
    units_by_engine: dict[str, list[PlannedUnit]]
    target_by_engine: dict[str, list[str]] = {}
