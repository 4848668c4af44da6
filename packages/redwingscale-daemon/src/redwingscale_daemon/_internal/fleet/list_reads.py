"""When an instance reads the list of upstreams itself."""

import time
from collections.abc import Callable

# How often it is looked whether a read is due.
READ_CHECK_SECONDS = 0.1
# A read for all, one lost read and the way to the other instances are less than the time
# after which an upstream that leaves gets no new work.
READ_FOR_ALL_SECONDS = 0.4
# An instance that reads for itself alone has no further way than to itself. Of the time
# after which an upstream that leaves gets no new work; two reads, the first of which is
# lost, are less.
OWN_READ_FRACTION = 0.42


class ListReads:
    """The order giver reads for all; the others only where its news do not stand in.

    A giver that falls silent is asked about at once, by a read: that it fails too is how
    an instance learns that it is cut off.
    """

    def __init__(
        self,
        is_leader: Callable[[], bool],
        replaces_read: Callable[[float], bool],
        leader_silent: Callable[[], bool],
        leave_seconds: float = 2.0,
    ) -> None:
        # Whether this instance reads for all.
        self._is_leader = is_leader
        # Whether the giver's news stand in for a read, by the time of the last one.
        self._replaces_read = replaces_read
        self._leader_silent = leader_silent
        self._min_seconds = leave_seconds * OWN_READ_FRACTION

    def not_due(self, last_read_at: float) -> bool:
        """Return whether no read is due, by the monotonic time of the last one."""
        since = time.monotonic() - last_read_at
        if self._is_leader():
            return since < READ_FOR_ALL_SECONDS
        soon = since < self._min_seconds
        return soon or (self._replaces_read(last_read_at) and not self._leader_silent())
