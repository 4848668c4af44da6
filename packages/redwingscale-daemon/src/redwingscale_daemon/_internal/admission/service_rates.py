"""How long answers of each unit take, as this instance has seen it."""

from typing import NamedTuple

NEWEST_WEIGHT = 0.2


class Completion(NamedTuple):
    """An answer that has ended; times in seconds."""

    max_tokens: int
    tokens: int
    first_token_seconds: float
    total_seconds: float


class Rate(NamedTuple):
    """Moving averages: time to the first token, gap_seconds, and used_fraction part of ``max_tokens``."""

    first_token_seconds: float
    gap_seconds: float
    used_fraction: float


class ServiceRates:
    """Averages by unit; a unit never seen is taken to be instant."""

    def __init__(self) -> None:
        self._rates_by_unit: dict[str, Rate] = {}

    def record(self, unit: str, completion: Completion) -> None:
        """Take a whole answer into the averages."""
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
        """Return how long an answer takes once an engine runs it."""
        rate = self._rates_by_unit.get(unit)
        if rate is None:
            return 0.0
        return rate.first_token_seconds + rate.gap_seconds * rate.used_fraction * max_tokens


def _blend(average: float, newest: float) -> float:
    return average + NEWEST_WEIGHT * (newest - average)
