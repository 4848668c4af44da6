"""How long answers of each unit take, as this instance has seen it."""

from typing import NamedTuple

WEIGHT_OF_NEWEST = 0.2


class Served(NamedTuple):
    """An answer that has ended; times in seconds."""

    max_tokens: int
    tokens: int
    first_token: float
    total: float


class Rate(NamedTuple):
    """Moving averages: time to the first token, gap, and used part of ``max_tokens``."""

    first_token: float
    gap: float
    used: float


class ServiceRates:
    """Averages by unit; a unit never seen is taken to be instant."""

    def __init__(self) -> None:
        self._rates_by_unit: dict[str, Rate] = {}

    def record(self, unit: str, served: Served) -> None:
        """Take a whole answer into the averages."""
        newest = Rate(
            first_token=served.first_token,
            gap=(served.total - served.first_token) / max(1, served.tokens - 1),
            used=served.tokens / served.max_tokens,
        )
        known = self._rates_by_unit.get(unit, newest)
        self._rates_by_unit[unit] = Rate(
            *(_blend(a, b) for a, b in zip(known, newest, strict=True))
        )

    def expected_seconds(self, unit: str, max_tokens: int) -> float:
        """Return how long an answer takes once an engine runs it."""
        rate = self._rates_by_unit.get(unit)
        if rate is None:
            return 0.0
        return rate.first_token + rate.gap * rate.used * max_tokens


def _blend(known: float, newest: float) -> float:
    return known + WEIGHT_OF_NEWEST * (newest - known)
