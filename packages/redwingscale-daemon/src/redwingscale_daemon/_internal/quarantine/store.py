"""Stores quarantines in the platform's table, for instances that start later."""

import threading
import time
from collections.abc import Iterator
from typing import NamedTuple, Protocol

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import PlatformError
from redwingscale_daemon._internal.store.row import Check, Put, Transaction
from redwingscale_daemon._internal.store.table import Table, new_write_id

PREFIX = "quarantine/"


class StoredQuarantine(NamedTuple):
    """A quarantine as it is published and loaded, with ``seconds`` until it expires.

    Instances share no clock, so each counts from when it received the quarantine.
    """

    fingerprint: str
    seconds: float
    crashed_engines: tuple[str, ...]


class QuarantineSaver(Protocol):
    """Keeps quarantines for instances that start later."""

    def save(self, quarantine: StoredQuarantine) -> None:
        """Save in the background, so that no request waits."""

    def drop(self, fingerprint: str) -> None:
        """Drop a quarantine in the background."""

    def load(self) -> Iterator[StoredQuarantine]:
        """Yield the quarantines in force; raises `PlatformError`."""


class QuarantineStore:
    """Saves and loads quarantines, best effort: peers also exchange them directly.

    Rows contain the time of day at which they expire. If clocks differ, only that time
    shifts.
    """

    def __init__(self, table: Table) -> None:
        self._table = table

    def save(self, quarantine: StoredQuarantine) -> None:
        """Write a row in the background, so that no request waits for the platform."""
        threading.Thread(target=self._write, args=(quarantine,), daemon=True).start()

    def drop(self, fingerprint: str) -> None:
        """Delete the row of a quarantine in the background."""
        threading.Thread(target=self._drop, args=(PREFIX + fingerprint,), daemon=True).start()

    def load(self) -> Iterator[StoredQuarantine]:
        """Yield the quarantines in force and delete expired rows; raises `PlatformError`."""
        now = time.time()
        for key, row in self._table.scan(PREFIX).items():
            seconds = float(row.value["expires_at"]) - now
            if seconds > 0:
                fingerprint = key.removeprefix(PREFIX)
                yield StoredQuarantine(fingerprint, seconds, tuple(row.value["died"]))
            else:
                self._delete(key, row.version)

    def _write(self, quarantine: StoredQuarantine) -> None:
        value = {
            "expires_at": time.time() + quarantine.seconds,
            "died": list(quarantine.crashed_engines),
        }
        put = Put(PREFIX + quarantine.fingerprint, value)
        try:
            self._table.commit(Transaction(new_write_id(), puts=[put]))
        except PlatformError as error:
            log_event("quarantine_not_stored", level="WARNING", error=error)

    def _drop(self, key: str) -> None:
        try:
            if (row := self._table.scan(key).get(key)) is not None:
                self._delete(key, row.version)
        except PlatformError as error:
            log_event("quarantine_not_dropped", level="WARNING", error=error)

    def _delete(self, key: str, version: int) -> None:
        checks = [Check(key, version)]
        self._table.commit(Transaction(new_write_id(), checks=checks, deletes=[key]))
