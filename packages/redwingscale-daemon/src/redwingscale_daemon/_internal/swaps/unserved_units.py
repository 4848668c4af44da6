"""Which wanted units the leader announces as having neither a holder nor a planned load."""

import time
from collections.abc import Callable, Iterable, Sequence

from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.swaps.demand import WaitingUnit
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# An update may be lost, and between two of them a unit's requests come from other instances.
LISTED_SECONDS = 1.0
# Names of models and adapters have some 20 bytes: all together take half a KB of an update.
MAX_LISTED = 24


class UnservedUnits:
    """Keeps each unserved unit listed for a second after the last plan that left it so.

    Made for models that have just become busy: their requests are then refused at once, and
    not at the end of their time limit. A unit with a load in flight is taken off at once.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._listed_at: dict[str, float] = {}
        self._sent: frozenset[str] = frozenset()

    def note_plan(
        self, wanted: Iterable[WaitingUnit], views: Sequence[WorkerView], *, complete: bool
    ) -> None:
        """Note the state of one service's ``wanted`` units after a planning step.

        An incomplete step has not compared all loads: it takes units off, but adds none.
        """
        now = self._clock()
        for one in wanted:
            name = str(one.unit)
            if is_served(one.unit, views):
                self._listed_at.pop(name, None)
            elif complete:
                self._listed_at[name] = now

    def listed(self, *, periodic: bool) -> list[str]:
        """Return the units to announce: all in a ``periodic`` update, else the new ones."""
        now = self._clock()
        self._listed_at = {k: at for k, at in self._listed_at.items() if now - at < LISTED_SECONDS}
        newest_first = sorted(self._listed_at, key=lambda k: self._listed_at[k], reverse=True)
        listed = newest_first[:MAX_LISTED]
        announced = listed if periodic else [name for name in listed if name not in self._sent]
        self._sent = frozenset(listed)
        return announced

    def clear(self) -> None:
        """Drop everything at the end of a term as leader."""
        self._listed_at, self._sent = {}, frozenset()


def is_served(unit: Unit, views: Sequence[WorkerView]) -> bool:
    """Return whether ``unit`` is resident, loading, or can be loaded beside its model."""
    return any(unit.model in view.resident or unit.model == view.loading for view in views)
