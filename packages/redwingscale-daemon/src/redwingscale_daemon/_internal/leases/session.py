"""The session of this instance: one lease row that all its ownerships depend on."""

import math
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import PlatformError
from redwingscale_daemon._internal.leases.clock import Clock, lease_clock
from redwingscale_daemon._internal.leases.row_observations import RowObservations
from redwingscale_daemon._internal.store.row import ABSENT, Committed, Row
from redwingscale_daemon._internal.store.table import Table

SESSION_PREFIX = "sessions/"
ENDED_BOOT = 0


def session_key(instance: str) -> str:
    """Return the key of the session row of ``instance``."""
    return SESSION_PREFIX + instance


class _Lease(NamedTuple):
    epoch: int
    valid_until: float


class Session:
    """Renews the row ``sessions/<instance>``; valid until a time on this process's own clock.

    No clock is shared: the lease holder counts the lease from before it sent the renewal,
    another instance from when it first read the renewed row. So the holder's lease
    always expires first, however slow the reply or the read was.

    An instance that takes over writes the rows of the names that it takes, never this one,
    so a holder that was suspended past its lease can still renew it. Therefore each lapse
    starts a new ``epoch``, and names acquired in an earlier epoch are no longer owned.
    """

    def __init__(
        self,
        table: Table,
        instance: str,
        boot: int,
        lease_seconds: float,
        clock: Clock = lease_clock,
    ) -> None:
        self._table = table
        self._key = session_key(instance)
        self._boot = boot
        self._lease_seconds = lease_seconds
        self._clock = clock
        self._observations = RowObservations(lease_seconds, clock)
        self._version: int | None = None
        self._lease = _Lease(0, -math.inf)
        self._ended = False

    @property
    def boot(self) -> int:
        """The id of this session; a restarted instance has a different one."""
        return self._boot

    @property
    def epoch(self) -> int:
        """A number that rises whenever the session starts, is lost or ends."""
        return self._lease.epoch

    def is_valid(self) -> bool:
        """Return whether no other instance can have taken over."""
        return self.remaining_seconds(self.epoch) > 0

    def remaining_seconds(self, epoch: int) -> float:
        """Return for how long no other instance can take over names acquired in ``epoch``."""
        lease = self._lease
        if lease.epoch != epoch:
            return 0.0
        return max(0.0, lease.valid_until - self._clock())

    def renew(self) -> None:
        """Write the row once; a conflict means that another process of this id took the session."""
        if self._ended:
            return
        sent_at = self._clock()
        try:
            if self._version is None and not self._adopt():
                return
            outcome = self._table.put_if(self._key, {"boot": self._boot}, self._version or ABSENT)
        except PlatformError as error:
            log_event("session_not_renewed", level="WARNING", error=error)
            return
        if self._ended:
            return
        if isinstance(outcome, Committed):
            self._version = outcome.rows[self._key].version
            self._extend(sent_at)
        else:
            self._on_conflict(outcome.rows.get(self._key))

    def end(self) -> None:
        """End the session permanently, so that no instance need wait for the lease to expire."""
        self._ended = True
        self._begin_epoch()
        if self._version is None:
            return
        try:
            self._table.put_if(self._key, {"boot": ENDED_BOOT}, self._version)
        except PlatformError as error:
            log_event("session_not_ended", level="WARNING", error=error)

    def _extend(self, sent_at: float) -> None:
        lease = self._lease
        # The epoch continues only if the reply came within the old lease. Otherwise the row
        # may have been unchanged for long enough that names were taken over.
        lapsed = self._clock() >= lease.valid_until
        if lapsed:
            log_event("session_begun", key=self._key, epoch=lease.epoch + 1)
        self._lease = _Lease(lease.epoch + int(lapsed), sent_at + self._lease_seconds)

    def _on_conflict(self, row: Row | None) -> None:
        if row is not None and row.value["boot"] == self._boot:
            # An earlier write of this session took effect although its reply and the
            # read-back were lost. The lease stays unchanged.
            self._version = row.version
            return
        self._begin_epoch()
        self._version = None
        log_event("session_lost", level="WARNING", key=self._key)

    def _begin_epoch(self) -> None:
        self._lease = _Lease(self._lease.epoch + 1, -math.inf)

    def _adopt(self) -> bool:
        """Take over the row from an earlier process of the same instance id.

        That process may be suspended or partitioned while its lease is valid, so its row
        must be unchanged for a whole lease, as in any other takeover.
        """
        row = self._table.read([self._key])[self._key]
        if row is not None and row.value["boot"] not in (ENDED_BOOT, self._boot):
            if not self._observations.has_expired(self._key, row):
                return False
            log_event("session_adopted", key=self._key, boot=row.value["boot"])
        self._version = row.version if row else ABSENT
        return True
