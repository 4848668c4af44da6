"""The session of this instance: one lease row that all its ownerships hang on."""

import time

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import PlatformError
from redwingscale_daemon._internal.platform.row import ABSENT, Committed, Row
from redwingscale_daemon._internal.platform.table import Table

SESSION_PREFIX = "sessions/"


def session_key(instance: str) -> str:
    """Return the key of the session row of ``instance``."""
    return SESSION_PREFIX + instance


class Session:
    """Renews ``sessions/<instance>``; valid until a time on this process's own clock.

    No clock is shared: the holder counts the lease from before it sent the
    renewal, a taker from when it saw the row stop changing. So the holder's
    lease always ends first, however slow the reply or the reader was.
    """

    def __init__(self, table: Table, instance: str, boot: int, lease_seconds: float) -> None:
        self._table = table
        self._key = session_key(instance)
        self._boot = boot
        self._lease_seconds = lease_seconds
        self._version = ABSENT
        self._valid_until = 0.0

    @property
    def boot(self) -> int:
        """The id of this session; a restarted instance has another."""
        return self._boot

    def is_valid(self) -> bool:
        """Return whether nobody else may have taken over yet."""
        return time.monotonic() < self._valid_until

    def renew(self) -> None:
        """Write the row once; a conflict means that the session was taken over."""
        sent_at = time.monotonic()
        try:
            if self._version == ABSENT:
                self._adopt(self._table.read([self._key])[self._key])
            outcome = self._table.put_if(self._key, {"boot": self._boot}, self._version)
        except PlatformError as error:
            log_event("session_not_renewed", level="WARNING", error=error)
            return
        if isinstance(outcome, Committed):
            self._version = outcome.rows[self._key].version
            self._valid_until = sent_at + self._lease_seconds
            return
        self._valid_until = 0.0
        self._version = ABSENT
        log_event("session_lost", level="WARNING", key=self._key)

    def _adopt(self, row: Row | None) -> None:
        self._version = row.version if row else ABSENT
