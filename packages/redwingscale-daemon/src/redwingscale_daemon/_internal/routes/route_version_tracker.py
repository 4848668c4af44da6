"""The version of the configuration as the order giver reads and tells it."""

import threading
import time
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

# Of the time in which a change must be in force. The giver's waiting reads end earlier:
# what is older comes from one that no longer reads. What is left is enough for an own read.
CURRENT_FRACTION = 0.6
# The giver tells four times a second: after this it has stalled, or the link to it has.
SILENT_SECONDS = 0.8


class _Told(NamedTuple):
    version: int
    read_at: float
    heard_at: float


class RouteVersionTracker:
    """Stands in for an instance's own waiting reads, which cost a call each second."""

    def __init__(self, in_force_seconds: float = 2.0) -> None:
        self._current_seconds = in_force_seconds * CURRENT_FRACTION
        self._condition = threading.Condition()
        self._told = _Told(0, float("-inf"), float("-inf"))

    def take(self, version: int, age: float) -> None:
        """Take the version that the giver has seen confirmed ``age`` seconds ago."""
        with self._condition:
            newer = version > self._told.version
            now = time.monotonic()
            self._told = _Told(version, now - age, now)
            if newer:
                self._condition.notify_all()
        if newer:
            log_event("configuration_told", version=version, age=round(age, 3))

    @property
    def current(self) -> bool:
        """Whether a newer version would have been told."""
        return self.current_for > 0

    @property
    def current_for(self) -> float:
        """Seconds until the giver's word has to be followed by another one, 0 at least."""
        told = self._told
        ends_at = min(told.read_at + self._current_seconds, told.heard_at + SILENT_SECONDS)
        return max(0.0, ends_at - time.monotonic())

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
