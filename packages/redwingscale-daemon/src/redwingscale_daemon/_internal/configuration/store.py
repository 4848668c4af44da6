"""The operators' text in the platform: objects by digest, one pointer row."""

import datetime
from typing import NamedTuple

from redwingscale_common.utils.digests import sha256_hex

from redwingscale_daemon._internal.configuration.accepted import Pointer
from redwingscale_daemon._internal.platform.platform import Platform
from redwingscale_daemon._internal.platform.row import (
    ABSENT,
    Check,
    Committed,
    Put,
    Row,
    Transaction,
)
from redwingscale_daemon._internal.platform.table import new_write_id

POINTER_KEY = "configuration"
HISTORY_PREFIX = "configuration-history/"


class Lost(NamedTuple):
    """Another operator's version came first; it is in force."""

    current: Pointer


class ConfigurationStore:
    """Reads the pointer and the texts; writes by compare-and-set."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    def pointer(self) -> Pointer | None:
        """Return the pointer in the platform; raise `PlatformUnavailable`."""
        row = self._platform.table.read([POINTER_KEY])[POINTER_KEY]
        return _pointer(row) if row else None

    def text(self, digest: str) -> str:
        """Return the text of ``digest``; raise `PlatformUnavailable`."""
        return self._platform.objects.get(f"configuration/{digest}").decode()

    def history(self) -> list[Pointer]:
        """Return every accepted version, the newest first."""
        rows = self._platform.table.scan(HISTORY_PREFIX)
        pointers = [_pointer(row) for row in rows.values()]
        return sorted(pointers, key=lambda p: p.version, reverse=True)

    def apply(self, text: str, base_version: int, author: str) -> Pointer | Lost:
        """Put ``text`` in force if ``base_version`` still is; raise `PlatformError`."""
        digest = sha256_hex(text.encode())
        row = self._platform.table.read([POINTER_KEY])[POINTER_KEY]
        current = _pointer(row) if row else None
        if current is not None and current.version != base_version:
            return Lost(current)
        self._platform.objects.put(f"configuration/{digest}", text.encode())
        now = datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
        pointer = Pointer(base_version + 1, digest, author, now)
        return self._commit(pointer, row)

    def _commit(self, pointer: Pointer, row: Row | None) -> Pointer | Lost:
        value = pointer._asdict()
        outcome = self._platform.table.commit_surely(
            Transaction(
                new_write_id(),
                checks=[Check(POINTER_KEY, row.version if row else ABSENT)],
                puts=[
                    Put(POINTER_KEY, value),
                    Put(f"{HISTORY_PREFIX}{pointer.version:012d}", value),
                ],
            )
        )
        if isinstance(outcome, Committed):
            return pointer
        current = outcome.rows[POINTER_KEY]
        return Lost(_pointer(current)) if current else Lost(pointer)


def _pointer(row: Row) -> Pointer:
    return Pointer(**row.value)
