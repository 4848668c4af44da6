"""Measures for how long rows have been unchanged, on the reader's own clock."""

from typing import NamedTuple

from redwingscale_daemon._internal.leases.clock import Clock
from redwingscale_daemon._internal.store.row import Row

TAKEOVER_MARGIN_SECONDS = 1.0


class _Observation(NamedTuple):
    version: int
    write_id: str
    seen_at: float


class RowObservations:
    """Remembers when each row was first read in its current version.

    A lease holder counts its lease from before it sent a renewal, a reader from when it
    read the renewed row, so the holder's lease always expires first. The margin covers
    clocks that run at slightly different rates.
    """

    def __init__(self, lease_seconds: float, clock: Clock) -> None:
        self._wait_seconds = lease_seconds + TAKEOVER_MARGIN_SECONDS
        self._clock = clock
        self._observations_by_key: dict[str, _Observation] = {}

    def has_expired(self, key: str, row: Row) -> bool:
        """Return whether ``row`` has been unchanged for longer than a lease and the margin."""
        now = self._clock()
        seen = self._observations_by_key.get(key)
        if seen is None or (seen.version, seen.write_id) != (row.version, row.write_id):
            self._observations_by_key[key] = _Observation(row.version, row.write_id, now)
            return False
        return now - seen.seen_at > self._wait_seconds
