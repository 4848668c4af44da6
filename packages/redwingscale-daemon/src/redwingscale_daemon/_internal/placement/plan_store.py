"""Stores the plan in the platform, as an object and a row that points to it."""

import msgspec
from redwingscale_common.utils.digests import sha256_hex

from redwingscale_daemon._internal.placement.plan import Plan
from redwingscale_daemon._internal.store.row import ABSENT, Committed
from redwingscale_daemon._internal.store.store import Platform

POINTER_KEY = "plan"


class PlanStore:
    """Reads and replaces the plan."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._version = ABSENT
        self._plan: Plan | None = None

    def read(self) -> Plan | None:
        """Return the newest plan.

        Raises `PlatformUnavailable` if the platform does not answer.
        """
        row = self._platform.table.read([POINTER_KEY])[POINTER_KEY]
        if row is None:
            return None
        if row.version != self._version or self._plan is None:
            data = self._platform.objects.get(f"plan/{row.value['digest']}")
            self._plan = msgspec.msgpack.decode(data, type=Plan)
            self._version = row.version
        return self._plan

    def write(self, plan: Plan) -> bool:
        """Replace the plan read last with ``plan``; return False if another write came first."""
        data = msgspec.msgpack.encode(plan)
        digest = sha256_hex(data)
        self._platform.objects.put(f"plan/{digest}", data)
        value = {"digest": digest, "sequence": plan.sequence}
        outcome = self._platform.table.put_if(POINTER_KEY, value, self._version)
        if not isinstance(outcome, Committed):
            return False
        self._version = outcome.rows[POINTER_KEY].version
        self._plan = plan
        return True
