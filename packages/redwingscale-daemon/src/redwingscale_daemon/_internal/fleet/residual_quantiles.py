"""A small table of quantiles that follows a distribution."""

import bisect
import math
import threading

LEVELS = (0.05, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95)
# Those of a normal distribution, with a longer tail of late ones.
INITIAL_QUANTILES = (-1.6, -1.25, -0.65, 0.0, 0.75, 1.5, 2.1)
# By how much an observation moves a quantile, in standard deviations.
STEP = 0.12
# Decay of the tails beyond the table.
TAIL = 0.7


class ResidualQuantiles:
    """Quantiles of the deviations of real from expected times, in standard deviations.

    Each observation moves each quantile by a small step, so that old ones fade.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._quantiles: tuple[float, ...] = INITIAL_QUANTILES

    def observe(self, deviation: float) -> None:
        """Take one deviation."""
        with self._lock:
            moved = (
                quantile + STEP * (level - (deviation < quantile))
                for level, quantile in zip(LEVELS, self._quantiles, strict=True)
            )
            self._quantiles = tuple(sorted(moved))

    @property
    def median(self) -> float:
        """The median deviation."""
        return self._quantiles[LEVELS.index(0.5)]

    def chance_below(self, deviation: float) -> float:
        """Return the probability of a deviation of at most ``deviation``."""
        quantiles = self._quantiles
        if deviation <= quantiles[0]:
            return LEVELS[0] * math.exp((deviation - quantiles[0]) / TAIL)
        if deviation >= quantiles[-1]:
            return 1.0 - (1.0 - LEVELS[-1]) * math.exp((quantiles[-1] - deviation) / TAIL)
        above = bisect.bisect_right(quantiles, deviation)
        left, right = quantiles[above - 1], quantiles[above]
        part = (deviation - left) / (right - left) if right > left else 1.0
        return LEVELS[above - 1] + part * (LEVELS[above] - LEVELS[above - 1])
