"""A caller's request, and what became of it."""

from typing import NamedTuple


class Caller(NamedTuple):
    """A request that is first sent ``at`` seconds after the start; times are in seconds.

    The lower its ``rank``, the more urgent it is. ``tokens`` are those of its prompt.
    ``workspace`` is empty for a caller without a key.
    """

    name: str
    at: float
    target: float
    limit: float
    rank: int = 0
    tokens: int = 2368
    workspace: str = ""


class Outcome(NamedTuple):
    """The times at which a request was sent, and its first event, None if it was refused."""

    caller: Caller
    sent_at: tuple[float, ...]
    first_event_at: float | None

    @property
    def returned(self) -> bool:
        """Whether the request was refused at its first try."""
        return len(self.sent_at) > 1


def burst(count: int, seconds: float, target: float = 1.211, limit: float = 6.054) -> list[Caller]:
    """Return ``count`` callers that arrive evenly within ``seconds``."""
    return [Caller(f"c{n}", n * seconds / count, target, limit) for n in range(count)]
