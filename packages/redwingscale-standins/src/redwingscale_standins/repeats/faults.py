"""What goes wrong in a play: kinds of failing workers and of disturbed instances."""

from typing import NamedTuple


class Replacements(NamedTuple):
    """Workers end and come back at once at their address, with another id that is listed later.

    Each ``every_seconds``, ``at_once`` workers are replaced, one after another in turn.
    """

    every_seconds: float
    listed_late_seconds: float
    at_once: int = 1


class FailedRequests(NamedTuple):
    """Workers fail each ``every``-th request.

    They reject it, with ``retry_after_seconds`` if set, or reset its connection after reading it.
    """

    every: int = 2
    reset: bool = False
    retry_after_seconds: float | None = None


class Kills(NamedTuple):
    """Instances are killed and started again, ``at_once`` of them each ``every_seconds``."""

    every_seconds: float
    at_once: int = 1


class Freezes(NamedTuple):
    """Instances in turn are stopped and continued ``for_seconds`` later."""

    for_seconds: float


class HeldPaths(NamedTuple):
    """Instances in turn have their bytes to and from all workers held ``for_seconds``."""

    for_seconds: float


class Joins(NamedTuple):
    """``instances`` more of them start while requests are sent."""

    instances: int


WorkerFault = Replacements | FailedRequests
InstanceFault = Kills | Freezes | HeldPaths | Joins
