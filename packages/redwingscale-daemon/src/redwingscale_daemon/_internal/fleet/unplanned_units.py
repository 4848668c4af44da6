"""The units that requests wait for and that the leader plans no load for."""

import time
from collections.abc import Callable, Iterable

# The leader names a unit again four times a second while it applies; several updates may
# be lost.
LISTED_SECONDS = 1.0


class UnplannedUnits:
    """Remembers for a second which units the leader has named.

    Made for models that have just become busy: their requests would wait until their
    limit for a load that the leader has already decided against.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._listed_at: dict[str, float] = {}

    def receive(self, units: Iterable[str]) -> None:
        """Take the units of one update; units of former updates stay listed for a second."""
        now = self._clock()
        listed_at = {k: at for k, at in self._listed_at.items() if now - at < LISTED_SECONDS}
        self._listed_at = listed_at | dict.fromkeys(units, now)

    def __contains__(self, unit: str) -> bool:
        return self._clock() - self._listed_at.get(unit, float("-inf")) < LISTED_SECONDS
