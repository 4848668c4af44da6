"""Averages how long completions of each unit take in this instance."""

from typing import NamedTuple

NEWEST_WEIGHT = 0.2


class Completion(NamedTuple):
    """The size and times of one complete response."""

    max_tokens: int
    tokens: int
    first_token_seconds: float
    total_seconds: float


class Rate(NamedTuple):
    """Moving averages; ``gap_seconds`` is per token, ``used_fraction`` of ``max_tokens``."""

    first_token_seconds: float
    gap_seconds: float
    used_fraction: float


class ServiceRates:
    """Keeps averages by unit; a unit without completions is expected to take no time."""

    def __init__(self) -> None:
        self._rates_by_unit: dict[str, Rate] = {}

    def record(self, unit: str, completion: Completion) -> None:
        """Add a complete response to the averages of ``unit``."""
        newest = Rate(
            first_token_seconds=completion.first_token_seconds,
            gap_seconds=(completion.total_seconds - completion.first_token_seconds)
            / max(1, completion.tokens - 1),
            used_fraction=completion.tokens / completion.max_tokens,
        )
        average = self._rates_by_unit.get(unit, newest)
        self._rates_by_unit[unit] = Rate(
            *(_blend(a, b) for a, b in zip(average, newest, strict=True))
        )

    def expected_seconds(self, unit: str, max_tokens: int) -> float:
        """Return how long a response is expected to take once an engine runs the request."""
        rate = self._rates_by_unit.get(unit)
        if rate is None:
            return 0.0
        return rate.first_token_seconds + rate.gap_seconds * rate.used_fraction * max_tokens


def _blend(average: float, newest: float) -> float:
    return average + NEWEST_WEIGHT * (newest - average)
