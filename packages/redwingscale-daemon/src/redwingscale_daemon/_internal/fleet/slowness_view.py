"""The slowness that an instance uses: the leader's, or its own without a leader."""

import math
import time
from collections.abc import Mapping
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.first_event_fit import FirstEventFit
from redwingscale_daemon._internal.fleet.read_times import ReadShape, shape_of

# Key of the mean slowness of all upstreams, used for an upstream without a value. Keys of
# `ReadTimes.values` begin with it as well.
MEAN_KEY = "*"
# The leader repeats each value every 2 s, with hundreds of models somewhat less often. Older
# ones fade with this half-life.
FRESH_SECONDS = 4.0
FADE_HALF_LIFE_SECONDS = 4.0


class _Received(NamedTuple):
    log: float
    at: float


class SlownessView:
    """Slowness by upstream and model, and how times depend on what is ahead.

    The leader's values are used as long as it repeats them. Afterwards they fade to what
    this instance has observed itself, which is 1 without observations.
    """

    def __init__(self) -> None:
        self.own = FirstEventFit()
        self._received: dict[str, _Received] = {}

    def receive(self, values: Mapping[str, float]) -> None:
        """Take values of the leader, by upstream id and model name; invalid ones are ignored."""
        now = time.monotonic()
        self._received |= {
            key: _Received(math.log(value), now)
            for key, value in values.items()
            if 0.0 < value < math.inf
        }

    def upstream(self, upstream_id: str) -> float:
        """Return the slowness of an upstream, that of the mean for an unknown one."""
        key = upstream_id if upstream_id in self._received else MEAN_KEY
        return math.exp(self._log(key, self.own.slowness.upstream_log(upstream_id)))

    def model(self, name: str) -> float:
        """Return the slowness of a model relative to the mean of all models."""
        return math.exp(self._log(name, self.own.slowness.model_log(name)))

    def shape(self, priority: int) -> ReadShape:
        """Return how the time to a first event depends on what is ahead."""
        own = self.own.read_times.values()

        def value(key: str, default: float) -> float:
            return math.exp(self._log(key, math.log(own.get(key, default))))

        return shape_of(priority, value)

    def values(self) -> dict[str, float]:
        """Return the leader's values that have not faded, by upstream id and model name."""
        since = time.monotonic() - FRESH_SECONDS - FADE_HALF_LIFE_SECONDS
        received = list(self._received.items())
        return {key: math.exp(value.log) for key, value in received if value.at > since}

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        self.own.slowness.forget(upstream_ids)
        for key in upstream_ids:
            self._received.pop(key, None)

    def _log(self, key: str, own_log: float) -> float:
        received = self._received.get(key)
        if received is None:
            return own_log
        stale = max(0.0, time.monotonic() - received.at - FRESH_SECONDS)
        trust = 0.5 ** (stale / FADE_HALF_LIFE_SECONDS)
        return received.log * trust + own_log * (1.0 - trust)
