"""Follows the configuration version that the leader reads and announces."""

import threading
import time
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

# Fraction of the time in which a change must be in force. The leader's waiting reads end
# earlier, so an older version comes from a leader that no longer reads. The rest of the
# time is enough for an own read.
CURRENT_FRACTION = 0.6
# The leader sends updates four times a second: after this time without one, the leader or
# the link to it has stalled.
SILENT_SECONDS = 0.8


class _Announced(NamedTuple):
    version: int
    read_at: float
    received_at: float


class RouteVersionTracker:
    """Replaces an instance's own waiting reads, which cost one call each second."""

    def __init__(self, in_force_seconds: float = 2.0) -> None:
        self._current_seconds = in_force_seconds * CURRENT_FRACTION
        self._condition = threading.Condition()
        self._announced = _Announced(0, float("-inf"), float("-inf"))

    def take(self, version: int, age: float) -> None:
        """Take the version that the leader found to be the newest ``age`` seconds ago."""
        with self._condition:
            newer = version > self._announced.version
            now = time.monotonic()
            self._announced = _Announced(version, now - age, now)
            if newer:
                self._condition.notify_all()
        if newer:
            log_event("configuration_told", version=version, age=round(age, 3))

    @property
    def current(self) -> bool:
        """Whether the leader would have announced a newer version."""
        return self.current_for > 0

    @property
    def current_for(self) -> float:
        """Seconds for which the last update stays current without another one, at least 0."""
        last = self._announced
        ends_at = min(last.read_at + self._current_seconds, last.received_at + SILENT_SECONDS)
        return max(0.0, ends_at - time.monotonic())

    @property
    def version(self) -> int:
        """The version that was announced last, 0 for none."""
        return self._announced.version

    @property
    def age(self) -> float:
        """Seconds since the leader last found the announced version to be the newest."""
        return time.monotonic() - self._announced.read_at

    def wait_for_newer(self, version: int, seconds: float) -> bool:
        """Return whether a version above ``version`` is announced within ``seconds``."""
        with self._condition:
            return self._condition.wait_for(lambda: self._announced.version > version, seconds)
