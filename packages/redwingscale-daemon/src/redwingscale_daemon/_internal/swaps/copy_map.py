"""Where each model's weights are, and which copies a load drives out."""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from redwingscale_daemon._internal.routes.service_rule import EngineRule
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# The entry of a worker in the upstream list shows a load this much later; until then the copies
# that it leaves are assumed.
LIST_LAG_SECONDS = 3.0


class _Cache(NamedTuple):
    """The copies in one worker's memory or on its disk, and the room for them, None if unknown."""

    names: frozenset[str]
    room_mb: float | None


class CopyMap:
    """The copies of all models of a service at the reachable workers, at one point in time.

    Made from the upstream list and the loads that this leader has seen end (``settled_at`` of the
    views), without any state of a former leader. Answers up to 45 workers with some 10 copies each
    for each plan.
    """

    def __init__(self, engine: EngineRule, views: Sequence[WorkerView], now: float) -> None:
        self._engine = engine
        self._now = now
        sizes = (rule.weights_mb for rule in engine.models_by_name.values())
        self._largest_mb = max(sizes, default=0.0)
        self._lists_resident = any(
            view.resident.keys() & (view.upstream.in_memory | view.upstream.on_disk)
            for view in views
        )
        self._settled_by_id = {view.upstream.id: view.settled_at for view in views}
        self._memory = {view.upstream.id: self._memory_of(view) for view in views}
        self._disk = {view.upstream.id: self._disk_of(view) for view in views}
        self._resident_ids: dict[str, set[str]] = defaultdict(set)
        self._copy_ids: dict[str, set[str]] = defaultdict(set)
        self._driven_out: dict[tuple[str, str], dict[str, float]] = {}
        # Workers whose load in flight may drive out the model's copy.
        self._uncertain_ids: dict[str, set[str]] = defaultdict(set)
        for view in views:
            if view.loading:
                for name in self.driven_out(view, view.loading).keys() - view.resident.keys():
                    self._uncertain_ids[name].add(view.upstream.id)
            for name in self.local(view):
                self._copy_ids[name].add(view.upstream.id)
            for name in [*view.resident, *([view.loading] if view.loading else [])]:
                self._resident_ids[name].add(view.upstream.id)

    def local(self, view: WorkerView) -> frozenset[str]:
        """Return the models with a copy in the worker's memory or on its disk."""
        return self._memory[view.upstream.id].names | self._disk[view.upstream.id].names

    def places(self, name: str) -> set[str]:
        """Return the ids of the workers where ``name`` is resident, loading or at hand."""
        return self._resident_ids.get(name, set()) | self._copy_ids.get(name, set())

    def kept_elsewhere(self, name: str, view: WorkerView) -> bool:
        """Return whether ``name`` is at another worker, whatever its load in flight drives out."""
        uncertain = self._uncertain_ids.get(name, set())
        return bool(self.places(name) - uncertain - {view.upstream.id})

    def at_hand(self, name: str) -> bool:
        """Return whether any worker has a copy of ``name`` in memory or on disk."""
        return bool(self._copy_ids.get(name))

    def holders(self, name: str) -> int:
        """Return how many workers have ``name`` resident or are loading it."""
        return len(self._resident_ids.get(name, ()))

    def missing(self) -> list[str]:
        """Return the models that are at no worker, those that load longest first."""
        models = self._engine.models_by_name
        absent = [name for name in models if not self.places(name)]
        return sorted(absent, key=lambda name: (-models[name].cold_seconds, name))

    def stored_mb(self, view: WorkerView) -> float:
        """Return how much of the worker's disk its copies take."""
        return self._size(self._disk[view.upstream.id].names)

    def fits_on_disk(self, view: WorkerView, name: str) -> bool:
        """Return whether a load of ``name`` drives no copy off the worker's disk."""
        room = self._disk[view.upstream.id].room_mb
        return room is not None and self.stored_mb(view) + self._size([name]) <= room

    def driven_out(self, view: WorkerView, name: str) -> dict[str, float]:
        """Return the copies that a load of ``name`` may drive out of the worker altogether.

        By model, with the probability. The least recently used copies go first; their order is
        known only for models that this leader has loaded, so that any other copy may be the next.
        """
        key = view.upstream.id
        known = self._driven_out.get((key, name))
        if known is None:
            known = self._driven_out[(key, name)] = self._find_driven_out(key, name)
        return known

    def _find_driven_out(self, key: str, name: str) -> dict[str, float]:
        memory, disk = self._memory[key], self._disk[key]
        from_memory = self._evicted(memory, name, key)
        from_disk = self._evicted(disk, name, key)
        chances = {
            one: (from_memory.get(one, 0.0) if one in memory.names else 1.0)
            * (from_disk.get(one, 0.0) if one in disk.names else 1.0)
            for one in from_memory.keys() | from_disk.keys()
        }
        return {one: chance for one, chance in chances.items() if chance > 0}

    def last_copies_lost(
        self, view: WorkerView, name: str, evicted: Iterable[str]
    ) -> dict[str, float]:
        """Return the models that are nowhere after ``name`` is loaded, with the probability.

        The models in ``evicted`` are unloaded for it; they stay at hand if the worker has copies.
        """
        dropped = set(evicted)
        local = self.local(view)
        chances = self.driven_out(view, name) | dict.fromkeys(dropped - local, 1.0)
        return {
            one: chance
            for one, chance in chances.items()
            if one in self._engine.models_by_name
            and (one in dropped or one not in view.resident)
            and not self.kept_elsewhere(one, view)
        }

    def _evicted(self, cache: _Cache, name: str, key: str) -> dict[str, float]:
        if name in cache.names:
            return {}
        new_mb = self._size([name])
        needed = new_mb if cache.room_mb is None else self._size(cache.names) + new_mb
        needed -= cache.room_mb or 0.0
        settled = self._settled_by_id[key]
        known = sorted((one for one in cache.names if one in settled), key=settled.__getitem__)
        unknown = [one for one in cache.names if one not in settled]
        chances: dict[str, float] = {}
        for group in [unknown, *([one] for one in known)]:
            if needed <= 0:
                break
            group_mb = self._size(group)
            if not group:
                continue
            count = math.ceil(needed / (group_mb / len(group)))
            chances |= dict.fromkeys(group, min(1.0, count / len(group)))
            needed -= group_mb
        return chances

    def _memory_of(self, view: WorkerView) -> _Cache:
        names = view.upstream.in_memory
        return _Cache(names, self._engine.memory_copies_mb)

    def _disk_of(self, view: WorkerView) -> _Cache:
        since = self._now - LIST_LAG_SECONDS if self._lists_resident else -math.inf
        loaded = {
            name
            for name, settled_at in view.settled_at.items()
            if settled_at > since and (name in view.resident or self._lists_resident)
        }
        return _Cache(view.upstream.on_disk | loaded, self._engine.disk_copies_mb)

    def _size(self, names: Iterable[str]) -> float:
        models = self._engine.models_by_name
        return sum(models[one].weights_mb if one in models else self._largest_mb for one in names)
