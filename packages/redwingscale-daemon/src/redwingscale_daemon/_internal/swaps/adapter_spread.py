"""Chooses additional workers for adapters whose holders are overloaded."""

import time
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.swaps.adapter_choice import choose_worker
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# Minimum time between two copies of an adapter: a new holder takes load off the others at once,
# but requests that are queued there already are late all the same.
COPY_INTERVAL_SECONDS = 1.0
# A new holder has at most this fraction of the requests of the least loaded current holder.
MAX_LOAD_FRACTION = 0.6
MAX_COPIES_PER_PLAN = 6


class AdapterCopy(NamedTuple):
    """An adapter to load at one more worker."""

    unit: Unit
    view: WorkerView


class AdapterSpread:
    """Chooses extra copies, and remembers which adapters got one lately.

    A busy model is resident at ten or more workers, but each of its adapters at only one of them.
    Requests for the adapter can go nowhere else and would be refused behind a full queue while
    nine copies of the model are lightly loaded. Loading an adapter takes only some milliseconds.
    """

    def __init__(self) -> None:
        self._copied_at: dict[Unit, float] = {}

    def choose_copies(
        self, overloaded: Iterable[Unit], views: Sequence[WorkerView], slots: int
    ) -> list[AdapterCopy]:
        """Return the copies to load for ``overloaded`` adapters, the most overloaded first."""
        now = time.monotonic()
        self._copied_at = {
            unit: at for unit, at in self._copied_at.items() if now - at < COPY_INTERVAL_SECONDS
        }
        free = [*views]
        chosen: list[AdapterCopy] = []
        for unit in overloaded:
            if len(chosen) == MAX_COPIES_PER_PLAN:
                break
            view = (
                None if unit in self._copied_at else _choose_less_loaded(unit, free, views, slots)
            )
            if view is not None:
                self._copied_at[unit] = now
                free.remove(view)
                chosen.append(AdapterCopy(unit, view))
        return chosen


def _choose_less_loaded(
    unit: Unit, free: Sequence[WorkerView], views: Sequence[WorkerView], slots: int
) -> WorkerView | None:
    holders = [view for view in views if unit.adapter in view.resident.get(unit.model, ())]
    if not holders:
        return None
    max_requests = min(view.requests for view in holders) * MAX_LOAD_FRACTION
    less_loaded = [view for view in free if view.requests <= max_requests and view not in holders]
    return choose_worker(unit, less_loaded, slots)
