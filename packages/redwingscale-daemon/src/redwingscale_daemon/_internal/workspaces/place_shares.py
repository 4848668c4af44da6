"""The leader's totals of workspaces' use of holders, and the shares that follow."""

import threading
import time
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from redwingscale_daemon._internal.utils.decaying_rate import DecayingRate
from redwingscale_daemon._internal.workspaces.place_messages import PlaceUse

RECENT_HALF_LIFE_SECONDS = 2.5
# The usual use is learned over a minute: floods last for some seconds.
USUAL_HALF_LIFE_SECONDS = 60.0
# A flood counts toward the usual use of its workspace only up to this many times that use:
# lasting growth becomes the usual use within some minutes.
MAX_USUAL_FACTOR = 1.2
# Until then the usual use is not known, and there are no shares. The mean use of all
# workspaces counts as that of each for as long: a few requests say little.
LEARNING_SECONDS = 10.0
# A workspace that was idle gets at least this fraction of the mean weight.
MIN_WEIGHT_FRACTION = 0.25
# A workspace is far above its usual use at this many times that use: the few requests of a
# small workspace within the half-life vary by a factor of two.
FAR_ABOVE_FACTOR = 3.0


class _Use(NamedTuple):
    offered: DecayingRate
    usual: DecayingRate


class PlaceShares:
    """Compares the prompt tokens that each workspace asks for with its usual use.

    Answers one workspace that sends five times its usual load. Instances apply the shares
    only where the queues of holders are long.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self.begin()

    def begin(self) -> None:
        """Drop everything: a new leader does not know the use under the former one."""
        with self._lock:
            self._by_workspace: dict[str, _Use] = {}
            self._begun_at: float | None = None
            self._compared_at = 0.0

    def receive(self, entries: Iterable[PlaceUse]) -> None:
        """Add the use in an update of an instance."""
        now = self._clock()
        with self._lock:
            for entry in entries:
                if self._begun_at is None:
                    self._begun_at = self._compared_at = now
                use = self._by_workspace.get(entry.workspace) or _new_use(now)
                offered = use.offered.with_events(entry.offered, now)
                self._by_workspace[entry.workspace] = use._replace(offered=offered)

    def shares(self) -> dict[str, float]:
        """Return the fraction of its requests that is within its share, by workspace.

        Workspaces that are not listed are within their share with all requests. To be called
        with each periodic update.
        """
        now = self._clock()
        with self._lock:
            if self._begun_at is None:
                return {}
            age = now - self._begun_at
            self._learn(now, age)
            if age < LEARNING_SECONDS:
                return {}
            offered = {key: use.offered.now(now) for key, use in self._by_workspace.items()}
            usual = {key: _usual(use, now, age) for key, use in self._by_workspace.items()}
        mean = sum(usual.values()) / max(1, len(usual))
        known = age / (age + LEARNING_SECONDS)
        weights = {
            key: max(MIN_WEIGHT_FRACTION * mean, rate * known + mean * (1.0 - known))
            for key, rate in usual.items()
        }
        return shares_of(offered, weights)

    def _learn(self, now: float, age: float) -> None:
        seconds, self._compared_at = now - self._compared_at, now
        for key, use in self._by_workspace.items():
            rate = use.offered.now(now)
            if age > LEARNING_SECONDS and (usual := _usual(use, now, age)):
                rate = min(rate, MAX_USUAL_FACTOR * usual)
            learned = use.usual.with_events(rate * seconds, now)
            self._by_workspace[key] = use._replace(usual=learned)


def shares_of(offered: Mapping[str, float], weights: Mapping[str, float]) -> dict[str, float]:
    """Return what fraction of ``offered`` is within the share of those far above it.

    The share is the usual use, which is the weight, and grows with the use of the others:
    whoever is not far above it is not limited at all.
    """
    near = [key for key, rate in offered.items() if rate <= FAR_ABOVE_FACTOR * weights[key]]
    near_weight = sum(weights[key] for key in near)
    growth = sum(offered[key] for key in near) / near_weight if near_weight else 1.0
    level = max(1.0, growth)
    return {
        key: round(level * weights[key] / rate, 2)
        for key, rate in offered.items()
        if rate > FAR_ABOVE_FACTOR * level * weights[key]
    }


def _usual(use: _Use, now: float, age: float) -> float:
    """Return the usual rate; a rate that began lately has not reached its height yet."""
    reached = 1.0 - 0.5 ** (age / USUAL_HALF_LIFE_SECONDS)
    return use.usual.now(now) / reached if reached else 0.0


def _new_use(now: float) -> _Use:
    return _Use(
        DecayingRate(RECENT_HALF_LIFE_SECONDS, at=now),
        DecayingRate(USUAL_HALF_LIFE_SECONDS, at=now),
    )
