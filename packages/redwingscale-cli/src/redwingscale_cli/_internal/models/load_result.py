"""What the load tool measured."""

from typing import NamedTuple


class RequestResult(NamedTuple):
    """One request; ``outcome`` is ``whole``, ``cut`` or a problem code.

    Times are in seconds; ``first_token_seconds`` is 0 when none arrived.
    """

    outcome: str
    first_token_seconds: float
    gaps_seconds: tuple[float, ...]
    total_seconds: float
    in_time: bool


class Percentiles(NamedTuple):
    """Milliseconds at the 50th, 95th and 99th percentile, and the largest."""

    p50: float
    p95: float
    p99: float
    largest: float


class LoadReport(NamedTuple):
    """Sums over all requests; ``attainment`` is the share answered whole in time."""

    requests: int
    attainment: float
    count_by_outcome: dict[str, int]
    tokens: int
    tokens_per_second: float
    first_token_ms: Percentiles
    token_gap_ms: Percentiles
    refusal_ms: Percentiles
