"""Whether requests of a route may be repeated."""

from enum import Enum


class Idempotency(Enum):
    """Whether a request may run at a second upstream after it may have run at the first."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"
