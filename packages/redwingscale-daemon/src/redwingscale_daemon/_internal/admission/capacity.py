"""How many more requests the engines of a unit can take."""

import itertools
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.settings.settings import InstanceSettings
from redwingscale_daemon._internal.upstreams.directory import Directory, EngineView
from redwingscale_daemon._internal.upstreams.in_flight import InFlight

MAX_SAMPLES = 64
SAMPLES_IN_LAG = 20


class Room(NamedTuple):
    """``free``: requests that fit now; ``slots``: what runs here at once when it is full."""

    free: float
    slots: float


class _Sample(NamedTuple):
    taken_at: float
    in_flight: int


class Capacity:
    """Room by unit, from lagging reports and what this instance itself has running.

    A report tells the load as it was some time ago; since then this instance's
    own part has changed by a known amount, so that is added. Whatever the
    reports say, each instance may use its even part of an engine's slots: a
    stale report of a full engine must not keep all instances away from it.
    """

    def __init__(
        self,
        instance: InstanceSettings,
        directory: Directory,
        members: Members,
        in_flight: InFlight,
        lag_seconds: float,
        clock: Callable[[], float],
    ) -> None:
        self._instance = instance
        self._directory = directory
        self._members = members
        self._in_flight = in_flight
        self._lag_seconds = lag_seconds
        self._clock = clock
        self._samples_by_engine: dict[str, deque[_Sample]] = {}

    def room(self, unit: str) -> Room | None:
        """Return the room for ``unit``; None while nothing is known that could limit it."""
        candidates = [v for v in self._directory.engines_with(unit) if not v.leaving]
        near = [v for v in candidates if self._is_near(v)]
        engines = near or candidates
        if not engines or any(v.digest is None for v in engines):
            return None
        instances = self._count_instances(near_only=bool(near))
        rooms = [self._engine_room(view, instances) for view in engines]
        return Room(sum(r.free for r in rooms), sum(r.slots for r in rooms))

    def _engine_room(self, view: EngineView, instances: int) -> Room:
        digest = view.digest
        assert digest is not None
        here = self._in_flight.count(view.member.id)
        reported = digest.running + digest.waiting
        load = max(here, reported + here - self._in_flight_at(view, here))
        equal_share = digest.slots / instances
        # All instances see the same report: if each took all that is free in it,
        # they would overrun the engine together.
        share_of_free = (digest.slots - load) / instances
        return Room(max(0.0, share_of_free, equal_share - here), max(equal_share, here))

    def _in_flight_at(self, view: EngineView, here: int) -> int:
        """Return how many ran here when the newest report of the engine was true."""
        samples = self._samples_by_engine.setdefault(view.member.id, deque(maxlen=MAX_SAMPLES))
        now = self._clock()
        if not samples or now - samples[-1].taken_at >= self._lag_seconds / SAMPLES_IN_LAG:
            samples.append(_Sample(now, here))
        sampled_at = view.received_at - self._lag_seconds
        older = list(itertools.takewhile(lambda s: s.taken_at <= sampled_at, samples))
        while len(samples) > 1 and samples[1].taken_at <= sampled_at:
            samples.popleft()
        return older[-1].in_flight if older else samples[0].in_flight

    def _count_instances(self, *, near_only: bool) -> int:
        domain = self._instance.failure_domain
        live = [m for m in self._members.instances() if not m.leaving]
        return max(1, sum(not near_only or m.failure_domain == domain for m in live))

    def _is_near(self, view: EngineView) -> bool:
        return view.member.failure_domain == self._instance.failure_domain
