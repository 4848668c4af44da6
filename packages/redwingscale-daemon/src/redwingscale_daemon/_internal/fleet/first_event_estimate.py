"""The expected time to a first event, with its spread."""

import math
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.read_times import Ahead
from redwingscale_daemon._internal.fleet.residual_quantiles import ResidualQuantiles

# Standard deviation of the logarithm of real over expected time if the load is known:
# slow spells, batch steps, cached prompts.
LOG_DEVIATION = 0.45
LEAST_MS = 1.0


class FirstEventEstimate(NamedTuple):
    """When the first event of a request would come from one holder, in milliseconds.

    ``base_ms`` is expected at slowness 1, ``expected_ms`` at the holder's, of which
    ``queue_ms`` are spent on other requests. ``cost_ms`` compares holders. ``spread_ms`` is the standard deviation due to
    load that is not known exactly.
    """

    upstream_id: str
    model: str
    ahead: Ahead
    slowness: float
    base_ms: float
    expected_ms: float
    queue_ms: float
    cost_ms: float
    spread_ms: float
    quantiles: ResidualQuantiles

    def chance_by(self, seconds: float) -> float:
        """Return the probability that the first event comes within ``seconds``."""
        return self._chance(self.expected_ms, seconds)

    def queue_chance_by(self, seconds: float) -> float:
        """Return the probability that the requests ahead are read within ``seconds``."""
        return self._chance(self.queue_ms, seconds)

    def deviation(self, real_ms: float) -> float:
        """Return by how many standard deviations ``real_ms`` is later than expected."""
        return self._deviation(self.expected_ms, real_ms)

    def _chance(self, expected_ms: float, seconds: float) -> float:
        if seconds <= 0:
            return 0.0
        return self.quantiles.chance_below(self._deviation(expected_ms, seconds * 1000.0))

    def _deviation(self, expected_ms: float, real_ms: float) -> float:
        expected = max(expected_ms, LEAST_MS)
        relative = self.spread_ms / expected
        log_spread = math.sqrt(LOG_DEVIATION**2 + math.log1p(relative * relative))
        return math.log(max(real_ms, LEAST_MS) / expected) / log_spread
