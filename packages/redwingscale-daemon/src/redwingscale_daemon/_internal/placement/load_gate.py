"""Limits loads from the weight store: the plan lists a load only when it may start."""

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from redwingscale_common.configuration import WeightStore

from redwingscale_daemon._internal.placement.engine_room import EngineRoom
from redwingscale_daemon._internal.placement.group import Group
from redwingscale_daemon._internal.placement.plan import PlannedUnit

LOAD_TIMEOUT_SECONDS = 120.0


class PendingLoad(NamedTuple):
    """A load that waits; ``copy`` is how many replicas of the unit come before it."""

    copy: int
    is_adapter: bool
    load: float
    engine: str
    planned: PlannedUnit


class LoadGate:
    """Limits the rate of loads and the concurrent loads of the whole deployment.

    Owners load whatever the plan lists, so the plan itself is the gate and the lease of
    the planner its lock; instances need no further agreement. A new planner counts the
    units of the last plan that are not ready yet, so the limit of concurrent loads
    applies across a takeover as well.
    """

    def __init__(self) -> None:
        self._tokens = 1.0
        self._refilled_at: float | None = None
        self._started_at: dict[tuple[str, str], float] = {}

    def release(
        self,
        listed_by_engine: dict[str, dict[str, PlannedUnit]],
        target_by_engine: Mapping[str, Mapping[str, Group]],
        rooms_by_engine: Mapping[str, EngineRoom],
        load_by_key: Mapping[str, float],
        store: WeightStore,
        now: float,
    ) -> int:
        """Add the loads that may start now to ``listed_by_engine``; return how many still wait."""
        self._refill(store, now)
        running = self._running(listed_by_engine, rooms_by_engine, now)
        waiting = _pending_loads(listed_by_engine, target_by_engine, rooms_by_engine, load_by_key)
        free = {e: _free_bytes(rooms_by_engine[e], listed_by_engine[e]) for e in target_by_engine}
        released = 0
        for pending in waiting:
            if running >= store.concurrent_loads or self._tokens < 1.0:
                break
            if pending.planned.size_bytes > free[pending.engine]:
                continue
            listed_by_engine[pending.engine][pending.planned.unit] = pending.planned
            free[pending.engine] -= pending.planned.size_bytes
            self._tokens -= 1.0
            running += 1
            released += 1
        return len(waiting) - released

    def _running(
        self,
        listed_by_engine: Mapping[str, Mapping[str, PlannedUnit]],
        rooms_by_engine: Mapping[str, EngineRoom],
        now: float,
    ) -> int:
        """Return how many loads are running, without those that exceed the timeout.

        Otherwise an engine that starts loads and never finishes them would use up the
        limit, and no other engine would load anything again.
        """
        started_at, self._started_at = self._started_at, {}
        for engine, units in listed_by_engine.items():
            room = rooms_by_engine[engine]
            for unit in units.keys() - _ready(room) if room.is_open else ():
                self._started_at[engine, unit] = started_at.get((engine, unit), now)
        return sum(now - started < LOAD_TIMEOUT_SECONDS for started in self._started_at.values())

    def _refill(self, store: WeightStore, now: float) -> None:
        elapsed = 0.0 if self._refilled_at is None else now - self._refilled_at
        self._refilled_at = now
        # At most one unused token carries over; all tokens of this interval are added.
        saved = min(self._tokens, 1.0)
        self._tokens = min(saved + elapsed * store.loads_per_second, store.concurrent_loads)


def _pending_loads(
    listed_by_engine: Mapping[str, Mapping[str, PlannedUnit]],
    target_by_engine: Mapping[str, Mapping[str, Group]],
    rooms_by_engine: Mapping[str, EngineRoom],
    load_by_key: Mapping[str, float],
) -> list[PendingLoad]:
    """Return the loads in order: first replicas by demand, their adapters, second replicas, ..."""
    copies = Counter(unit for units in listed_by_engine.values() for unit in units)
    waiting = []
    for engine, groups in target_by_engine.items():
        room, listed = rooms_by_engine[engine], listed_by_engine[engine]
        if not room.is_open:
            continue
        ready = _ready(room)
        for group in groups.values():
            for planned in group.units:
                is_adapter = planned.unit != group.key
                # An adapter needs its base: until then its load would only use up the limit.
                if planned.unit in listed or (is_adapter and group.key not in ready):
                    continue
                load = load_by_key.get(group.key, 0.0)
                waiting.append(PendingLoad(copies[planned.unit], is_adapter, load, engine, planned))
                copies[planned.unit] += 1
    return sorted(waiting, key=lambda w: (w.copy, w.is_adapter, -w.load, w.planned, w.engine))


def _ready(room: EngineRoom) -> set[str]:
    return {r.unit for r in room.residents if r.ready}


def _free_bytes(room: EngineRoom, listed: Mapping[str, PlannedUnit]) -> int:
    """Return the memory that neither residents nor listed units use."""
    sizes = {r.unit: r.size_bytes for r in room.residents}
    sizes |= {unit: planned.size_bytes for unit, planned in listed.items()}
    return room.capacity_bytes - sum(sizes.values())
