"""Estimates how many more requests the engines of a unit can run."""

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
    """Room for requests of this instance.

    ``free`` is the number that can start now, ``slots`` the number that run at once when
    the engines are full.
    """

    free: float
    slots: float


class _Sample(NamedTuple):
    taken_at: float
    in_flight: int


class Capacity:
    """Estimates room by unit from delayed reports and this instance's own requests.

    A report shows the load of some time ago; the change in own requests since then is
    added. Whatever the reports say, each instance may use its equal share of an engine's
    slots: a stale report of a full engine must not keep all instances away from it.
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
        """Return the room for ``unit``; None if unknown: no engines, or one without a digest."""
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
        # All instances see the same report: if each used all free slots in it, together
        # they would overload the engine.
        share_of_free = (digest.slots - load) / instances
        return Room(max(0.0, share_of_free, equal_share - here), max(equal_share, here))

    def _in_flight_at(self, view: EngineView, here: int) -> int:
        """Return the requests of this instance in flight when the newest report was made."""
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
