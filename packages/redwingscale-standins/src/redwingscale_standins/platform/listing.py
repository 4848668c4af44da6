"""The platform's list of instances and upstreams, read with a lag."""

import threading
import time
from collections import deque
from typing import Any, NamedTuple


class _Snapshot(NamedTuple):
    taken_at: float
    members_by_id: dict[str, dict[str, Any]]


class Listing:
    """Members by id, with past snapshots, so that reads can lag behind writes."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._snapshots: deque[_Snapshot] = deque([_Snapshot(0.0, {})], maxlen=4096)

    def put(self, member: dict[str, Any]) -> None:
        """Add a member, or replace the one with the same ``id``."""
        with self._lock:
            members = dict(self._snapshots[-1].members_by_id)
            members[member["id"]] = member
            self._snapshots.append(_Snapshot(time.monotonic(), members))

    def remove(self, member_id: str) -> None:
        """Remove a member; an unknown id changes nothing."""
        with self._lock:
            members = dict(self._snapshots[-1].members_by_id)
            members.pop(member_id, None)
            self._snapshots.append(_Snapshot(time.monotonic(), members))

    def read(self, lag_seconds: float) -> list[dict[str, Any]]:
        """Return the members as listed ``lag_seconds`` ago."""
        horizon = time.monotonic() - lag_seconds
        with self._lock:
            seen = [s for s in self._snapshots if s.taken_at <= horizon]
        newest = seen[-1] if seen else self._snapshots[0]
        return list(newest.members_by_id.values())
