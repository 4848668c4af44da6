"""The interface to a row store whose transactions share one version counter."""

from typing import NamedTuple, Protocol


class RowKey(NamedTuple):
    """The key of a row; rows of one ``partition`` can change in one transaction."""

    table: str
    partition: str
    key: str


class StoredRow(NamedTuple):
    """A row as read, written by transaction ``version``; ``value`` is None if it was deleted."""

    key: RowKey
    version: int
    value: bytes | None


class Snapshot(NamedTuple):
    """Rows as of one moment, when ``version`` was the newest of the whole store.

    Rows of a table that is read in pages may be newer, but never older.
    """

    rows: tuple[StoredRow, ...]
    version: int


class RowStore(Protocol):
    """Calls to the row store; each is sent once.

    They raise `PlatformUnavailable` if nothing was done, `WriteUnknown` if a write may
    have taken effect, and `HistoryGone` if changes since a version are no longer kept.
    """

    def read(self, table: str, partition: str) -> Snapshot:
        """Return all rows of one partition."""

    def changes(self, table: str, after: int, wait_seconds: float) -> Snapshot:
        """Return the rows changed after version ``after``.

        Waits up to ``wait_seconds`` for the first change.
        """

    def write(self, key: RowKey, value: bytes, expected_version: int) -> int | None:
        """Write one row if it still has ``expected_version``, 0 for an absent row.

        Returns the new version, None if the row has another version than expected.
        """
