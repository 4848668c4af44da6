"""Estimates how demand is distributed over the engines of a layout."""

from collections.abc import Collection
from typing import NamedTuple

from redwingscale_daemon._internal.placement.layout import Layout

# Up to this load per slot, all requests are expected to finish on time.
KNEE_UTILISATION = 0.85
# Beyond this load per slot, no additional request is expected to finish on time.
OVERLOAD_UTILISATION = 1.15
SPREAD_ITERATIONS = 4


class Change(NamedTuple):
    """A replica of the group ``key`` that is added to or removed from ``engine``."""

    engine: str
    key: str
    added: bool


class Balance:
    """Load (concurrent requests) by engine, and by group and engine.

    The load of each group is distributed over its replicas so that the highest
    utilisation among them is minimal, which a load-aware router approximates.
    """

    def __init__(self, layout: Layout, load_by_key: dict[str, float]) -> None:
        self._layout = layout
        self._load_by_key = load_by_key
        self._slots = {e: max(1, r.slots) for e, r in layout.rooms_by_engine.items()}
        self.load_by_engine = dict.fromkeys(layout.rooms_by_engine, 0.0)
        self.replica_loads_by_key: dict[str, dict[str, float]] = {
            key: dict.fromkeys(engines, 0.0)
            for key, engines in layout.engines_by_key.items()
            if engines and load_by_key.get(key, 0.0) > 0.0
        }
        self._rebalance(sorted(self.replica_loads_by_key, key=lambda k: -load_by_key[k]))

    def utilisation(self, engine: str) -> float:
        """Return the load per slot."""
        return self.load_by_engine[engine] / self._slots[engine]

    def gain(self, changes: Collection[Change]) -> float:
        """Return how much more load is on time after ``changes``, without applying them."""
        replica_loads, engine_loads = self.replica_loads_by_key, self.load_by_engine
        self.replica_loads_by_key, self.load_by_engine = dict(replica_loads), dict(engine_loads)
        touched = self.apply(changes)
        gained = sum(
            _on_time_load(self.load_by_engine[e], self._slots[e])
            - _on_time_load(engine_loads[e], self._slots[e])
            for e in touched
        )
        self.replica_loads_by_key, self.load_by_engine = replica_loads, engine_loads
        return gained

    def apply(self, changes: Collection[Change]) -> set[str]:
        """Apply ``changes`` and redistribute the load of all groups on their engines.

        Returns the engines whose load may have changed.
        """
        engines = {change.engine for change in changes}
        keys = {key for e in engines for key in self._layout.groups_by_engine[e]}
        keys |= {change.key for change in changes}
        affected = sorted(
            keys & self.replica_loads_by_key.keys(), key=lambda k: -self._load_by_key[k]
        )
        for change in changes:
            if change.key in self.replica_loads_by_key:
                self._change(change)
        self._rebalance(affected)
        return engines | {e for key in affected for e in self.replica_loads_by_key[key]}

    def _change(self, change: Change) -> None:
        replica_loads = dict(self.replica_loads_by_key[change.key])
        if change.added:
            replica_loads[change.engine] = 0.0
        else:
            self.load_by_engine[change.engine] -= replica_loads.pop(change.engine)
        self.replica_loads_by_key[change.key] = replica_loads

    def _rebalance(self, keys: list[str]) -> None:
        for _ in range(SPREAD_ITERATIONS):
            for key in keys:
                self._spread(key)

    def _spread(self, key: str) -> None:
        """Distribute the load of group ``key``, least utilised replicas first."""
        replica_loads, engine_loads, slots = (
            self.replica_loads_by_key[key],
            self.load_by_engine,
            self._slots,
        )
        others = sorted(
            ((engine_loads[e] - replica_load) / slots[e], e)
            for e, replica_load in replica_loads.items()
        )
        level = _fill_level(others, slots, self._load_by_key[key])
        spread = {e: max(0.0, (level - other_level) * slots[e]) for other_level, e in others}
        for engine, replica_load in spread.items():
            engine_loads[engine] += replica_load - replica_loads[engine]
        self.replica_loads_by_key[key] = spread


def _fill_level(others: list[tuple[float, str]], slots: dict[str, int], load: float) -> float:
    """Return the load per slot of the replicas that get some of ``load``.

    ``others`` are the engines by their load per slot from other groups, in ascending order.
    """
    total_slots, total_load, level = 0, load, 0.0
    for index, (other_level, engine) in enumerate(others):
        total_slots += slots[engine]
        total_load += other_level * slots[engine]
        level = total_load / total_slots
        if index + 1 < len(others) and level <= others[index + 1][0]:
            break
    return level


def _on_time_load(load: float, slots: int) -> float:
    """Return how much of ``load`` is on time: all up to the knee, half from there to overload."""
    knee, top = KNEE_UTILISATION * slots, OVERLOAD_UTILISATION * slots
    return min(load, knee) + (min(load, top) - knee) / 2 if load > knee else load
