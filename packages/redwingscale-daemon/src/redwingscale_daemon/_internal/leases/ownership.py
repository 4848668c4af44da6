"""Ownership of named things: rows that hang on the holder's session."""

import time
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import PlatformError
from redwingscale_daemon._internal.leases.grant import Grant
from redwingscale_daemon._internal.leases.session import Session, session_key
from redwingscale_daemon._internal.platform.row import (
    ABSENT,
    Check,
    Committed,
    Put,
    Row,
    Transaction,
)
from redwingscale_daemon._internal.platform.table import Table, new_write_id

OWNER_PREFIX = "owners/"
TAKEOVER_MARGIN_SECONDS = 1.0


class _Sighting(NamedTuple):
    version: int
    seen_at: float


class Ownership:
    """Takes, holds and releases ownership; at most one holder may act at a time."""

    def __init__(self, table: Table, session: Session, instance: str, lease_seconds: float) -> None:
        self._table = table
        self._session = session
        self._instance = instance
        self._wait_seconds = lease_seconds + TAKEOVER_MARGIN_SECONDS
        self._grants_by_name: dict[str, Grant] = {}
        self._sightings: dict[str, _Sighting] = {}

    def held(self, name: str) -> Grant | None:
        """Return the grant of ``name`` if this instance may act on it now."""
        grant = self._grants_by_name.get(name)
        valid = grant is not None and self._session.is_valid()
        return grant if valid else None

    def try_acquire(self, name: str) -> Grant | None:
        """Take ``name`` if it is free or its holder's session has stopped; else None."""
        if not self._session.is_valid():
            return None
        if (grant := self.held(name)) is not None:
            return grant
        try:
            return self._acquire(name)
        except PlatformError as error:
            log_event("ownership_not_taken", level="WARNING", name=name, error=error)
            return None

    def release(self, name: str) -> None:
        """Give ``name`` back, so that a successor need not wait for the lease."""
        grant = self._grants_by_name.pop(name, None)
        if grant is None:
            return
        key = OWNER_PREFIX + name
        try:
            row = self._table.read([key])[key]
            if row is not None and row.value["holder"] == self._instance:
                value = {"holder": "", "boot": 0, "fence": grant.fence}
                self._table.put_if(key, value, row.version)
        except PlatformError as error:
            log_event("ownership_not_released", level="WARNING", name=name, error=error)

    def _acquire(self, name: str) -> Grant | None:
        key = OWNER_PREFIX + name
        row = self._table.read([key])[key]
        if row is None or not row.value["holder"]:
            return self._write(name, row, [])
        holder, boot = row.value["holder"], row.value["boot"]
        if holder == self._instance and boot == self._session.boot:
            return self._write(name, row, [])
        session = self._table.read([session_key(holder)])[session_key(holder)]
        if session is None or session.value["boot"] != boot:
            return self._write(name, row, [])
        if not self._has_stopped(holder, session):
            return None
        # The check on the session row makes a holder that renews right now win.
        return self._write(name, row, [Check(session_key(holder), session.version)])

    def _has_stopped(self, holder: str, session: Row) -> bool:
        now = time.monotonic()
        seen = self._sightings.get(holder)
        if seen is None or seen.version != session.version:
            self._sightings[holder] = _Sighting(session.version, now)
            return False
        return now - seen.seen_at > self._wait_seconds

    def _write(self, name: str, row: Row | None, checks: list[Check]) -> Grant | None:
        key = OWNER_PREFIX + name
        fence = row.value["fence"] + 1 if row else 1
        value = {"holder": self._instance, "boot": self._session.boot, "fence": fence}
        version = row.version if row else ABSENT
        outcome = self._table.commit_surely(
            Transaction(
                new_write_id(), checks=[*checks, Check(key, version)], puts=[Put(key, value)]
            )
        )
        if not isinstance(outcome, Committed):
            return None
        grant = Grant(name, self._instance, self._session.boot, fence)
        self._grants_by_name[name] = grant
        log_event("ownership_taken", name=name, fence=fence)
        return grant
