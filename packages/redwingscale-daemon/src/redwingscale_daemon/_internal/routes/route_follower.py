"""Keeps the route table as the operators write it to the store."""

import time
from collections.abc import Callable, Iterable

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import HistoryGone, PlatformError
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_table import RouteTable
from redwingscale_daemon._internal.routes.route_version_tracker import RouteVersionTracker
from redwingscale_daemon._internal.store.backoff import Backoff
from redwingscale_daemon._internal.store.link_state import LinkState
from redwingscale_daemon._internal.store.rows import RowKey, RowStore, StoredRow

# Of the time in which a change must be in force: also when the connection of a waiting
# read has gone silent just before it, one wait and its margin are less.
WAIT_FRACTION = 0.6
# The same for the one that reads for all: its word reaches them later than its reads.
WAIT_FRACTION_FOR_ALL = 0.25
# How often an instance that relies on the order giver's news looks whether they come.
VERSION_CHECK_SECONDS = 0.25

Decode = Callable[[bytes], RouteTable]


class RouteFollower:
    """Waits for changes of one row; each step is one read."""

    def __init__(
        self,
        store: RowStore,
        row: RowKey,
        decode: Decode,
        current: CurrentRoutes,
        state: LinkState,
        versions: RouteVersionTracker,
        reads_for_all: Callable[[], bool] = lambda: True,
        in_force_seconds: float = 2.0,
        fetch_announced: Callable[[], bool] = lambda: False,
    ) -> None:
        # Brings the version that was told from the one that told it, if it can.
        self._fetch_announced = fetch_announced
        self._store = store
        self._row = row
        self._decode = decode
        self._current = current
        self._state = state
        self._versions = versions
        # Whether this instance is the one that tells the others.
        self._reads_for_all = reads_for_all
        self._in_force_seconds = in_force_seconds
        self._version: int | None = None
        self._retry = Backoff(first_at_once=True)
        self._stood_in = False
        # Whether the next read is the first one since the giver's word was relied on.
        self._reads_at_once = False

    def step(self) -> None:
        """Read once: everything at first and after a gap, then what has changed.

        While the order giver tells of new versions, only those are read, and where it
        hands them out, none is.
        """
        if self._stands_in() and not self._newer_told():
            return
        try:
            self._take(self._changes())
        except HistoryGone:
            log_event("configuration_history_gone", version=self._version)
            self._version = None
        except PlatformError as error:
            self._state.failed(error)
            time.sleep(self._retry.failed())
        else:
            self._retry.answered()
            self._state.answered()

    def _stands_in(self) -> bool:
        known = self._current.get() is not None
        stands_in = known and self._versions.current and not self._reads_for_all()
        if self._stood_in and not stands_in:
            self._reads_at_once = True
        self._log_source(stands_in)
        return stands_in

    def _log_source(self, stands_in: bool) -> None:
        if stands_in == self._stood_in:
            return
        self._stood_in = stands_in
        log_event(
            "configuration_source",
            source="order_giver" if stands_in else "own_reads",
            told=self._versions.version,
            news_age=round(self._versions.age, 3),
            read_age=round(self._state.age, 3),
        )

    def _newer_told(self) -> bool:
        table = self._current.get()
        seconds = min(VERSION_CHECK_SECONDS, self._versions.current_for)
        if table is None or not self._versions.wait_for_newer(table.version, seconds):
            return False
        # The whole row: a waiting read could be answered by a connection gone silent.
        self._version = None
        return not self._fetch_announced()

    def _changes(self) -> Iterable[StoredRow]:
        if self._version is None:
            snapshot = self._store.read(self._row.table, self._row.partition)
        else:
            wait_seconds = self._wait_seconds()
            snapshot = self._store.changes(self._row.table, self._version, wait_seconds)
        self._version = snapshot.version
        return snapshot.rows

    def _wait_seconds(self) -> float:
        if self._reads_at_once:
            # A waiting read on a connection that has gone silent meanwhile would take most
            # of the time that a change has left.
            self._reads_at_once = False
            return 0.0
        fraction = WAIT_FRACTION_FOR_ALL if self._reads_for_all() else WAIT_FRACTION
        return self._in_force_seconds * fraction

    def _take(self, rows: Iterable[StoredRow]) -> None:
        for row in rows:
            if row.key != self._row or row.value is None:
                continue
            try:
                table = self._decode(row.value)
            except msgspec.DecodeError as error:
                log_event("configuration_invalid", level="ERROR", row=row.version, error=error)
                continue
            self._current.offer(table)
