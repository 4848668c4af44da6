"""Rows of a store whose transactions share one version counter, as the product uses them."""

from typing import NamedTuple, Protocol


class RowKey(NamedTuple):
    """Where a row stands; rows of one ``partition`` can change together."""

    table: str
    partition: str
    key: str


class StoredRow(NamedTuple):
    """A row as read; ``version`` is that of the transaction that wrote it, ``value`` None if dropped."""

    key: RowKey
    version: int
    value: bytes | None


class Snapshot(NamedTuple):
    """Rows as of one moment of the store; ``version`` was the newest of the whole store then.

    Rows of a table that is read in pages may be newer, never older.
    """

    rows: tuple[StoredRow, ...]
    version: int


class RowStore(Protocol):
    """The calls that the product makes; each is sent once.

    Raises `PlatformUnavailable` when nothing was done, `WriteUnknown` when a write
    may have been, `HistoryGone` when changes since a version are no longer kept.
    """

    def read(self, table: str, partition: str) -> Snapshot:
        """Return all rows of one partition."""

    def changes(self, table: str, after: int, wait_seconds: float) -> Snapshot:
        """Return the rows changed after version ``after``, waiting for the first one."""

    def write(self, key: RowKey, value: bytes, expected_version: int) -> int | None:
        """Write one row that still has ``expected_version`` (0: absent).

        Returns the new version, None when the row has another one.
        """
