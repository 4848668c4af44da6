"""The list of upstreams as the order giver reads and tells it."""

import time

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.list_update import ListUpdate
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory

# Of the time after which an upstream that leaves gets no new work. The giver reads twice
# a second and tells within a quarter of one: what is older than this comes from a giver
# that no longer reads.
CURRENT_FRACTION = 0.6
# However current the news are, the list is read in full this often: a change that
# got lost on the way would else stay unknown.
FULL_READ_SECONDS = 20.0


class ListUpdateTracker:
    """Applies the giver's changes, and tells whether they can stand in for own reads.

    Each instance's own read of the list in each second is most of what a large
    deployment asks of the store. The giver tells changes, for a few seconds each: an
    instance that was cut off, or keeps what the list lacks, has another copy than the
    giver and hears nothing of it. An upstream that had left was sent requests for 20 s,
    until the next whole read. So the copies themselves are compared, by their digests,
    not how each has come about; one that differs is read anew within a second.
    """

    def __init__(self, directory: UpstreamDirectory, leave_seconds: float = 2.0) -> None:
        self._current_seconds = leave_seconds * CURRENT_FRACTION
        self._directory = directory
        self._fence: int | None = None
        self._fence_at = float("inf")
        self._read_at = float("-inf")
        self._digest: int | None = None
        self._version = -1
        self._stood_in = False

    def take(self, fence: int, update: ListUpdate) -> None:
        """Take what the giver with ``fence`` tells."""
        now = time.monotonic()
        if fence != self._fence:
            self._fence, self._fence_at = fence, now
        self._read_at = now - update.age
        self._digest, self._version = update.digest, update.version
        if update.changed or update.gone:
            self._directory.update(update.changed, update.gone, update.version)

    def replaces_read(self, last_read_at: float) -> bool:
        """Return whether an instance that has read the list at ``last_read_at`` need not now."""
        now = time.monotonic()
        copy = self._directory.copy
        stands_in = (
            now - self._read_at < self._current_seconds
            and self._digest == copy.digest
            # Else the store answers the giver from an older state than it does here.
            and self._version >= copy.version
            and last_read_at > self._fence_at
            and now - last_read_at < FULL_READ_SECONDS
        )
        self._log_source(stands_in, last_read_at)
        return stands_in

    def _log_source(self, stands_in: bool, last_read_at: float) -> None:
        if stands_in == self._stood_in:
            return
        self._stood_in = stands_in
        now = time.monotonic()
        log_event(
            "list_source",
            source="order_giver" if stands_in else "own_reads",
            fence=self._fence,
            same_list=self._digest == self._directory.copy.digest,
            news_age=round(now - self._read_at, 3),
            read_age=round(now - last_read_at, 3),
        )
