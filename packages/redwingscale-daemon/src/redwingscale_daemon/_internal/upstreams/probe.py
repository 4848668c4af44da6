"""What a new connection to an engine tells."""

from enum import Enum, auto


class Probe(Enum):
    """``REFUSED``: the host says that nothing listens; its process has ended."""

    ANSWERED = auto()
    REFUSED = auto()
    NO_ANSWER = auto()
