"""A group of callers with common API keys, a priority and a limit of use."""

from enum import Enum
from typing import NamedTuple


class UseUnit(Enum):
    """What a limit of use counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class UseLimit(NamedTuple):
    """A limit over all instances: ``per_second`` units on average and ``burst`` more at once.

    If tokens are counted, a request that does not state its tokens counts as
    ``plain_tokens``.
    """

    unit: UseUnit
    per_second: float
    burst: float
    plain_tokens: float = 0.0

    def cost(self, tokens: int | None) -> float:
        """Return the units of a request; ``tokens`` is None if the request does not state them."""
        match self.unit:
            case UseUnit.REQUESTS:
                return 1.0
            case UseUnit.TOKENS:
                return self.plain_tokens if tokens is None else float(tokens)


class Workspace(NamedTuple):
    """A workspace; ``priority`` 0 is the most urgent, and without ``limit`` use is unlimited."""

    name: str
    priority: int
    limit: UseLimit | None
