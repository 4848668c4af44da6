"""Which upstreams were removed from the list since a version of the store."""

import time

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import PlatformUnavailable
from redwingscale_daemon._internal.store.rows import RowStore
from redwingscale_daemon._internal.store.store_version import StoreVersion

# The store may return so many rows in one answer, and the rest in further ones.
_PAGE_ROWS = 500
_MAX_PAGES = 8


class RemovedUpstreams:
    """Reads the changes of the list in ``table``."""

    def __init__(self, store: RowStore, table: str) -> None:
        self._store = store
        # The table in which upstreams are listed, by their names.
        self._table = table

    def since(self, version: StoreVersion) -> set[str]:
        """Return the names that were removed from the list; raises `PlatformError`."""
        removed: set[str] = set()
        for _ in range(_MAX_PAGES):
            begun_at = time.monotonic()
            rows, version = self._store.changes(self._table, version, 0.0)
            log_event(
                "list_changes_read",
                rows=len(rows),
                bytes=sum(len(row.value or b"") for row in rows),
                seconds=round(time.monotonic() - begun_at, 4),
            )
            removed |= {row.key.key for row in rows if row.value is None}
            if len(rows) < _PAGE_ROWS:
                return removed
        raise PlatformUnavailable(f"more than {_MAX_PAGES * _PAGE_ROWS} changes")
