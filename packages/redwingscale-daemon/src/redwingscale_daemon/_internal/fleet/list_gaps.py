"""Notices upstreams that came and went while this instance had no current list."""

from collections.abc import Callable

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import PlatformError
from redwingscale_daemon._internal.fleet.removed_upstreams import RemovedUpstreams
from redwingscale_daemon._internal.fleet.upstream_directory import ListCopy, UpstreamDirectory
from redwingscale_daemon._internal.store.store_version import NOTHING_READ

# Own reads come each 0.84 s by default and are checked each 0.1 s; the leader's lists are younger.
# A longer bound would miss versions that serve for a second.
GAP_SECONDS = 1.2


class ListGaps:
    """Follows the age of the list, and looks after each gap for what it has missed.

    Streams may have begun at an upstream that was listed and removed during the gap, and the
    list that follows does not name its version.
    """

    def __init__(
        self,
        list_age: Callable[[], float],
        directory: UpstreamDirectory,
        removed: RemovedUpstreams,
        on_missed: Callable[[], None],
    ) -> None:
        self._list_age = list_age
        self._directory = directory
        self._removed = removed
        # Called if a version may have served that was never listed here.
        self._on_missed = on_missed
        # The last list before the gap that lasts or has not been looked into, None without one.
        self._before: ListCopy | None = None

    def follow(self) -> None:
        """Note whether the list is no longer current; call it before each read."""
        copy = self._directory.copy
        if self._before is None and copy.version != NOTHING_READ and self._list_age() > GAP_SECONDS:
            self._before = copy

    def end(self) -> None:
        """Look for what was missed, after a read whose list is in use now."""
        before, self._before = self._before, None
        if before is None:
            return
        if missed := self._missed(before):
            log_event("list_gap", level="WARNING", reason=missed)
            self._on_missed()

    def _missed(self, before: ListCopy) -> str:
        try:
            removed = self._removed.since(before.version)
        except PlatformError as error:
            return f"changes of the list are not known: {error!r}"
        unknown = removed - {one.platform_name for one in before.by_id.values()}
        return f"upstreams came and went: {','.join(sorted(unknown))}" if unknown else ""
