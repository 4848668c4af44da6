"""What an instance tells the owner of an engine about units that retire."""

from typing import NamedTuple

TOPIC = "drained"
KEY = "all"


class RetirementMark(NamedTuple):
    """A state of an engine's retiring units; later states compare higher."""

    fence: int
    retirement: int


class DrainAck(NamedTuple):
    """The sender has seen ``mark``, routes nothing to ``units`` and runs nothing there."""

    upstream: str
    mark: RetirementMark
    units: tuple[str, ...]
