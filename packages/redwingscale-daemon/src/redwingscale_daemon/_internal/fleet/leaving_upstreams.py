"""Upstreams that take no new work."""

import time
from collections.abc import Callable, Collection
from typing import NamedTuple

# An entry that lapsed during a store outage may reappear as it was written before the
# upstream began to leave.
RETENTION_SECONDS = 60.0


class _Noted(NamedTuple):
    noted_at: float
    listed_at: float


class LeavingUpstreams:
    """Ids of upstreams that are leaving, from any source; changed by one thread at a time.

    A process that has begun to leave keeps leaving until it ends. Another source that
    says otherwise later does not end this, since its state may be older.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._noted_by_id: dict[str, _Noted] = {}

    def note(self, upstream_ids: Collection[str]) -> set[str]:
        """Note that upstreams are leaving; return those that were not noted before."""
        now = self._clock()
        new = set(upstream_ids) - self._noted_by_id.keys()
        self._noted_by_id |= dict.fromkeys(new, _Noted(now, now))
        return new

    def follow(self, listed: Collection[str]) -> None:
        """Drop upstreams that have not been listed for `RETENTION_SECONDS`."""
        now = self._clock()
        noted = {
            key: one._replace(listed_at=now) if key in listed else one
            for key, one in self._noted_by_id.items()
        }
        self._noted_by_id = {
            key: one for key, one in noted.items() if now - one.listed_at < RETENTION_SECONDS
        }

    def __contains__(self, upstream_id: str) -> bool:
        return upstream_id in self._noted_by_id

    def seconds(self, upstream_id: str) -> float | None:
        """Return how many seconds ago ``upstream_id`` was noted, None if it was not."""
        noted = self._noted_by_id.get(upstream_id)
        return None if noted is None else self._clock() - noted.noted_at
