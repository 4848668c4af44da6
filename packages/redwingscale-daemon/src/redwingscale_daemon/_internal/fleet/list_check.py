"""Whether the list still allows sending to an upstream that was chosen from it."""

import time
from collections.abc import Callable

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory

# Fraction of the time after which a leaving upstream gets no new work. The rest is for the way
# to the upstream.
CURRENT_FRACTION = 0.85
# How long to wait for a newer list before looking again, at the caller as well.
LOOK_SECONDS = 0.1


class ListCheck:
    """Checked right before each sending, however long ago the upstream was chosen.

    That a leaving upstream gets no new work otherwise depends on intervals of reads and updates,
    which hold only while every thread has processor time. A request that waits here leaves it to
    the thread that reads the list. While the store is lost, the last list is used.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        list_age: Callable[[], float] = lambda: 0.0,
        store_lost: Callable[[], bool] = lambda: False,
        leave_seconds: float = 2.0,
        wait_for_read: Callable[[float], None] = time.sleep,
    ) -> None:
        self._directory = directory
        self._list_age = list_age
        self._store_lost = store_lost
        self._current_seconds = leave_seconds * CURRENT_FRACTION
        # Returns after a new list, or after the given seconds.
        self._wait_for_read = wait_for_read

    @property
    def outdated(self) -> bool:
        """Whether the list is too old, and the store may still give a newer one."""
        return self._list_age() > self._current_seconds and not self._store_lost()

    def wait_until_current(self, request_id: str, check: Callable[[], None]) -> None:
        """Wait while the list is outdated; ``check`` raises to end the wait."""
        if not self.outdated:
            return
        log_event("waits_for_list", request=request_id, age=round(self._list_age(), 3))
        while self.outdated:
            self._wait_for_read(LOOK_SECONDS)
            check()

    def reason_not_to_send(self, upstream_id: str) -> str | None:
        """Return why an upstream gets no new work, None if it does."""
        if not self._directory.lists(upstream_id):
            return "it is no longer listed"
        if self._directory.leaving_seconds(upstream_id) is not None:
            return "it has begun to leave"
        return None
