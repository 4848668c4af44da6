"""The interface to a row store whose transactions share one version counter."""

from typing import NamedTuple, Protocol

from redwingscale_daemon._internal.store.store_version import StoreVersion


class RowKey(NamedTuple):
    """The key of a row; rows of one ``partition`` can change in one transaction."""

    table: str
    partition: str
    key: str


class StoredRow(NamedTuple):
    """A row as read, written by transaction ``version``; ``value`` is None if it was deleted."""

    key: RowKey
    version: StoreVersion
    value: bytes | None


class Snapshot(NamedTuple):
    """Rows as of one moment, when ``version`` was the newest of the whole store.

    Rows of a table that is read in pages may be newer, but never older.
    """

    rows: tuple[StoredRow, ...]
    version: StoreVersion


class RowStore(Protocol):
    """Calls to the row store; each is sent once.

    They raise `PlatformUnavailable` if nothing was done, `WriteUnknown` if a write may
    have taken effect, and `HistoryGone` if changes since a version are no longer kept.
    `EraChanged` tells that a call named a version of another era than that of its answer.
    """

    def read(self, table: str, partition: str) -> Snapshot:
        """Return all rows of one partition."""

    def changes(self, table: str, after: StoreVersion, wait_seconds: float) -> Snapshot:
        """Return the rows changed after version ``after``.

        Waits up to ``wait_seconds`` for the first change.
        """

    def write(self, key: RowKey, value: bytes, expected: StoreVersion) -> StoreVersion | None:
        """Write one row if it still has the version ``expected``.

        An absent row has the number `NO_ROW_NUMBER` in the era in which it was looked for.

        Returns the new version, None if the row has another version than expected.
        """
