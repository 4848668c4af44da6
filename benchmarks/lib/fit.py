"""Fits a straight line through measured points."""

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np


class Line(NamedTuple):
    """``y = base + slope * x``; ``r_squared`` is 1 for points on the line."""

    base: float
    slope: float
    r_squared: float

    def at(self, x: float) -> float:
        """Return the line's value at ``x``."""
        return self.base + self.slope * x


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Return the least-squares line; raise ValueError for fewer than three sizes."""
    if len(set(xs)) < 3:
        raise ValueError("a slope needs at least three sizes")
    slope, base = (float(value) for value in np.polyfit(xs, ys, 1))
    rest = np.asarray(ys) - (base + slope * np.asarray(xs))
    spread = float(np.var(ys))
    return Line(base, slope, 1.0 - float(np.var(rest)) / spread if spread else 1.0)
