"""A group of units that are placed together: a model version with all its adapters."""

from typing import NamedTuple

from redwingscale_common.configuration import Configuration, Model, Unit

from redwingscale_daemon._internal.placement.plan import PlannedUnit


class Group(NamedTuple):
    """A model version with its adapters.

    ``key`` is the text of the model version, the first of ``units``.
    """

    key: str
    model: str
    units: tuple[PlannedUnit, ...]
    size_bytes: int


def all_groups(configuration: Configuration) -> dict[str, Group]:
    """Return the groups of all listed versions by key."""
    groups = [
        _group(model, version)
        for model in configuration.models_by_name.values()
        for version in model.versions_by_name
    ]
    return {group.key: group for group in groups}


def serving_keys(configuration: Configuration) -> set[str]:
    """Return the keys of the versions that serve callers."""
    return {str(Unit(m.name, m.serving)) for m in configuration.models_by_name.values()}


def _group(model: Model, version: str) -> Group:
    base = PlannedUnit(str(Unit(model.name, version)), model.versions_by_name[version].size_bytes)
    adapters = [
        PlannedUnit(str(Unit(model.name, version, adapter.name)), adapter.size_bytes)
        for adapter in model.adapters_by_name.values()
    ]
    units = (base, *adapters)
    return Group(base.unit, model.name, units, sum(u.size_bytes for u in units))
