"""The plan: which units each engine should have resident."""

from typing import NamedTuple


class PlannedUnit(NamedTuple):
    """A unit and its size according to the configuration of the plan."""

    unit: str
    size_bytes: int


class Plan(NamedTuple):
    """A plan with its sequence number, made for one configuration version.

    ``units_by_engine`` is what owners carry out now: it excludes loads that wait for the
    load gate, and includes units whose substitutes are not ready yet.
    ``target_by_engine`` has the model versions (``model@version``) that each engine has
    after all loads. A new planner continues from it.
    """

    sequence: int
    configuration_version: int
    units_by_engine: dict[str, list[PlannedUnit]]
    target_by_engine: dict[str, list[str]] = {}
