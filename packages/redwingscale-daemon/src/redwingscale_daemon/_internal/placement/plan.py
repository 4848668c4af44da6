"""The plan: which units each engine should hold."""

from typing import NamedTuple


class PlannedUnit(NamedTuple):
    """A unit and its size, as the configuration of the plan had it."""

    unit: str
    size_bytes: int


class Plan(NamedTuple):
    """``units_by_engine`` of plan ``sequence``, made for a configuration version."""

    sequence: int
    configuration_version: int
    units_by_engine: dict[str, list[PlannedUnit]]
