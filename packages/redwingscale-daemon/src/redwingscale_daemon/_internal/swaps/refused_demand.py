"""Requests that were refused lately because their unit had no holder."""

import time
from collections import defaultdict, deque
from collections.abc import Callable
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.swaps.messages import DemandEntry

# A refused caller returns within a third of its time limit of 5 to 15 s, and can then wait
# for the load as before.
REMEMBERED_SECONDS = 4.0


class _Refused(NamedTuple):
    at: float
    requests: float
    wait_until: float


class RefusedUnit(NamedTuple):
    """The refused requests for a unit, each weighted by its urgency.

    ``max_wait_seconds`` is the longest time that any of them could still wait.
    """

    service: str
    unit: Unit
    requests: float
    max_wait_seconds: float


class RefusedDemand:
    """Remembers refused requests for some seconds, by unit.

    A request that is refused at once waits nowhere. Without this memory the leader would never
    load a model whose requests are all refused; models that have just become busy, and rare ones
    with a request each few seconds, would have no holder for ever.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._refused: dict[tuple[str, Unit], deque[_Refused]] = defaultdict(deque)

    def note(self, entry: DemandEntry) -> None:
        """Count the refused requests of an instance's entry."""
        if not entry.refused:
            return
        now = self._clock()
        refused = self._refused[(entry.service, Unit(entry.model, entry.adapter))]
        _drop_old(refused, now)
        refused.append(
            _Refused(now, entry.refused * entry.weight, now + entry.refused_wait_seconds)
        )

    def units(self) -> list[RefusedUnit]:
        """Return the units whose requests were refused lately."""
        now = self._clock()
        for key, refused in list(self._refused.items()):
            _drop_old(refused, now)
            if not refused:
                del self._refused[key]
        return [
            RefusedUnit(
                service,
                unit,
                sum(one.requests for one in refused),
                max(one.wait_until for one in refused) - now,
            )
            for (service, unit), refused in self._refused.items()
        ]


def _drop_old(refused: deque[_Refused], now: float) -> None:
    while refused and now - refused[0].at > REMEMBERED_SECONDS:
        refused.popleft()
