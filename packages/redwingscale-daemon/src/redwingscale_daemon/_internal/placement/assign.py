"""Assigns units to engines: every listed model, with its adapters, somewhere."""

from collections.abc import Iterable
from typing import NamedTuple

from redwingscale_common.configuration import Configuration, Unit

from redwingscale_daemon._internal.placement.plan import Plan, PlannedUnit

REPLICAS = 2


class Bin(NamedTuple):
    """An engine that takes models; ``free_bytes`` excludes the cache's share."""

    engine: str
    failure_domain: str
    free_bytes: int
    units: tuple[PlannedUnit, ...]


def assign(configuration: Configuration, bins: Iterable[Bin], sequence: int, version: int) -> Plan:
    """Return a plan with one replica of each model, then a second where it fits."""
    bins_by_engine = {b.engine: b for b in bins}
    groups = sorted(_groups(configuration), key=_size, reverse=True)
    domains: dict[str, set[str]] = {}
    for _, group in [(r, g) for r in range(REPLICAS) for g in groups]:
        model = Unit.parse(group[0].unit).model
        _place(group, bins_by_engine, domains.setdefault(model, set()))
    units = {engine: list(b.units) for engine, b in bins_by_engine.items()}
    return Plan(sequence, version, units)


def _groups(configuration: Configuration) -> list[list[PlannedUnit]]:
    groups: dict[Unit, list[PlannedUnit]] = {}
    for unit, size in configuration.serving_units().items():
        groups.setdefault(unit.base, []).append(PlannedUnit(str(unit), size))
    return list(groups.values())


def _size(group: list[PlannedUnit]) -> int:
    return sum(unit.size_bytes for unit in group)


def _place(group: list[PlannedUnit], bins: dict[str, Bin], domains: set[str]) -> None:
    size = _size(group)
    fitting = [b for b in bins.values() if b.free_bytes >= size and group[0] not in b.units]
    apart = [b for b in fitting if b.failure_domain not in domains]
    if not apart:
        return
    best = max(apart, key=lambda b: (b.free_bytes, b.engine))
    domains.add(best.failure_domain)
    bins[best.engine] = best._replace(
        free_bytes=best.free_bytes - size, units=(*best.units, *group)
    )
