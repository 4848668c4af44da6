"""The result of a probe of an engine over a new connection."""

from enum import Enum, auto


class Probe(Enum):
    """``REFUSED``: the host refused the connection, so the engine's process has ended."""

    ANSWERED = auto()
    REFUSED = auto()
    NO_ANSWER = auto()
