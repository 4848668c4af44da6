"""Brings adapters whose holders are too busy to calmer copies of their model."""

import time
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.swaps.adapter_choice import choose_worker
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# One more holder relieves the others at once, but what waits at them already is late.
COPY_INTERVAL_SECONDS = 1.0
# The new holder has at most this part of the requests of the calmest one so far.
MAX_LOAD_FRACTION = 0.6
MAX_COPIES_PER_PLAN = 6


class AdapterCopy(NamedTuple):
    """An adapter to load beside those that hold it already."""

    unit: Unit
    view: WorkerView


class AdapterSpread:
    """Remembers which adapters got a further holder just now.

    A busy model has a copy at ten workers and more, and each of its adapters at one of
    them: its requests can go nowhere else, and were refused behind a full queue while
    nine copies of their model were calm. An adapter is there within some milliseconds.
    """

    def __init__(self) -> None:
        self._copied_at: dict[Unit, float] = {}

    def choose_copies(
        self, overloaded: Iterable[Unit], views: Sequence[WorkerView], slots: int
    ) -> list[AdapterCopy]:
        """Return what to load for adapters whose requests were ``missed``, most missed first."""
        now = time.monotonic()
        self._copied_at = {
            unit: at for unit, at in self._copied_at.items() if now - at < COPY_INTERVAL_SECONDS
        }
        free = [*views]
        chosen: list[AdapterCopy] = []
        for unit in overloaded:
            if len(chosen) == MAX_COPIES_PER_PLAN:
                break
            view = None if unit in self._copied_at else _choose_less_loaded(unit, free, views, slots)
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
