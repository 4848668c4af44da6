"""The configuration text in the platform: objects by digest, and one pointer row."""

import datetime
from dataclasses import dataclass

from redwingscale_common.utils.digests import sha256_hex

from redwingscale_daemon._internal.configuration.accepted import Pointer
from redwingscale_daemon._internal.exceptions import PlatformUnavailable, WriteUnknown
from redwingscale_daemon._internal.store.row import (
    ABSENT,
    Check,
    Committed,
    Put,
    Row,
    Transaction,
)
from redwingscale_daemon._internal.store.store import Platform
from redwingscale_daemon._internal.store.table import new_write_id

POINTER_KEY = "configuration"
HISTORY_PREFIX = "configuration-history/"
MAX_OBJECT_ATTEMPTS = 3


@dataclass(frozen=True)
class Applied:
    """The text is accepted; ``repeated`` if an earlier apply had accepted it already."""

    pointer: Pointer
    repeated: bool = False


@dataclass(frozen=True)
class ApplyConflict:
    """Another version, ``current``, is in force; None if there is no version at all.

    ``superseded`` is the version that this same text became in an earlier apply,
    if a later version has replaced it since.
    """

    current: Pointer | None
    superseded: Pointer | None = None


class ConfigurationStore:
    """Reads the pointer and the texts; writes the pointer by compare-and-set."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    def pointer(self) -> Pointer | None:
        """Return the pointer in the platform.

        Raises `PlatformUnavailable` if it cannot be read.
        """
        return _to_pointer(self._row(POINTER_KEY))

    def text(self, digest: str) -> str:
        """Return the text with ``digest``.

        Raises `PlatformUnavailable` if it cannot be read.
        """
        return self._platform.objects.get(f"configuration/{digest}").decode()

    def history(self) -> list[Pointer]:
        """Return all accepted versions, newest first."""
        rows = self._platform.table.scan(HISTORY_PREFIX)
        pointers = [Pointer(**row.value) for row in rows.values()]
        return sorted(pointers, key=lambda p: p.version, reverse=True)

    def past_pointer(self, version: int) -> Pointer | None:
        """Return the pointer of accepted version ``version``; None if there is none."""
        return _to_pointer(self._row(_history_key(version)))

    def apply(self, text: str, base_version: int, author: str) -> Applied | ApplyConflict:
        """Put ``text`` in force if ``base_version`` still is.

        Raises `PlatformUnavailable` if nothing was changed, and `WriteUnknown` if
        the outcome is unknown: to apply the same text on the same base again is
        then safe and returns the outcome.
        """
        digest = sha256_hex(text.encode())
        row = self._row(POINTER_KEY)
        current = _to_pointer(row)
        if (current.version if current else 0) != base_version:
            return self._resolve_conflict(digest, base_version, current)
        # The object is written first: a pointer never names a missing text, and an
        # outage between the two writes leaves the old version in force.
        self._put_object(digest, text)
        now = datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
        return self._commit(Pointer(base_version + 1, digest, author, now), row)

    def _row(self, key: str) -> Row | None:
        return self._platform.table.read([key])[key]

    def _put_object(self, digest: str, text: str) -> None:
        """Store the text. Its name is its digest, so a write without a reply can be repeated."""
        for _ in range(MAX_OBJECT_ATTEMPTS):
            try:
                return self._platform.objects.put(f"configuration/{digest}", text.encode())
            except WriteUnknown as error:
                failure = error
        raise PlatformUnavailable(f"the text could not be stored: {failure}")

    def _commit(self, pointer: Pointer, row: Row | None) -> Applied | ApplyConflict:
        value = pointer._asdict()
        outcome = self._platform.table.commit_and_resolve(
            Transaction(
                new_write_id(),
                checks=[Check(POINTER_KEY, row.version if row else ABSENT)],
                puts=[Put(POINTER_KEY, value), Put(_history_key(pointer.version), value)],
            )
        )
        if isinstance(outcome, Committed):
            return Applied(pointer)
        return self._resolve_conflict(
            pointer.digest, pointer.version - 1, _to_pointer(outcome.rows[POINTER_KEY])
        )

    def _resolve_conflict(
        self, digest: str, base_version: int, current: Pointer | None
    ) -> Applied | ApplyConflict:
        """Distinguish a repeated apply, whose first response was lost, from a conflict.

        If the version after the base has this same text, the apply succeeded:
        to refuse it would make operators merge their text with itself.
        """
        if current is None or current.version <= base_version:
            return ApplyConflict(current)
        if current.version == base_version + 1:
            return (
                Applied(current, repeated=True)
                if current.digest == digest
                else ApplyConflict(current)
            )
        successor = self.past_pointer(base_version + 1)
        superseded = successor if successor and successor.digest == digest else None
        return ApplyConflict(current, superseded)


def _history_key(version: int) -> str:
    return f"{HISTORY_PREFIX}{version:012d}"


def _to_pointer(row: Row | None) -> Pointer | None:
    return Pointer(**row.value) if row else None
