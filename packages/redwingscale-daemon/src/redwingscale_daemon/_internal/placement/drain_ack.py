"""Acknowledges to the owner of an engine that retiring units are drained."""

from typing import NamedTuple

TOPIC = "drained"
KEY = "all"


class RetirementMark(NamedTuple):
    """Version of the set of retiring units of an engine; later ones compare higher."""

    fence: int
    retirement: int


class DrainAck(NamedTuple):
    """The sender has seen ``mark``; it routes nothing to ``units`` and has no request there."""

    upstream: str
    mark: RetirementMark
    units: tuple[str, ...]
