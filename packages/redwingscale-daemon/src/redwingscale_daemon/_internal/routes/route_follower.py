"""Keeps the route table up to date with the configuration in the store."""

import time
from collections.abc import Callable, Sequence

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import HistoryGone, PlatformError
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_table import RouteTable
from redwingscale_daemon._internal.routes.route_version_tracker import RouteVersionTracker
from redwingscale_daemon._internal.store.backoff import Backoff
from redwingscale_daemon._internal.store.link_state import LinkState
from redwingscale_daemon._internal.store.rows import RowKey, RowStore, StoredRow
from redwingscale_daemon._internal.store.store_version import StoreVersion

# Duration of a waiting read, as a fraction of the time in which a change must be in force:
# if the connection has gone silent just before the change, one wait and its margin still
# take less than that time.
WAIT_FRACTION = 0.6
# The same for the leader, shorter since its updates reach the others only after its reads.
WAIT_FRACTION_FOR_ALL = 0.25
# How long the answer to a read without a wait may take, as a fraction of that time: after the
# last update of a leader that falls silent, one read may be lost. After a longer pause between
# two reads, there may be several versions.
ANSWER_FRACTION = 0.25
# How often an instance that relies on the leader's updates checks that they arrive.
VERSION_CHECK_SECONDS = 0.25

Decode = Callable[[bytes], RouteTable]


class RouteFollower:
    """Follows the changes of one row; each step is one read.

    The store answers a query for changes with each version since the one that it names. Where
    these may be several, the row itself is read: its size does not depend on how many there are.
    """

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
        # Fetches the announced version from the leader; returns whether that succeeded.
        self._fetch_announced = fetch_announced
        self._store = store
        self._row = row
        self._decode = decode
        self._current = current
        self._state = state
        self._versions = versions
        # Whether this instance reads for all and announces versions to the others.
        self._reads_for_all = reads_for_all
        self._in_force_seconds = in_force_seconds
        # Where the next waiting read begins, None to read the row itself.
        self._version: StoreVersion | None = None
        self._retry = Backoff(immediate_first_retry=True)
        self._relied_on_leader = False

    def step(self) -> None:
        """Read once: the row itself at first and after a gap, otherwise its next change.

        While the leader announces versions, the row is read only for a newer version that
        cannot be fetched from the leader.
        """
        if self._relies_on_leader() and not self._must_read_newer():
            return
        begun_at = time.monotonic()
        try:
            as_of = self._read(begun_at)
        except HistoryGone:
            log_event("configuration_history_gone", read_at=self._version)
            self._version = None
        except PlatformError as error:
            seconds = round(time.monotonic() - begun_at, 4)
            log_event("configuration_read_failed", seconds=seconds, error=error)
            self._version = None
            self._state.note_failure(error)
            time.sleep(self._retry.note_failure())
        else:
            self._retry.note_answer()
            self._state.note_answer(as_of)
            if (table := self._current.get()) is not None:
                self._current.note_newest(table.version, self._state.age)

    def _relies_on_leader(self) -> bool:
        known = self._current.get() is not None
        relies = known and self._versions.current and not self._reads_for_all()
        self._log_source(relies)
        return relies

    def _log_source(self, relies: bool) -> None:
        if relies == self._relied_on_leader:
            return
        self._relied_on_leader = relies
        log_event(
            "configuration_source",
            source="order_giver" if relies else "own_reads",
            told=self._versions.version,
            news_age=round(self._versions.age, 3),
            read_age=round(self._state.age, 3),
        )

    def _must_read_newer(self) -> bool:
        """Wait for a newer version; return whether it must be read from the store."""
        table = self._current.get()
        seconds = min(VERSION_CHECK_SECONDS, self._versions.current_for)
        if table is None or not self._versions.wait_for_newer(table.version, seconds):
            return False
        table = self._current.get()
        if table is not None and table.version >= self._versions.version:
            # The update that announced the version also brought it.
            return False
        # A waiting read might use a connection that has gone silent.
        self._version = None
        return not self._fetch_announced()

    def _read(self, begun_at: float) -> float:
        """Read and use the row or its next change; return the time as of which it was read."""
        if begun_at - self._state.answered_at > self._in_force_seconds * ANSWER_FRACTION:
            self._version = None
        since, as_of = self._version, begun_at
        if since is None:
            snapshot = self._store.read(self._row.table, self._row.partition)
        else:
            wait_seconds = self._wait_seconds()
            snapshot = self._store.changes(self._row.table, since, wait_seconds)
            as_of = min(time.monotonic(), begun_at + wait_seconds)
        self._log_read(snapshot.rows, begun_at)
        versions = [row for row in snapshot.rows if row.key == self._row]
        several = since is not None and len(versions) > 1
        self._version = None if several else snapshot.version
        self._take_newest(versions)
        return as_of

    def _wait_seconds(self) -> float:
        fraction = WAIT_FRACTION_FOR_ALL if self._reads_for_all() else WAIT_FRACTION
        return self._in_force_seconds * fraction

    def _log_read(self, rows: Sequence[StoredRow], begun_at: float) -> None:
        if rows:
            log_event(
                "configuration_read",
                rows=len(rows),
                bytes=sum(len(row.value or b"") for row in rows),
                seconds=round(time.monotonic() - begun_at, 4),
            )

    def _take_newest(self, rows: Sequence[StoredRow]) -> None:
        """Use the newest valid one of ``rows``, which are in order."""
        for row in reversed(rows):
            if row.value is None:
                continue
            begun_at = time.monotonic()
            try:
                table = self._decode(row.value)
            except msgspec.DecodeError as error:
                log_event(
                    "configuration_invalid", level="ERROR", row=row.version.number, error=error
                )
                continue
            log_event(
                "configuration_received",
                source="store",
                version=table.version,
                bytes=len(row.value),
                build_seconds=round(time.monotonic() - begun_at, 4),
            )
            self._current.offer(table)
            return
