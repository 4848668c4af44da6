"""The operators' placement policy and the limits of the weight store."""

from typing import NamedTuple


class Policy(NamedTuple):
    """Parameters of the placement planner.

    ``moves_weight`` in [0, 1] weighs few moves against attainment: at 0 only attainment
    counts, at 1 only the number of moves. ``cache_share`` is the fraction of an engine's
    memory that is kept free of weights, for the cache of running requests.
    """

    moves_weight: float
    cache_share: float


class WeightStore(NamedTuple):
    """Limits of the weight store.

    ``loads_per_second`` limits how many loads may start; ``concurrent_loads`` is how many
    can run at once at full speed.
    """

    loads_per_second: float
    concurrent_loads: int
