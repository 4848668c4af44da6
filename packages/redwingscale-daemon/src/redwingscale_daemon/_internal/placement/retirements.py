"""The units of one engine that retire: no new requests, unloaded once drained."""

from typing import NamedTuple

from redwingscale_daemon._internal.leases.clock import Clock
from redwingscale_daemon._internal.placement.drain_ack import RetirementMark
from redwingscale_daemon._internal.placement.drain_acks import DrainAcks


class _Retirement(NamedTuple):
    since: RetirementMark
    began_at: float


class Retirements:
    """Kept by the owner; a successor begins anew under its own fence."""

    def __init__(self, engine: str, acks: DrainAcks, clock: Clock) -> None:
        self._engine = engine
        self._acks = acks
        self._clock = clock
        self._retirements_by_unit: dict[str, _Retirement] = {}
        self._fence = 0
        self.number = 0

    @property
    def units(self) -> tuple[str, ...]:
        """The retiring units, sorted."""
        return tuple(sorted(self._retirements_by_unit))

    def update(self, units: set[str], fence: int) -> bool:
        """Let exactly ``units`` retire; return whether that is a change.

        Under a new fence all begin anew: another owner may have let instances
        use a unit again in between, and an old word of theirs would count.
        """
        if fence != self._fence:
            self._fence = fence
            self._retirements_by_unit = {}
        known = self._retirements_by_unit
        if units == known.keys():
            return False
        self.number += 1
        new = _Retirement(RetirementMark(fence, self.number), self._clock())
        self._retirements_by_unit = {unit: known.get(unit, new) for unit in units}
        return True

    def drained(self) -> set[str]:
        """Return the units that no instance routes to or runs any more."""
        now = self._clock()
        return {
            unit
            for unit, (since, began_at) in self._retirements_by_unit.items()
            if self._acks.all_drained(self._engine, unit, since, now - began_at)
        }
