"""Selects the loads and unloads that bring an engine to its planned units."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from redwingscale_common.configuration import Unit

from redwingscale_daemon._internal.models.report import Report, ResidentUnit
from redwingscale_daemon._internal.placement.ledger import Ledger
from redwingscale_daemon._internal.placement.plan import PlannedUnit


class Situation(NamedTuple):
    """The state of an engine as known to its owner.

    ``limit_bytes`` is the memory for weights: the capacity without the share of
    the running requests' cache.
    """

    report: Report
    ledger: Ledger
    planned: list[PlannedUnit]
    limit_bytes: int


def units_to_load(situation: Situation, retiring: Iterable[str]) -> Iterator[PlannedUnit]:
    """Yield the planned units that fit beside everything that may be resident.

    An adapter is loaded only after its base is ready. A unit that does not fit is
    skipped, so that smaller units need not wait for an unload.
    """
    reserved = situation.ledger.reserved_by_unit(situation.report)
    bases = {r.unit for r in situation.report.residents if r.ready}.difference(retiring)
    used = sum(reserved.values())
    for planned in situation.planned:
        base = base_of(planned.unit)
        if planned.unit in reserved or (base != planned.unit and base not in bases):
            continue
        if used + planned.size_bytes <= situation.limit_bytes:
            used += planned.size_bytes
            yield planned


def is_short_of_memory(situation: Situation) -> bool:
    """Return whether there is too little memory for all planned units that are missing."""
    reserved = situation.ledger.reserved_by_unit(situation.report)
    missing = [p.size_bytes for p in situation.planned if p.unit not in reserved]
    return sum(reserved.values()) + sum(missing) > situation.limit_bytes and bool(missing)


def unplanned_units(situation: Situation) -> list[ResidentUnit]:
    """Return the units that are ready, neither planned nor needed as a base, without open order."""
    planned = {p.unit for p in situation.planned}
    kept = planned | {base_of(unit) for unit in planned}
    return [
        r
        for r in situation.report.residents
        if r.ready and r.unit not in kept and not situation.ledger.is_open(r.unit)
    ]


def units_to_unload(situation: Situation, drained: set[str]) -> list[ResidentUnit]:
    """Return the drained units that may be unloaded: a base only after its adapters."""
    reserved = situation.ledger.reserved_by_unit(situation.report)
    needed = {base_of(unit) for unit in reserved if base_of(unit) != unit}
    return [r for r in unplanned_units(situation) if r.unit in drained and r.unit not in needed]


def base_of(unit: str) -> str:
    """Return the model version that ``unit`` is, or is an adapter of."""
    return str(Unit.parse(unit).base)
