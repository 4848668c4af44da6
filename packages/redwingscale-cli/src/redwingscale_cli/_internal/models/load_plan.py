"""Parameters and requests of the load tool."""

from typing import NamedTuple


class LoadPlan(NamedTuple):
    """Parameters of a load run: ``rate`` requests a second, sent for ``seconds``.

    The requests are spread over ``urls`` and ``models``.
    """

    urls: tuple[str, ...]
    token: str
    models: tuple[str, ...]
    rate: float
    seconds: float
    max_tokens: int
    deadline_seconds: float
    seed: int


class Arrival(NamedTuple):
    """A request to be sent ``at_seconds`` after the start of the run."""

    at_seconds: float
    url: str
    model: str
    prompt: str
