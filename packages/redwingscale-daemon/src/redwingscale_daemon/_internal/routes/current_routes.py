"""The route table in force."""

import threading
import time
from collections import deque
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.routes.route_table import RouteTable
from redwingscale_daemon._internal.routes.service_rule import EngineRule

# Versions may follow each other before all instances have the first of them. A table of
# 2,850 routes takes some 2 MB.
FORMER_TABLES = 3


class _Newest(NamedTuple):
    """The newest version that is known to exist, and until when it was known to be the newest."""

    version: int
    as_of: float


class CurrentRoutes:
    """Holds the newest table seen; its version never decreases while the process runs.

    A read that was answered late, or over a connection that was opened before a newer one,
    may return an older version: using it would revert a change that callers have seen.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._table: RouteTable | None = None
        self._former: deque[RouteTable] = deque(maxlen=FORMER_TABLES)
        self._newest = _Newest(0, float("-inf"))

    def get(self) -> RouteTable | None:
        """Return the table in force, None before the first one."""
        return self._table

    def former(self) -> list[RouteTable]:
        """Return the tables that were in force before, the newest first."""
        with self._lock:
            return list(self._former)

    @property
    def newest(self) -> int:
        """The newest version that is known to exist, 0 for none."""
        return self._newest.version

    @property
    def age(self) -> float:
        """Seconds since the table in force was known to be the newest.

        Infinite before the first table, and while a newer version is known.
        """
        table, newest = self._table, self._newest
        if table is None or table.version < newest.version:
            return float("inf")
        return time.monotonic() - newest.as_of

    def note_newest(self, version: int, age: float = 0.0) -> None:
        """Note that ``version`` was the newest ``age`` seconds ago.

        A source that names an older version than another one is behind, and ignored.
        """
        newest = _Newest(version, time.monotonic() - age)
        with self._lock:
            self._newest = max(self._newest, newest)

    def engine(self, service: str) -> EngineRule | None:
        """Return the engine of a service, None if it runs no models or is not known."""
        table = self._table
        rule = table.services_by_name.get(service) if table else None
        return rule.engine if rule else None

    def offer(self, table: RouteTable) -> bool:
        """Put ``table`` in force if it is newer; return whether it was."""
        with self._lock:
            if self._table is not None and table.version <= self._table.version:
                return False
            before = self._table.version if self._table else None
            if self._table is not None:
                self._former.appendleft(self._table)
            self._table = table
        log_event(
            "configuration_in_force",
            version=table.version,
            before=before,
            routes=len(table),
            keys=len(table.keys.workspaces_by_digest) if table.keys else "-",
        )
        return True
