"""A rate of events that decays exponentially."""

import math
from typing import NamedTuple

# Factor that makes the rate of a steady stream of events equal to its events a second.
_PER_HALF_LIFE = math.log(2)


class DecayingRate(NamedTuple):
    """Events a second; the weight of each event halves every ``half_life_seconds``."""

    half_life_seconds: float
    per_second: float = 0.0
    at: float = 0.0

    def now(self, now: float) -> float:
        """Return the rate at the monotonic time ``now``."""
        return self.per_second * 0.5 ** ((now - self.at) / self.half_life_seconds)

    def with_events(self, events: float, now: float) -> "DecayingRate":
        """Return the rate with ``events`` added, which happened at ``now``."""
        added = events * _PER_HALF_LIFE / self.half_life_seconds
        return self.increased_by(added, now)

    def increased_by(self, per_second: float, now: float) -> "DecayingRate":
        """Return the rate at ``now``, increased by ``per_second``."""
        return DecayingRate(self.half_life_seconds, self.now(now) + per_second, now)
