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
MAX_QUEUE_SHARE = 3.0
# Weight of an observation in the share of its priority, with a long queue.
SHARE_GAIN = 0.01


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
_READ, _FIXED, _REQUEST = "*read", "*fixed", "*request"
_LIMITS = {_READ: (0.2, 5.0), _FIXED: (0.0, 40.0), _REQUEST: (0.0, 6.0)}
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

    A regression whose coefficients are never negative: of the time to read all prompts, a
    fixed time, and the open requests. The latter two are used relative to the first, whose
    scale is in the upstreams' slowness. Designed for engines in which a running request costs
    6 ms as well as those in which it costs nothing.

    Requests of a priority wait for a share of the queue. In the mean over all requests,
    weighted by their queues, the shares are 1: whatever the order, an upstream reads all
    prompts in the same time. Without that, long queues would be taken for slow upstreams.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._products: dict[tuple[str, str], float] = defaultdict(float)
        self._targets: dict[str, float] = defaultdict(float)
        self._coefficients: dict[str, float] = {}
        self._shares: dict[int, float] = {}
        self._usual_queues: dict[int, float] = {}
        self._begin(_READ, 1.0, 1.0)
        self._begin(_FIXED, 1.0 / USUAL_MS, INITIAL_SHAPE.fixed_ms)
        self._begin(_REQUEST, USUAL_REQUESTS / USUAL_MS, INITIAL_SHAPE.request_ms)

    def shape(self, priority: int) -> ReadShape:
        """Return the shape for requests of ``priority``; the initial queue share if unknown."""
        return shape_of(priority, self.values().get)

    def values(self) -> dict[str, float]:
        """Return all values relative to the time to read prompts, by key of the update."""
        scale = self._coefficients[_READ]
        shares = {_queue(key): share for key, share in list(self._shares.items())}
        others = {key: self._coefficients[key] / scale for key in (_FIXED, _REQUEST)}
        return {key: max(LEAST_VALUE, value) for key, value in (others | shares).items()}

    def seed(self, values: Mapping[str, float]) -> None:
        """Start from known ``values`` by key of the update."""
        with self._lock:
            for key in values.keys() & {_FIXED, _REQUEST}:
                self._targets[key] = self._products[key, key] * values[key]
                self._coefficients[key] = values[key]
            for key, value in values.items():
                if key.startswith(QUEUE_PREFIX):
                    priority = int(key.removeprefix(QUEUE_PREFIX))
                    self._shares[priority], self._usual_queues[priority] = value, 0.0

    def observe(self, ahead: Ahead, slowness: float, real_ms: float) -> None:
        """Take a first event at an upstream of known ``slowness``."""
        with self._lock:
            share = self._shares.get(ahead.priority, INITIAL_SHAPE.queue_share)
            read_ms = ahead.own_ms + share * ahead.queue_ms
            terms = {_READ: read_ms, _FIXED: 1.0, _REQUEST: float(ahead.requests)}
            expected = max(1.0, sum(self._coefficients[key] * one for key, one in terms.items()))
            real = min(real_ms / slowness, expected * MAX_LATE_FACTOR)
            self._regress(terms, real, 1.0 / max(expected, USUAL_MS) ** 2)
            self._share(ahead, share, real)

    def _begin(self, key: str, usual: float, value: float) -> None:
        self._coefficients[key] = value
        self._products[key, key] = INITIAL_WEIGHT * usual * usual
        self._targets[key] = self._products[key, key] * value

    def _regress(self, terms: Mapping[str, float], real: float, weight: float) -> None:
        # Relative errors count: the long times would hide all others.
        for row, one in terms.items():
            self._targets[row] = self._targets[row] * KEPT_FRACTION + weight * one * real
            for column, other in terms.items():
                kept = self._products[row, column] * KEPT_FRACTION
                self._products[row, column] = kept + weight * one * other
        for key in terms:
            self._improve(key)

    def _improve(self, key: str) -> None:
        """Set one coefficient to its best value, given the others."""
        others = sum(
            self._products[key, other] * value
            for other, value in self._coefficients.items()
            if other != key
        )
        best = (self._targets[key] - others) / max(self._products[key, key], 1e-12)
        least, most = _LIMITS[key]
        self._coefficients[key] = min(most, max(least, best))

    def _share(self, ahead: Ahead, share: float, real: float) -> None:
        """Move the share of a priority to what ``real`` implies; keep their mean at 1."""
        rest = ahead.own_ms * self._coefficients[_READ] + self._coefficients[_FIXED]
        rest += ahead.requests * self._coefficients[_REQUEST]
        queue_ms = max(1.0, ahead.queue_ms * self._coefficients[_READ])
        implied = min(MAX_QUEUE_SHARE, max(0.0, (real - rest) / queue_ms))
        gain = SHARE_GAIN * ahead.queue_ms / (ahead.queue_ms + USUAL_MS)
        self._shares[ahead.priority] = share + gain * (implied - share)
        usual = self._usual_queues.get(ahead.priority, 0.0)
        for key in self._usual_queues:
            self._usual_queues[key] *= 1.0 - SHARE_GAIN
        self._usual_queues[ahead.priority] = (
            usual * (1.0 - SHARE_GAIN) + SHARE_GAIN * ahead.queue_ms
        )
        total = sum(self._usual_queues.values())
        if total > 0:
            mean = sum(self._shares[key] * one for key, one in self._usual_queues.items()) / total
            if mean > 0:
                self._shares = {key: one / mean for key, one in self._shares.items()}


def _queue(priority: int) -> str:
    return f"{QUEUE_PREFIX}{priority}"
