"""Backoff between failed loads, so that a broken unit does not overload the weight store."""

from typing import NamedTuple

from redwingscale_daemon._internal.leases.clock import Clock

INITIAL_SECONDS = 1.0
MAX_SECONDS = 30.0


class _Wait(NamedTuple):
    until: float
    seconds: float


class Backoff:
    """Doubles the wait of a unit with each consecutive failure."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waits_by_unit: dict[str, _Wait] = {}

    def note(self, unit: str, *, failed: bool) -> None:
        """Record whether an order on ``unit`` failed; a success resets the wait."""
        if not failed:
            self._waits_by_unit.pop(unit, None)
            return
        last = self._waits_by_unit.get(unit)
        seconds = min(MAX_SECONDS, 2 * last.seconds) if last else INITIAL_SECONDS
        self._waits_by_unit[unit] = _Wait(self._clock() + seconds, seconds)

    def is_over(self, unit: str) -> bool:
        """Return whether ``unit`` may be loaded again."""
        wait = self._waits_by_unit.get(unit)
        return wait is None or self._clock() >= wait.until
