"""The route table in force."""

import threading
import time
from collections import deque

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.routes.route_table import RouteTable
from redwingscale_daemon._internal.routes.service_rule import EngineRule

# Versions may follow each other before all instances have the first of them. A table of
# 2,850 routes takes some 2 MB.
FORMER_TABLES = 3


class CurrentRoutes:
    """Holds the newest table seen; its version never decreases while the process runs.

    A read that was answered late, or over a connection that was opened before a newer one,
    may return an older version: using it would revert a change that callers have seen.
    """

    def __init__(self) -> None:
        self._lock = threading.Condition()
        self._table: RouteTable | None = None
        self._former: deque[RouteTable] = deque(maxlen=FORMER_TABLES)
        # The newest version that is known to exist, and as of when it is known to be the newest.
        self._newest = 0
        self._newest_as_of = float("-inf")
        # The same for the table in force.
        self._as_of = float("-inf")

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
        return self._newest

    @property
    def age(self) -> float:
        """Seconds since the table in force was known to be the newest, infinite without one."""
        return time.monotonic() - self._as_of

    def note_newest(self, version: int, age: float = 0.0) -> None:
        """Note that ``version`` was the newest ``age`` seconds ago.

        A source that names an older version than another one is behind, and ignored.
        """
        as_of = time.monotonic() - age
        with self._lock:
            if version < self._newest:
                return
            known = self._newest_as_of if version == self._newest else as_of
            self._newest, self._newest_as_of = version, max(as_of, known)
            self._confirm()

    def wait_for_news(self, seconds: float) -> None:
        """Return once the table is newer or known to be the newest, or after ``seconds``."""
        with self._lock:
            self._lock.wait(seconds)

    def _confirm(self) -> None:
        if self._table is not None and self._table.version >= self._newest:
            self._as_of = max(self._as_of, self._newest_as_of)
            self._lock.notify_all()

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
            self._confirm()
        log_event(
            "configuration_in_force",
            version=table.version,
            before=before,
            routes=len(table),
            keys=len(table.keys.workspaces_by_digest) if table.keys else "-",
        )
        return True
