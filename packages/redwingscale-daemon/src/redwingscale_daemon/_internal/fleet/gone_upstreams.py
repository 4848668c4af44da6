"""Upstreams whose entries were removed, which an older copy of the store may list again."""

import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.store.store_version import StoreVersion

# A copy of the store is some seconds old.
RETENTION_SECONDS = 60.0


class _Gone(NamedTuple):
    version: StoreVersion
    at: float


class GoneUpstreams:
    """Ids of upstreams that were removed from the list; changed by one thread at a time.

    In the era in which it was removed, an entry that is listed again has been written again.
    In a later era it may be that of the copy, and its upstream has been told that it may go.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._gone_by_id: dict[str, _Gone] = {}

    def note(self, upstream_ids: Iterable[str], version: StoreVersion) -> None:
        """Note that a list of ``version`` no longer has these upstreams."""
        now = self._clock()
        since = now - RETENTION_SECONDS
        kept = {key: one for key, one in self._gone_by_id.items() if one.at > since}
        self._gone_by_id = kept | dict.fromkeys(upstream_ids, _Gone(version, now))

    def listed_by_copy(self, upstreams: Iterable[Upstream]) -> list[str]:
        """Return those of ``upstreams`` that were removed in an earlier era; forget the others."""
        found = [one for one in upstreams if one.id in self._gone_by_id]
        of_copy = [one.id for one in found if one.era > self._gone_by_id[one.id].version.era]
        for one in found:
            if one.id not in of_copy:
                del self._gone_by_id[one.id]
        return of_copy
