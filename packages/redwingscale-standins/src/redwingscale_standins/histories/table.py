"""The platform's table as one instance sees it, with injected faults."""

from collections.abc import Callable
from typing import Any

import msgspec
from redwingscale_daemon._internal.exceptions import PlatformUnavailable, WriteUnknown
from redwingscale_daemon._internal.store.row import Committed, Conflict, Row, Transaction
from redwingscale_daemon._internal.store.table import Table

from redwingscale_standins.histories.clock import FakeClock
from redwingscale_standins.histories.faults import Fault, FaultSource, Point
from redwingscale_standins.platform import table as standin

LATE_WRITE_SECONDS = 7.0


class FaultyTable(Table):
    """Replaces the daemon's table client; uses the stand-in's table without a network."""

    def __init__(
        self,
        rows: standin.Table,
        clock: FakeClock,
        faults: FaultSource,
        strike: Callable[[Fault | None, str], None],
        is_down: Callable[[], bool],
    ) -> None:
        self._rows = rows
        self._clock = clock
        self._faults = faults
        self._strike = strike
        self._is_down = is_down

    def read(self, keys: list[str]) -> dict[str, Row | None]:
        """Return the rows of ``keys``, unless a fault strikes."""
        fault = self._faults(Point.READ)
        self._strike(fault, "before")
        if fault is Fault.REFUSED or self._is_down():
            raise PlatformUnavailable("fault")
        rows = {key: _row(row) for key, row in self._rows.read(keys).items()}
        self._strike(fault, "after")
        return rows

    def commit(self, transaction: Transaction) -> Committed | Conflict:
        """Commit now, late or not at all, depending on the fault."""
        fault = self._faults(Point.COMMIT)
        self._strike(fault, "before")
        if fault is Fault.REFUSED or self._is_down():
            raise PlatformUnavailable("fault")
        sent = msgspec.convert(msgspec.to_builtins(transaction), standin.Transaction)
        if fault is Fault.LATE:
            self._clock.call_later(LATE_WRITE_SECONDS, lambda: self._commit_late(sent))
            raise WriteUnknown("late")
        done, rows = self._rows.commit(sent)
        self._strike(fault, "after")
        if fault is Fault.REPLY_LOST:
            raise WriteUnknown("reply lost")
        found = {key: _row(row) for key, row in rows.items()}
        return Committed(_present(found)) if done else Conflict(found)

    def _commit_late(self, transaction: standin.Transaction) -> None:
        self._rows.commit(transaction)


def _row(row: Any) -> Row | None:
    return Row(*row) if row is not None else None


def _present(rows: dict[str, Row | None]) -> dict[str, Row]:
    return {key: row for key, row in rows.items() if row is not None}
