"""Upstreams that take no new work."""

import time
from collections.abc import Callable, Collection
from typing import NamedTuple

# An entry that lapses while the store is away may come back as it was written before the
# upstream began to leave.
RETENTION_SECONDS = 60.0


class _Noted(NamedTuple):
    at: float
    listed_at: float


class LeavingUpstreams:
    """Kept by upstream id, whichever source says it first; changed by one thread at a time.

    A process that has begun to leave does so until its end: no later word of another
    source, which may be older, takes that back.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._noted_by_id: dict[str, _Noted] = {}

    def note(self, upstream_ids: Collection[str]) -> set[str]:
        """Note that upstreams leave; return those of which that is new."""
        now = self._clock()
        new = set(upstream_ids) - self._noted_by_id.keys()
        self._noted_by_id |= dict.fromkeys(new, _Noted(now, now))
        return new

    def follow(self, listed: Collection[str]) -> None:
        """Forget upstreams that have not been listed for long."""
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
        """Return how long ago ``upstream_id`` was noted, None if it was not."""
        noted = self._noted_by_id.get(upstream_id)
        return None if noted is None else self._clock() - noted.at
