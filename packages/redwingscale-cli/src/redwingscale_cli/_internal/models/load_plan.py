"""What the load tool sends."""

from typing import NamedTuple


class LoadPlan(NamedTuple):
    """Arrivals at ``rate`` a second for ``seconds``, spread over ``urls`` and ``models``."""

    urls: tuple[str, ...]
    token: str
    models: tuple[str, ...]
    rate: float
    seconds: float
    max_tokens: int
    deadline_seconds: float
    seed: int


class Arrival(NamedTuple):
    """One request, ``at_seconds`` after the start."""

    at_seconds: float
    url: str
    model: str
    prompt: str
