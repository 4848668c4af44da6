"""A fluid estimate of how the demand spreads over the engines of a layout."""

from collections.abc import Collection
from typing import NamedTuple

from redwingscale_daemon._internal.placement.layout import Layout

KNEE = 0.85
OVERLOAD = 1.15
SWEEPS = 4


class Change(NamedTuple):
    """A replica of ``key`` that is added to or taken from ``engine``."""

    engine: str
    key: str
    added: bool


class Balance:
    """Work in progress (requests at once) by engine, with each group's part in it.

    Each group's work is spread over its replicas so that the fullest of them is
    as empty as can be: what a load-aware router comes near to.
    """

    def __init__(self, layout: Layout, load_by_key: dict[str, float]) -> None:
        self._layout = layout
        self._load_by_key = load_by_key
        self._slots = {e: max(1, r.slots) for e, r in layout.rooms_by_engine.items()}
        self.load_by_engine = dict.fromkeys(layout.rooms_by_engine, 0.0)
        self.parts_by_key: dict[str, dict[str, float]] = {
            key: dict.fromkeys(engines, 0.0)
            for key, engines in layout.engines_by_key.items()
            if engines and load_by_key.get(key, 0.0) > 0.0
        }
        self._settle(sorted(self.parts_by_key, key=lambda k: -load_by_key[k]))

    def utilisation(self, engine: str) -> float:
        """Return work per slot."""
        return self.load_by_engine[engine] / self._slots[engine]

    def gain(self, changes: Collection[Change]) -> float:
        """Return by how much the work on time rises with ``changes``; nothing is changed."""
        parts, loads = self.parts_by_key, self.load_by_engine
        self.parts_by_key, self.load_by_engine = dict(parts), dict(loads)
        touched = self.apply(changes)
        gained = sum(
            _on_time(self.load_by_engine[e], self._slots[e]) - _on_time(loads[e], self._slots[e])
            for e in touched
        )
        self.parts_by_key, self.load_by_engine = parts, loads
        return gained

    def apply(self, changes: Collection[Change]) -> set[str]:
        """Make ``changes``, spread the work of the groups around them anew.

        Returns the engines whose work may have changed.
        """
        engines = {change.engine for change in changes}
        keys = {key for e in engines for key in self._layout.groups_by_engine[e]}
        keys |= {change.key for change in changes}
        around = sorted(keys & self.parts_by_key.keys(), key=lambda k: -self._load_by_key[k])
        for change in changes:
            if change.key in self.parts_by_key:
                self._change(change)
        self._settle(around)
        return engines | {e for key in around for e in self.parts_by_key[key]}

    def _change(self, change: Change) -> None:
        parts = dict(self.parts_by_key[change.key])
        if change.added:
            parts[change.engine] = 0.0
        else:
            self.load_by_engine[change.engine] -= parts.pop(change.engine)
        self.parts_by_key[change.key] = parts

    def _settle(self, keys: list[str]) -> None:
        for _ in range(SWEEPS):
            for key in keys:
                self._spread(key)

    def _spread(self, key: str) -> None:
        """Fill the emptiest replicas first, all else as it is."""
        parts, loads, slots = self.parts_by_key[key], self.load_by_engine, self._slots
        others = sorted(((loads[e] - part) / slots[e], e) for e, part in parts.items())
        level = _level(others, slots, self._load_by_key[key])
        spread = {e: max(0.0, (level - height) * slots[e]) for height, e in others}
        for engine, part in spread.items():
            loads[engine] += part - parts[engine]
        self.parts_by_key[key] = spread


def _level(others: list[tuple[float, str]], slots: dict[str, int], work: float) -> float:
    """Return how full per slot the replicas get that ``work`` is poured into."""
    width, volume, level = 0, work, 0.0
    for index, (height, engine) in enumerate(others):
        width += slots[engine]
        volume += height * slots[engine]
        level = volume / width
        if index + 1 < len(others) and level <= others[index + 1][0]:
            break
    return level


def _on_time(load: float, slots: int) -> float:
    """Return the part of ``load`` that is on time: all up to the knee, then half of it."""
    knee, top = KNEE * slots, OVERLOAD * slots
    return min(load, knee) + (min(load, top) - knee) / 2 if load > knee else load
