"""The version of the configuration as the order giver reads and tells it."""

import threading
import time
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

# Of the time in which a change must be in force. The giver's waiting reads end earlier:
# what is older comes from one that no longer reads.
CURRENT_PART = 0.8


class _Told(NamedTuple):
    version: int
    read_at: float


class RouteNews:
    """Stands in for an instance's own waiting reads, which cost a call each second."""

    def __init__(self, in_force_seconds: float = 2.0) -> None:
        self._current_seconds = in_force_seconds * CURRENT_PART
        self._condition = threading.Condition()
        self._told = _Told(0, float("-inf"))

    def take(self, version: int, age: float) -> None:
        """Take the version that the giver has seen confirmed ``age`` seconds ago."""
        with self._condition:
            newer = version > self._told.version
            self._told = _Told(version, time.monotonic() - age)
            if newer:
                self._condition.notify_all()
        if newer:
            log_event("configuration_told", version=version, age=round(age, 3))

    @property
    def current(self) -> bool:
        """Whether a newer version would have been told."""
        return time.monotonic() - self._told.read_at < self._current_seconds

    @property
    def version(self) -> int:
        """The newest version that was told, 0 for none."""
        return self._told.version

    @property
    def age(self) -> float:
        """Seconds since the version told last was confirmed to be the newest."""
        return time.monotonic() - self._told.read_at

    def wait_for_newer(self, version: int, seconds: float) -> bool:
        """Return whether a version above ``version`` is told within ``seconds``."""
        with self._condition:
            return self._condition.wait_for(lambda: self._told.version > version, seconds)
