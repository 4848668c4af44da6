"""Provides the current plan to the owners of this instance."""

import threading
from collections.abc import Callable

from redwingscale_daemon._internal.exceptions import PlatformError
from redwingscale_daemon._internal.placement.plan import Plan
from redwingscale_daemon._internal.placement.plan_store import PlanStore

READ_SECONDS = 1.0


class PlanFollower:
    """Reads the plan once a second for all owners of the instance.

    Each owner needs the plan at every step. Separate reads would take one a second for
    every engine, which at the design size is half of what the table can serve. The
    `PlanStore` is not shared with the planner: a read by an owner must not advance the
    version on which the planner bases its next write, or that write would overwrite a
    plan that the planner has not read.
    """

    def __init__(self, store: PlanStore, clock: Callable[[], float]) -> None:
        self._lock = threading.Lock()
        self._store = store
        self._clock = clock
        self._read_at = float("-inf")
        self._plan: Plan | None = None

    def latest(self) -> Plan | None:
        """Return the current plan; while the store is down, the one read last."""
        with self._lock:
            now = self._clock()
            if now - self._read_at >= READ_SECONDS:
                self._read_at = now
                self._refresh()
            return self._plan

    def _refresh(self) -> None:
        try:
            self._plan = self._store.read()
        except PlatformError:
            return
