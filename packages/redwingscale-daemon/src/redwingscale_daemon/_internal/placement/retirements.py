"""The retiring units of one engine: they get no new requests, and are unloaded once drained."""

from typing import NamedTuple

from redwingscale_daemon._internal.leases.clock import Clock
from redwingscale_daemon._internal.placement.drain_ack import RetirementMark
from redwingscale_daemon._internal.placement.drain_acks import DrainAcks


class _Retirement(NamedTuple):
    since: RetirementMark
    began_at: float


class Retirements:
    """Kept in the owner's memory; a successor starts again under its own fence."""

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
        """Set the retiring units to ``units``; return whether they have changed.

        Under a new fence all units start again: another owner may have returned a unit to
        use in between, and an old acknowledgement of an instance would still count.
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
        """Return the retiring units that no instance uses any more."""
        now = self._clock()
        return {
            unit
            for unit, (since, began_at) in self._retirements_by_unit.items()
            if self._acks.all_drained(self._engine, unit, since, now - began_at)
        }
