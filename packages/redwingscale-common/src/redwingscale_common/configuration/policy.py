"""Operators' weights and the limits of what the system runs on."""

from typing import NamedTuple


class Policy(NamedTuple):
    """``moves_weight`` in [0, 1]: 0 only minds attainment, 1 only moves.

    ``cache_share`` is the part of an engine's memory that stays free of
    weights, for the cache of running requests.
    """

    moves_weight: float
    cache_share: float


class WeightStore(NamedTuple):
    """The store's limits: loads started a second, loads at once at full speed."""

    loads_per_second: float
    concurrent_loads: int
