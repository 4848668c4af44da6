"""Measurements of the load tool."""

from typing import NamedTuple


class RequestResult(NamedTuple):
    """Result of one request; ``outcome`` is ``whole``, ``cut`` or a problem code.

    ``whole`` is a complete response, ``cut`` one that ended early or failed to arrive.
    ``first_token_seconds`` is 0 if no token arrived.
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
    """Summary of all requests.

    ``attainment`` is the fraction of requests with a complete response within the deadline.
    """

    requests: int
    attainment: float
    count_by_outcome: dict[str, int]
    tokens: int
    tokens_per_second: float
    first_token_ms: Percentiles
    token_gap_ms: Percentiles
    refusal_ms: Percentiles
