"""A rate that fades."""

import math
from typing import NamedTuple

# A steady stream of one a second adds up to one in a rate with a half-life of one.
_PER_HALF_LIFE = math.log(2)


class DecayingRate(NamedTuple):
    """Events a second; the weight of each event halves every ``half_life_seconds``."""

    half_life_seconds: float
    per_second: float = 0.0
    at: float = 0.0

    def now(self, now: float) -> float:
        """Return the rate at ``now``, monotonic."""
        return self.per_second * 0.5 ** ((now - self.at) / self.half_life_seconds)

    def with_events(self, events: float, now: float) -> "DecayingRate":
        """Return the rate with ``events`` more, which have come just now."""
        added = events * _PER_HALF_LIFE / self.half_life_seconds
        return self.increased_by(added, now)

    def increased_by(self, per_second: float, now: float) -> "DecayingRate":
        """Return a rate that is higher by ``per_second``."""
        return DecayingRate(self.half_life_seconds, self.now(now) + per_second, now)
