"""Tells how old the list of upstreams is that this instance uses."""

import time
from collections.abc import Callable

from redwingscale_daemon._internal.store.link_state import LinkState


class ListAge:
    """The age of the list, by own reads of the store and by the leader's updates.

    ``updates_age`` returns the seconds since the store gave the leader the list in use here,
    infinite if it is another one.
    """

    def __init__(
        self,
        own_reads: LinkState,
        updates_age: Callable[[], float],
        leader_silent: Callable[[], bool],
    ) -> None:
        self._own_reads = own_reads
        self._updates_age = updates_age
        self._leader_silent = leader_silent

    def seconds(self) -> float:
        """Return the seconds since the store gave the list, infinite if it never did."""
        return min(self._own_reads.age, self._updates_age())

    def outdated_since(self) -> float | None:
        """Return when the store gave the list, monotonic, if neither it nor the leader does now."""
        if self._own_reads.lost and self._leader_silent():
            return time.monotonic() - self.seconds()
        return None
