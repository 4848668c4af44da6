"""What goes wrong in a play: how workers of the two versions come and go, and what is disturbed."""

from enum import Enum
from typing import NamedTuple


class RollingUpdate(NamedTuple):
    """Workers end one by one and come back with the other version, ``listed_late_seconds`` later.

    With ``back``, they return to the first version after that.
    """

    every_seconds: float = 2.0
    listed_late_seconds: float = 0.0
    back: bool = False


class VersionGone(NamedTuple):
    """All workers of the first version end ``after_seconds``."""

    after_seconds: float = 6.0


class RowLoss(Enum):
    """Why the leader's row does not name a version that has served."""

    LEADER_KILLED = "no leader has written it since"
    ROW_GONE = "the store came back from a copy without the row"
    ROW_OLDER = "the store came back from a copy with an older row"


class VersionForgotten(NamedTuple):
    """The first version serves for ``serves_seconds`` and is gone; then all instances are killed.

    It is listed ``after_seconds``. The instances start again.
    """

    loss: RowLoss
    after_seconds: float = 2.0
    serves_seconds: float = 1.6


class WorkerEnds(NamedTuple):
    """The worker ``number`` ends for good ``after_seconds``."""

    number: int = 0
    after_seconds: float = 3.0


class Resets(NamedTuple):
    """The connections of one worker after another are reset."""

    every_seconds: float = 0.7


class Silences(NamedTuple):
    """One run in ``every`` stops for good after some events."""

    every: int = 3


class Kills(NamedTuple):
    """Instances are killed and started again, ``at_once`` of them each ``every_seconds``."""

    every_seconds: float = 1.5
    at_once: int = 1


class StoreAway(NamedTuple):
    """The store answers nothing from ``after_seconds`` on."""

    after_seconds: float = 3.0


class CutPaths(NamedTuple):
    """Instances in turn have their bytes to and from all workers held ``for_seconds``."""

    for_seconds: float = 2.5


Fault = (
    RollingUpdate
    | VersionGone
    | VersionForgotten
    | WorkerEnds
    | Resets
    | Silences
    | Kills
    | StoreAway
    | CutPaths
)
