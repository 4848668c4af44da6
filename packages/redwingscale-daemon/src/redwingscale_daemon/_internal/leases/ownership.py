"""Ownership of named resources: rows that depend on the session of the lease holder."""

from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import PlatformError
from redwingscale_daemon._internal.leases.clock import Clock, lease_clock
from redwingscale_daemon._internal.leases.grant import Grant
from redwingscale_daemon._internal.leases.row_observations import RowObservations
from redwingscale_daemon._internal.leases.session import Session, session_key
from redwingscale_daemon._internal.store.row import (
    ABSENT,
    Check,
    Committed,
    Put,
    Row,
    Transaction,
)
from redwingscale_daemon._internal.store.table import Table, new_write_id

OWNER_PREFIX = "owners/"


class _Owned(NamedTuple):
    """A grant with its row version and the session epoch in which it was acquired."""

    grant: Grant
    version: int
    epoch: int


class Ownership:
    """Acquires and releases ownership; at most one lease holder of a name may act at a time."""

    def __init__(
        self,
        table: Table,
        session: Session,
        instance: str,
        lease_seconds: float,
        clock: Clock = lease_clock,
    ) -> None:
        self._table = table
        self._session = session
        self._instance = instance
        self._observations = RowObservations(lease_seconds, clock)
        self._owned_by_name: dict[str, _Owned] = {}

    def rows(self) -> dict[str, dict[str, object]]:
        """Return holder, boot and fence of all names that any instance owns.

        Raises `PlatformUnavailable` if the table does not answer.
        """
        rows = self._table.scan(OWNER_PREFIX)
        return {key.removeprefix(OWNER_PREFIX): row.value for key, row in rows.items()}

    def grant_of(self, name: str) -> Grant | None:
        """Return the grant of ``name`` if this instance may act on it now."""
        owned = self._owned_by_name.get(name)
        if owned is None or self.remaining_seconds(owned.grant) <= 0:
            return None
        return owned.grant

    def last_grant(self, name: str) -> Grant | None:
        """Return the last grant of ``name``, even if lapsed, unless another owner is known.

        It is sufficient for reading and publishing, and for orders to a receiver that
        checks the fence.
        """
        owned = self._owned_by_name.get(name)
        return owned.grant if owned else None

    def remaining_seconds(self, grant: Grant) -> float:
        """Return for how long no other instance can own the name; 0 if ``grant`` has lapsed."""
        owned = self._owned_by_name.get(grant.name)
        if owned is None or owned.grant != grant:
            return 0.0
        return self._session.remaining_seconds(owned.epoch)

    def check(self, grant: Grant) -> Check:
        """Return the check that ``grant`` is still the newest one of its name."""
        owned = self._owned_by_name.get(grant.name)
        version = owned.version if owned is not None and owned.grant == grant else ABSENT
        return Check(OWNER_PREFIX + grant.name, version)

    def try_acquire(self, name: str) -> Grant | None:
        """Acquire ``name`` if it is free or its holder's session has expired; else return None."""
        if (grant := self.grant_of(name)) is not None:
            return grant
        return self._acquire_logged(name)

    def raise_fence(self, name: str) -> Grant | None:
        """Replace a valid grant of ``name`` with one of a higher fence; None if there is none."""
        if self.grant_of(name) is None:
            return None
        return self._acquire_logged(name)

    def release(self, name: str) -> None:
        """Release ``name``, so that a successor need not wait for the lease to expire."""
        owned = self._owned_by_name.pop(name, None)
        if owned is None:
            return
        value = {"holder": "", "boot": 0, "fence": owned.grant.fence}
        try:
            self._table.put_if(OWNER_PREFIX + name, value, owned.version)
        except PlatformError as error:
            log_event("ownership_not_released", level="WARNING", name=name, error=error)

    def end(self) -> None:
        """Release all names and end the session when the instance stops."""
        for name in list(self._owned_by_name):
            self.release(name)
        self._session.end()

    def _acquire_logged(self, name: str) -> Grant | None:
        epoch = self._session.epoch
        if self._session.remaining_seconds(epoch) <= 0:
            return None
        try:
            return self._acquire(name, epoch)
        except PlatformError as error:
            log_event("ownership_not_taken", level="WARNING", name=name, error=error)
            return None

    def _acquire(self, name: str, epoch: int) -> Grant | None:
        key = OWNER_PREFIX + name
        row = self._table.read([key])[key]
        if row is None or not row.value["holder"]:
            return self._write(name, row, [], epoch)
        holder, boot = row.value["holder"], row.value["boot"]
        if holder == self._instance and boot == self._session.boot:
            return self._write(name, row, [], epoch)
        self._owned_by_name.pop(name, None)
        session = self._table.read([session_key(holder)])[session_key(holder)]
        # An instance adopts a session only after the previous one has lapsed, so another boot
        # id in the session row shows that the lease of this holder has expired.
        is_current = session is not None and session.value["boot"] == boot
        if is_current and not self._has_expired(holder, session):
            return None
        # With the check on the session row, a holder that renews at this moment keeps the name.
        version = session.version if session else ABSENT
        return self._write(name, row, [Check(session_key(holder), version)], epoch)

    def _has_expired(self, holder: str, session: Row | None) -> bool:
        return session is None or self._observations.has_expired(session_key(holder), session)

    def _write(self, name: str, row: Row | None, checks: list[Check], epoch: int) -> Grant | None:
        key = OWNER_PREFIX + name
        fence = row.value["fence"] + 1 if row else 1
        value = {"holder": self._instance, "boot": self._session.boot, "fence": fence}
        version = row.version if row else ABSENT
        outcome = self._table.commit_and_resolve(
            Transaction(
                new_write_id(), checks=[*checks, Check(key, version)], puts=[Put(key, value)]
            )
        )
        if not isinstance(outcome, Committed):
            return None
        grant = Grant(name, self._instance, self._session.boot, fence)
        self._owned_by_name[name] = _Owned(grant, outcome.rows[key].version, epoch)
        log_event("ownership_taken", name=name, fence=fence)
        return self.grant_of(name)
