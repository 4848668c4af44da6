"""Decides when an instance reads the list of upstreams itself."""

import time
from collections.abc import Callable

# How often to check whether a read is due.
READ_CHECK_SECONDS = 0.1
# Interval of the leader's reads. One read, one lost read and the update to the other
# instances together take less than the time after which a leaving upstream gets no new
# work.
READ_FOR_ALL_SECONDS = 0.4
# Interval of an instance's own reads, as a fraction of the time after which a leaving
# upstream gets no new work. Larger than the leader's, since no update has to follow: two
# reads, the first of which is lost, take less than that time.
OWN_READ_FRACTION = 0.42


class ListReads:
    """The leader reads for all instances; the others only if its updates are not enough.

    When the leader falls silent, an instance reads the list at once: if that read fails
    too, the instance is cut off. In a new era of the store it reads the list at once, unless
    the leader has told it first.
    """

    def __init__(
        self,
        is_leader: Callable[[], bool],
        replaces_read: Callable[[float], bool],
        leader_silent: Callable[[], bool],
        leave_seconds: float = 2.0,
        outdated: Callable[[], bool] = lambda: False,
    ) -> None:
        # Whether the list here is of an earlier era of the store, or must be confirmed.
        self._outdated = outdated
        self._is_leader = is_leader
        # Whether the leader's updates replace a read, by the monotonic time of the last one.
        self._replaces_read = replaces_read
        self._leader_silent = leader_silent
        self._own_read_seconds = leave_seconds * OWN_READ_FRACTION

    def not_due(self, last_read_at: float) -> bool:
        """Return whether no read is due; ``last_read_at`` is monotonic."""
        if self._outdated():
            return False
        since = time.monotonic() - last_read_at
        if self._is_leader():
            return since < READ_FOR_ALL_SECONDS
        recent = since < self._own_read_seconds
        return recent or (self._replaces_read(last_read_at) and not self._leader_silent())
