"""Keeps how streams began in the store, so that it outlives the end of all instances."""

from collections.abc import Callable, Iterable, Iterator
from itertools import groupby

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import EraChanged, PlatformError
from redwingscale_daemon._internal.fleet.software_versions import SoftwareVersions
from redwingscale_daemon._internal.forwarding.stream_origins import (
    KEY_BYTES,
    OriginEntry,
    StreamOrigins,
)
from redwingscale_daemon._internal.store.backoff import Backoff
from redwingscale_daemon._internal.store.rows import RowKey, RowStore
from redwingscale_daemon._internal.store.store_version import NO_ROW_NUMBER, StoreVersion
from redwingscale_daemon._internal.utils.documents import decode_message

# A table of its own: instances without a leader wait for changes in that of the leader's row.
TABLE = "redwingscale-streams"
# Streams that began after the last writing are unknown once all instances have ended.
WRITE_SECONDS = 0.25
# Rows are written in turn: their number times the interval is longer than streams mostly live.
ROWS = 160
# Keys in one row, of `KEY_BYTES` each; a row takes 64 KB in base64.
MAX_KEYS = 2000


class _Origins(msgspec.Struct, array_like=True):
    """The streams that ``software`` of ``service`` began; ``keys`` are joined."""

    service: str
    software: str
    keys: bytes


class OriginRows:
    """The leader writes what it is told of begins; a process that starts reads it.

    With one version there is nothing to write: what nobody knows goes on at that one.
    """

    def __init__(
        self,
        store: RowStore,
        origins: StreamOrigins,
        versions: SoftwareVersions,
        is_leader: Callable[[], bool],
    ) -> None:
        self._store = store
        self._origins = origins
        self._versions = versions
        self._is_leader = is_leader
        self._retry = Backoff()
        # The rows' versions by their keys, None if they must be read.
        self._version_by_key: dict[str, StoreVersion] | None = None
        self._era = 0
        self._next_row = 0
        # The number of the last entry that was written, and the services whose entries were.
        self._written = 0
        self._services: frozenset[str] = frozenset()

    def step(self) -> None:
        """Write the begins since the last step, if this instance leads and it is of use."""
        if not self._is_leader():
            self._version_by_key = None
            return
        services = self._versions.mixed()
        if services - self._services:
            # Streams that began while their version served alone.
            self._written = 0
        self._services = services
        if not services or not self._retry.due:
            return
        entries, newest = self._origins.since(self._written)
        kept = [entry for entry in entries if entry.service in services]
        if not kept:
            self._written = newest
            return
        try:
            self._write(kept)
        except PlatformError as error:
            self._version_by_key = None
            self._retry.note_failure()
            if isinstance(error, EraChanged):
                # The store may have lost what was written.
                self._written = 0
            log_event("origins_not_written", level="WARNING", streams=len(kept), error=error)
            return
        self._retry.note_answer()
        self._written = newest

    def load(self) -> None:
        """Read how streams began that versions which may still serve have begun."""
        if not self._versions.mixed():
            return
        try:
            rows = self._store.read(TABLE, "").rows
            found = [entry for row in rows for entry in _decode(row.value or b"")]
        except (PlatformError, msgspec.DecodeError) as error:
            log_event("origins_not_read", level="WARNING", error=error)
            return
        kept = [one for one in found if one.software in self._versions.remembered(one.service)]
        self._origins.restore(kept)
        log_event("origins_read", streams=len(kept), of_forgotten_versions=len(found) - len(kept))

    def _write(self, entries: list[OriginEntry]) -> None:
        for start in range(0, len(entries), MAX_KEYS):
            known = self._version_by_key
            if known is None:
                snapshot = self._store.read(TABLE, "")
                known = {row.key.key: row.version for row in snapshot.rows}
                self._version_by_key, self._era = known, snapshot.version.era
                # Goes on after the row that was written last.
                newest = max(known, key=lambda key: known[key], default=None)
                self._next_row = 0 if newest is None else (int(newest) + 1) % ROWS
            key = f"{self._next_row:03d}"
            expected = known.get(key, StoreVersion(self._era, NO_ROW_NUMBER))
            written = self._store.write(
                RowKey(TABLE, "", key), _encode(entries[start : start + MAX_KEYS]), expected
            )
            if written is None:
                raise EraChanged(f"row {key} was written by another instance")
            known[key] = written
            self._next_row = (self._next_row + 1) % ROWS


def _encode(entries: Iterable[OriginEntry]) -> bytes:
    def begun_at(entry: OriginEntry) -> tuple[str, str]:
        return entry.service, entry.software

    return msgspec.msgpack.encode(
        [
            _Origins(service, software, b"".join(one.key for one in group))
            for (service, software), group in groupby(sorted(entries, key=begun_at), begun_at)
        ]
    )


def _decode(value: bytes) -> Iterator[OriginEntry]:
    for one in decode_message(value, list[_Origins]):
        for start in range(0, len(one.keys), KEY_BYTES):
            yield OriginEntry(one.keys[start : start + KEY_BYTES], one.service, one.software)
