"""The plan as the owners of this instance follow it."""

import threading
from collections.abc import Callable

from redwingscale_daemon._internal.exceptions import PlatformError
from redwingscale_daemon._internal.placement.plan import Plan
from redwingscale_daemon._internal.placement.plan_store import PlanStore

READ_SECONDS = 1.0


class PlanFollower:
    """One read a second for all owners of the instance, whatever they own.

    Each owner asks at every step: at the design size that would be a read a
    second for every engine, half of what the table serves. The store is this
    object's own: what owners read must never move the version on which the
    planner bases its next write, or it would undo a plan that it never saw.
    """

    def __init__(self, store: PlanStore, clock: Callable[[], float]) -> None:
        self._lock = threading.Lock()
        self._store = store
        self._clock = clock
        self._read_at = float("-inf")
        self._plan: Plan | None = None

    def latest(self) -> Plan | None:
        """Return the plan read last; while the store is down, the last one known."""
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
