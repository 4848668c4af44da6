"""Follows the leader's updates about the list of upstreams."""

import math
import time

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.list_update import ListUpdate
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory
from redwingscale_daemon._internal.store.store_eras import StoreEras
from redwingscale_daemon._internal.store.store_version import StoreVersion

# Fraction of the time after which a leaving upstream gets no new work. The leader reads
# twice a second and sends updates within a quarter of a second: a list that is older than
# this comes from a leader that no longer reads.
CURRENT_FRACTION = 0.6
# However current the updates are, the list is read in full this often, so that no lost
# change stays unknown for longer.
FULL_READ_SECONDS = 20.0


class ListUpdateTracker:
    """Applies the leader's changes, and decides whether they replace own reads.

    If each instance read the list every second, these reads would be most of the store's
    load in a large deployment. The leader announces each change for a few seconds only:
    an instance that was cut off during that time, or keeps upstreams that the list lacks,
    has another copy than the leader, and would send requests to an upstream that has left
    until the next full read, up to 20 s. Therefore the copies are compared by their
    digests, however each came about; an instance whose copy differs reads the list again
    within a second.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        leave_seconds: float = 2.0,
        eras: StoreEras | None = None,
    ) -> None:
        self._eras = eras or StoreEras()
        self._current_seconds = leave_seconds * CURRENT_FRACTION
        self._directory = directory
        self._fence: int | None = None
        self._fence_at = float("inf")
        self._read_at = float("-inf")
        self._digest: int | None = None
        self._version: StoreVersion | None = None
        self._replacing = False

    def take(self, fence: int, update: ListUpdate) -> None:
        """Take an update of the leader with ``fence``."""
        now = time.monotonic()
        if fence != self._fence:
            self._fence, self._fence_at = fence, now
        self._read_at = now - update.age
        self._digest, self._version = update.digest, update.version
        if update.changed or update.gone:
            self._directory.update(update.upstreams(), update.gone, update.version)

    @property
    def age(self) -> float:
        """Seconds since the leader's list was the one here, infinite if it is another one."""
        same = self._digest == self._directory.copy.digest
        if not same or self._version is None or self._version.era < self._eras.newest:
            return math.inf
        return time.monotonic() - self._read_at

    def replaces_read(self, last_read_at: float) -> bool:
        """Return whether the updates replace a read; the last one was at ``last_read_at``."""
        now = time.monotonic()
        copy = self._directory.copy
        replaces = (
            now - self._read_at < self._current_seconds
            and self._digest == copy.digest
            # Otherwise the store answers the leader from an older state than this instance.
            and self._version is not None
            and self._version >= copy.version
            # In a new era of the store, the leader reads the list again.
            and self._version.era >= self._eras.newest
            and last_read_at > self._fence_at
            and now - last_read_at < FULL_READ_SECONDS
            # A leader of the release before does not tell the versions of new upstreams.
            and all(one.software is not None for one in copy.by_id.values())
        )
        self._log_source(replaces, last_read_at)
        return replaces

    def _log_source(self, replaces: bool, last_read_at: float) -> None:
        if replaces == self._replacing:
            return
        self._replacing = replaces
        now = time.monotonic()
        log_event(
            "list_source",
            source="order_giver" if replaces else "own_reads",
            fence=self._fence,
            same_list=self._digest == self._directory.copy.digest,
            news_age=round(now - self._read_at, 3),
            read_age=round(now - last_read_at, 3),
        )
