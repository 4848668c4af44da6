"""Demand for models: counted at each instance, gossiped, and summed by the planner."""

import math
import threading
from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec
from redwingscale_common.utils.digests import rendezvous_order

from redwingscale_daemon._internal.membership.entry import Entry
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.placement.model_number import model_number

TOPIC = "demand"
KEY = "table"
HALF_LIFE_SECONDS = 60.0
MIN_REQUESTS_PER_SECOND = 1 / 64
"""The rate of exponent 0; a rate below half of it is not published."""
STEPS_PER_DOUBLING = 2
MAX_PUBLISHED_MODELS = 32
MAX_REPORTERS = 24
PUBLISH_SECONDS = 10.0
PUBLISH_SECONDS_OF_MANY = 30.0


class DemandTable(NamedTuple):
    """``exponents`` by model number: a rate of ``MIN_REQUESTS_PER_SECOND * 2 ** (exponent / 2)``."""

    exponents: dict[int, int]


class DemandTracker:
    """Counts arrivals at this instance and publishes the highest rates.

    The cost is bounded: at most `MAX_REPORTERS` instances publish, each at most 32
    models (a deployment may have 860), in half powers of two, and in a larger deployment
    at most every 30 s. The planner scales the sum up, since the load balancer spreads
    callers evenly over all instances.
    """

    def __init__(
        self, instance: str, gossip: GossipState, instances: Callable[[], Iterable[str]]
    ) -> None:
        self._lock = threading.Lock()
        self._instance = instance
        self._gossip = gossip
        self._instances = instances
        self._arrivals: Counter[str] = Counter()
        self._rates: dict[str, float] = {}
        self._published: dict[int, int] = {}
        self._updated_at: float | None = None
        self._published_at = float("-inf")

    def arrived(self, model: str) -> None:
        """Count a request for ``model``; refused requests count too, since they are demand."""
        with self._lock:
            self._arrivals[model] += 1

    def step(self, now: float) -> None:
        """Update the rates as of ``now`` and publish them if their table has changed."""
        self._update(now)
        instances = {*self._instances(), self._instance}
        reporters = rendezvous_order(TOPIC, instances)[:MAX_REPORTERS]
        is_large = len(instances) > MAX_REPORTERS
        interval = PUBLISH_SECONDS_OF_MANY if is_large else PUBLISH_SECONDS
        if self._instance not in reporters or now - self._published_at < interval:
            return
        table = self._table()
        if table != self._published:
            self._published, self._published_at = table, now
            self._gossip.publish(TOPIC, KEY, DemandTable(table))

    def _update(self, now: float) -> None:
        with self._lock:
            arrivals, self._arrivals = self._arrivals, Counter()
        elapsed = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        if elapsed <= 0.0:
            return
        kept = 0.5 ** (elapsed / HALF_LIFE_SECONDS)
        for model in self._rates.keys() | arrivals.keys():
            recent = arrivals[model] / elapsed
            self._rates[model] = kept * self._rates.get(model, 0.0) + (1 - kept) * recent

    def _table(self) -> dict[int, int]:
        top = sorted(self._rates.items(), key=lambda item: (-item[1], item[0]))
        table = {}
        for model, rate in top[:MAX_PUBLISHED_MODELS]:
            number = model_number(model)
            exponent = _exponent(rate, self._published.get(number))
            if exponent is not None:
                table[number] = exponent
        return table


class DemandTotals:
    """The sum of the published demand of all instances, by model number."""

    def __init__(self, gossip: GossipState, instances: Callable[[], Iterable[str]]) -> None:
        self._tables_by_origin: dict[str, DemandTable] = {}
        self._instances = instances
        gossip.subscribe(TOPIC, self._on_entry)

    def rates_by_number(self) -> dict[int, float]:
        """Return requests per second, scaled up from the reporters to all live instances."""
        live = set(self._instances())
        tables = [t for origin, t in list(self._tables_by_origin.items()) if origin in live]
        reporters = min(len(live), MAX_REPORTERS)
        scale = len(live) / reporters if reporters else 1.0
        totals: dict[int, float] = {}
        for table in tables:
            for number, exponent in table.exponents.items():
                rate = scale * MIN_REQUESTS_PER_SECOND * 2.0 ** (exponent / STEPS_PER_DOUBLING)
                totals[number] = totals.get(number, 0.0) + rate
        return totals

    def _on_entry(self, entry: Entry) -> None:
        table = msgspec.msgpack.decode(entry.payload, type=DemandTable)
        self._tables_by_origin[entry.origin] = table


def _exponent(rate: float, published: int | None) -> int | None:
    """Return the half power of two nearest to ``rate``.

    It stays as ``published`` until ``rate`` is about 30% off, so that small changes
    are not published.
    """
    if rate < MIN_REQUESTS_PER_SECOND / 2:
        return None
    exact = STEPS_PER_DOUBLING * math.log2(rate / MIN_REQUESTS_PER_SECOND)
    if published is not None and abs(exact - published) < 0.75:
        return published
    return max(0, round(exact))
