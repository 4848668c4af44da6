"""What first events tell about upstreams, models and queues."""

import math
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.read_times import Ahead, ReadTimes
from redwingscale_daemon._internal.fleet.slowness_fit import SlownessFit


class FirstEvent(NamedTuple):
    """A first event that came after ``real_ms``, and what was ahead of it when it was sent."""

    upstream_id: str
    model: str
    ahead: Ahead
    real_ms: float


class FirstEventFit:
    """Fits slowness and read times together.

    At the leader over the first events of all instances, at each instance over its own,
    which are used without a leader.
    """

    def __init__(self) -> None:
        self.slowness = SlownessFit()
        self.read_times = ReadTimes()

    def expected_ms(self, ahead: Ahead) -> float:
        """Return the expected time at slowness 1."""
        return self.read_times.shape(ahead.priority).total_ms(ahead)

    def observe(self, event: FirstEvent, known: float = 0.0) -> float:
        """Take a first event; return by how much its logarithm deviates.

        ``known`` is the part of the deviation that has another cause, e.g. a slow spell.
        """
        fit = self.slowness
        slowness = math.exp(fit.upstream_log(event.upstream_id) + fit.model_log(event.model))
        expected_ms = self.expected_ms(event.ahead)
        deviation = fit.observe(event.upstream_id, event.model, expected_ms, event.real_ms, known)
        self.read_times.observe(event.ahead, slowness * math.exp(known), event.real_ms)
        return deviation
