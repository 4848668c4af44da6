"""Learns the time to a first event at slowness 1 from what is ahead of a request."""

import threading
from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import NamedTuple

# Prompt tokens that an engine of slowness 1 processes in a millisecond: the unit in which
# the slowness of upstreams is expressed, not a claim about their engines.
TOKENS_PER_MS = 24.0
# Each observation fades to half its weight over some 350 others: 4 s at a leader.
KEPT_FRACTION = 0.998
# The initial values count for this many observations of usual size.
INITIAL_WEIGHT = 6.0
USUAL_MS = 100.0
USUAL_REQUESTS = 10.0
# A late first event counts as at most this many times as late as expected.
MAX_LATE_FACTOR = 3.0
MAX_FIXED_MS = 60.0
MAX_REQUEST_MS = 12.0
LEAST_SCALE, MOST_SCALE = 0.2, 5.0
MAX_QUEUE_SHARE = 3.0


class Ahead(NamedTuple):
    """What is between a request and its first event, in milliseconds at slowness 1.

    ``own_ms`` is the time to read its own prompt, ``queue_ms`` that for all other unread
    prompts at the upstream, which has ``requests`` open. Upstreams first take requests of
    the lowest ``priority``.
    """

    own_ms: float
    queue_ms: float
    requests: int
    priority: int


class ReadShape(NamedTuple):
    """Fraction of the queue that a request waits for, and milliseconds beside the tokens."""

    queue_share: float = 1.0
    fixed_ms: float = 10.0
    request_ms: float = 6.0

    def queue_ms(self, ahead: Ahead) -> float:
        """Return the expected time that is spent on other requests."""
        return self.queue_share * ahead.queue_ms + self.request_ms * ahead.requests

    def total_ms(self, ahead: Ahead) -> float:
        """Return the expected time to the first event."""
        return ahead.own_ms + self.fixed_ms + self.queue_ms(ahead)


INITIAL_SHAPE = ReadShape()
_OWN, _FIXED, _REQUEST = "*own", "*fixed", "*request"
QUEUE_PREFIX = "*queue"
# Values below are sent as this one, since they are kept as logarithms.
LEAST_VALUE = 0.01


def shape_of(priority: int, value: Callable[[str, float], float]) -> ReadShape:
    """Return the shape for ``priority``; ``value`` returns that of a key, or its default."""
    return ReadShape(
        value(_queue(priority), INITIAL_SHAPE.queue_share),
        value(_FIXED, INITIAL_SHAPE.fixed_ms),
        value(_REQUEST, INITIAL_SHAPE.request_ms),
    )


class ReadTimes:
    """Fits a `ReadShape` for each priority.

    A regression whose coefficients are never negative: of the own prompt, a fixed time, the
    open requests, and the queue by priority. All are used relative to the first, whose
    scale is in the upstreams' slowness. Answers engines in which a running request costs
    6 ms as well as those in which it costs nothing, and queues that urgent requests pass.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._products: dict[tuple[str, str], float] = defaultdict(float)
        self._targets: dict[str, float] = defaultdict(float)
        self._coefficients: dict[str, float] = {}
        self.priorities: set[int] = set()
        self._begin(_OWN, 1.0, 1.0)
        self._begin(_FIXED, 1.0 / USUAL_MS, INITIAL_SHAPE.fixed_ms)
        self._begin(_REQUEST, USUAL_REQUESTS / USUAL_MS, INITIAL_SHAPE.request_ms)

    def shape(self, priority: int) -> ReadShape:
        """Return the shape for requests of ``priority``; the initial queue share if unknown."""
        return shape_of(priority, self.values().get)

    def values(self) -> dict[str, float]:
        """Return all coefficients relative to that of the own prompt, by key of the update."""
        scale = self._coefficients[_OWN]
        return {
            key: max(LEAST_VALUE, value / scale)
            for key, value in list(self._coefficients.items())
            if key != _OWN
        }

    def seed(self, values: Mapping[str, float]) -> None:
        """Start from known ``values`` by key of the update."""
        with self._lock:
            for key in values.keys() & {_FIXED, _REQUEST}:
                self._targets[key] = self._products[key, key] * values[key]
                self._coefficients[key] = values[key]
            for key, value in values.items():
                if key.startswith(QUEUE_PREFIX):
                    self.priorities.add(int(key.removeprefix(QUEUE_PREFIX)))
                    self._begin(key, 1.0, value)

    def observe(self, ahead: Ahead, slowness: float, real_ms: float) -> None:
        """Take a first event at an upstream of known ``slowness``."""
        queue = _queue(ahead.priority)
        terms = {
            _OWN: ahead.own_ms,
            _FIXED: 1.0,
            _REQUEST: float(ahead.requests),
            queue: ahead.queue_ms,
        }
        with self._lock:
            if ahead.priority not in self.priorities:
                self.priorities.add(ahead.priority)
                self._begin(queue, 1.0, INITIAL_SHAPE.queue_share * self._coefficients[_OWN])
            expected = max(1.0, sum(self._coefficients[key] * one for key, one in terms.items()))
            real = min(real_ms / slowness, expected * MAX_LATE_FACTOR)
            self._fade()
            # Relative errors count: the long times would hide all others.
            weight = 1.0 / max(expected, USUAL_MS) ** 2
            for row, one in terms.items():
                self._targets[row] += weight * one * real
                for column, other in terms.items():
                    self._products[row, column] += weight * one * other
            for key in terms:
                self._improve(key)

    def _begin(self, key: str, usual: float, value: float) -> None:
        self._coefficients[key] = value
        self._products[key, key] = INITIAL_WEIGHT * usual * usual
        self._targets[key] = self._products[key, key] * value

    def _fade(self) -> None:
        for pair in self._products:
            self._products[pair] *= KEPT_FRACTION
        for key in self._targets:
            self._targets[key] *= KEPT_FRACTION

    def _improve(self, key: str) -> None:
        """Set one coefficient to its best value, given the others."""
        others = sum(
            self._products.get((key, other), 0.0) * value
            for other, value in self._coefficients.items()
            if other != key
        )
        best = (self._targets[key] - others) / max(self._products[key, key], 1e-12)
        least, most = _limits(key)
        self._coefficients[key] = min(most, max(least, best))


def _queue(priority: int) -> str:
    return f"{QUEUE_PREFIX}{priority}"


def _limits(key: str) -> tuple[float, float]:
    match key:
        case "*own":
            return LEAST_SCALE, MOST_SCALE
        case "*fixed":
            return 0.0, MAX_FIXED_MS
        case "*request":
            return 0.0, MAX_REQUEST_MS
        case _:
            return 0.0, MAX_QUEUE_SHARE
