"""Learns the time to a first event from unread tokens and running requests."""

import threading
from typing import NamedTuple

# Prompt tokens that an engine of slowness 1 processes in a millisecond: the unit in which
# the slowness of upstreams is expressed, not a claim about their engines.
TOKENS_PER_MS = 24.0
# Initial values; engines whose step does not depend on the batch add nothing per request.
INITIAL_FIXED_MS = 10.0
INITIAL_REQUEST_MS = 6.0
# Each observation fades to half its weight over some 35 others: half a minute at an
# instance.
KEPT_FRACTION = 0.98
# The initial values count for this many observations of usual size.
INITIAL_WEIGHT = 2.0
USUAL_MS = 100.0
USUAL_REQUESTS = 10.0
# A late first event counts as at most this many times as late as expected.
MAX_LATE_FACTOR = 3.0
MAX_FIXED_MS = 60.0
MAX_REQUEST_MS = 12.0
LEAST_SCALE, MOST_SCALE = 0.2, 5.0

_Terms = tuple[float, float, float]


class ReadShape(NamedTuple):
    """Milliseconds at slowness 1, beside the time to read the tokens."""

    fixed_ms: float = INITIAL_FIXED_MS
    request_ms: float = INITIAL_REQUEST_MS

    def milliseconds(self, tokens: float, requests: float) -> float:
        """Return the expected time to a first event with ``tokens`` unread in all."""
        return tokens / TOKENS_PER_MS + self.fixed_ms + self.request_ms * requests


class ReadTimes:
    """Fits the parts of the time to a first event that do not depend on its tokens.

    A regression with three coefficients that are never negative: a scale of the time to
    read tokens, a fixed time, and a time per running request. Only the latter two relative
    to the scale are used, since the scale is in the upstreams' slowness. Answers engines in
    which a running request costs 6 ms, as well as those in which it costs nothing.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._coefficients: _Terms = (1.0, INITIAL_FIXED_MS, INITIAL_REQUEST_MS)
        weights = (1.0, 1.0 / USUAL_MS, USUAL_REQUESTS / USUAL_MS)
        self._products = [
            [INITIAL_WEIGHT * one * one if row == column else 0.0 for column in range(3)]
            for row, one in enumerate(weights)
        ]
        self._targets = [self._products[n][n] * self._coefficients[n] for n in range(3)]
        self.shape = ReadShape()

    def observe(self, tokens: float, requests: float, slowness: float, real_ms: float) -> None:
        """Take a first event at an upstream of known ``slowness``."""
        terms = (tokens / TOKENS_PER_MS, 1.0, float(requests))
        with self._lock:
            expected = max(1.0, sum(map(float.__mul__, self._coefficients, terms)))
            real = min(real_ms / slowness, expected * MAX_LATE_FACTOR)
            # Relative errors count: the long times would hide all others.
            weight = 1.0 / max(expected, USUAL_MS / 4) ** 2
            for row in range(3):
                for column in range(3):
                    product = self._products[row][column] * KEPT_FRACTION
                    self._products[row][column] = product + weight * terms[row] * terms[column]
                target = self._targets[row] * KEPT_FRACTION
                self._targets[row] = target + weight * terms[row] * real
            self._solve()

    def _solve(self) -> None:
        """Improve each coefficient once, given the others; called for each observation."""
        values = list(self._coefficients)
        limits = ((LEAST_SCALE, MOST_SCALE), (0.0, MAX_FIXED_MS), (0.0, MAX_REQUEST_MS))
        for row, (least, most) in enumerate(limits):
            others = sum(self._products[row][n] * values[n] for n in range(3) if n != row)
            values[row] = min(most, max(least, (self._targets[row] - others) / self._diagonal(row)))
        self._coefficients = (values[0], values[1], values[2])
        self.shape = ReadShape(values[1] / values[0], values[2] / values[0])

    def _diagonal(self, row: int) -> float:
        return max(self._products[row][row], 1e-12)
