"""Stores quarantines in one row of the platform's row store."""

import threading
import time
from collections.abc import Iterator
from typing import NamedTuple

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import PlatformError
from redwingscale_daemon._internal.quarantine.store import StoredQuarantine
from redwingscale_daemon._internal.store.rows import RowKey, RowStore
from redwingscale_daemon._internal.store.store_version import NO_ROW_NUMBER, StoreVersion
from redwingscale_daemon._internal.utils.documents import decode_json

QUARANTINE_ROW = RowKey("redwingscale-quarantine", "", "requests")
MAX_STORED = 256
WRITE_ATTEMPTS = 5
RETRY_SECONDS = 0.5
# A copy from which the store comes back is some seconds old: what was written before is in it.
REWRITTEN_SECONDS = 60.0


class _StoredRequest(NamedTuple):
    """A quarantine, and when it expires in seconds of Unix time by its writer's clock."""

    fingerprint: str
    expires_at: float
    seconds: float
    crashed_engines: tuple[str, ...]


class _Write(NamedTuple):
    """What this instance wrote of one request, None if it dropped the quarantine, and when."""

    quarantine: StoredQuarantine | None
    at: float


class RowQuarantineStore:
    """Saves and loads quarantines, best effort: peers also exchange them directly.

    All of them are in one row, so that each write drops what has expired. If clocks differ,
    an expiry shifts by as much, to at most the whole length of a quarantine.
    """

    def __init__(self, store: RowStore) -> None:
        self._store = store
        self._lock = threading.Lock()
        self._writes_by_fingerprint: dict[str, _Write] = {}

    def save(self, quarantine: StoredQuarantine) -> None:
        """Write the row in the background, so that no request waits for the platform."""
        self._begin(quarantine.fingerprint, quarantine)

    def drop(self, fingerprint: str) -> None:
        """Write the row without a quarantine in the background."""
        self._begin(fingerprint, None)

    def write_again(self) -> None:
        """Write again what this instance has written lately, for a store that may have lost it."""
        now = time.monotonic()
        with self._lock:
            writes = list(self._writes_by_fingerprint.items())
        for fingerprint, (quarantine, at) in writes:
            if quarantine is not None:
                quarantine = quarantine._replace(seconds=quarantine.seconds - (now - at))
            if now - at < REWRITTEN_SECONDS:
                log_event("quarantine_written_again", fingerprint=fingerprint)
                self._run(fingerprint, quarantine)

    def _begin(self, fingerprint: str, quarantine: StoredQuarantine | None) -> None:
        now = time.monotonic()
        with self._lock:
            kept = {
                key: one
                for key, one in self._writes_by_fingerprint.items()
                if now - one.at < REWRITTEN_SECONDS
            }
            self._writes_by_fingerprint = kept | {fingerprint: _Write(quarantine, now)}
        self._run(fingerprint, quarantine)

    def _run(self, fingerprint: str, quarantine: StoredQuarantine | None) -> None:
        arguments = (fingerprint, quarantine)
        threading.Thread(target=self._write, args=arguments, daemon=True).start()

    def load(self) -> Iterator[StoredQuarantine]:
        """Yield the quarantines in force; raises `PlatformError`."""
        _, stored = self._read()
        now = time.time()
        for one in stored:
            left = min(one.seconds, one.expires_at - now)
            if left > 0:
                yield StoredQuarantine(one.fingerprint, left, one.crashed_engines)

    def _read(self) -> tuple[StoreVersion, list[_StoredRequest]]:
        rows, read_at = self._store.read(QUARANTINE_ROW.table, QUARANTINE_ROW.partition)
        row = next((one for one in rows if one.key == QUARANTINE_ROW), None)
        if row is None or row.value is None:
            return StoreVersion(read_at.era, NO_ROW_NUMBER), []
        try:
            return row.version, decode_json(row.value, list[_StoredRequest])
        except msgspec.DecodeError as error:
            log_event("quarantine_row_invalid", level="WARNING", error=error)
            return row.version, []

    def _write(self, fingerprint: str, quarantine: StoredQuarantine | None) -> None:
        for _ in range(WRITE_ATTEMPTS):
            try:
                if self._try_write(fingerprint, quarantine):
                    return
            except PlatformError as error:
                log_event("quarantine_not_stored", level="WARNING", error=error)
            time.sleep(RETRY_SECONDS)

    def _try_write(self, fingerprint: str, quarantine: StoredQuarantine | None) -> bool:
        """Return False if another instance has written the row meanwhile."""
        version, stored = self._read()
        now = time.time()
        kept = [s for s in stored if s.expires_at > now and s.fingerprint != fingerprint]
        if quarantine is not None:
            seconds = quarantine.seconds
            kept.append(
                _StoredRequest(fingerprint, now + seconds, seconds, quarantine.crashed_engines)
            )
        value = msgspec.json.encode(kept[-MAX_STORED:])
        return self._store.write(QUARANTINE_ROW, value, version) is not None
