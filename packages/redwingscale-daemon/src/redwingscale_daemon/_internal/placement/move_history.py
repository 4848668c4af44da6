"""The recent moves of the deployment, stored in the platform for operators."""

import datetime
import threading
from collections import defaultdict
from typing import NamedTuple

from redwingscale_daemon._internal.models.order import Order
from redwingscale_daemon._internal.store.row import ABSENT, Committed
from redwingscale_daemon._internal.store.table import Table

MOVES_PREFIX = "moves/"
MAX_MOVES_PER_ENGINE = 50
MAX_UNWRITTEN_MOVES = 1000


class Move(NamedTuple):
    """An order that has ended; ``at`` is UTC in ISO 8601."""

    at: str
    upstream: str
    action: str
    unit: str
    outcome: str


class MoveHistory:
    """Records moves in memory and writes them on another thread than the owners'.

    An owner that waited for a slow table would poll its engine late, and the engine would
    count as silent. The number of unwritten moves is bounded; the oldest are dropped.
    """

    def __init__(self, table: Table) -> None:
        self._lock = threading.Lock()
        self._table = table
        self._unwritten: list[Move] = []

    def note(self, upstream: str, order: Order, outcome: str) -> None:
        """Record how ``order`` ended, without waiting for the platform."""
        at = datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
        action = "load" if order.load else "unload"
        with self._lock:
            self._unwritten.append(Move(at, upstream, action, order.unit, outcome))
            del self._unwritten[:-MAX_UNWRITTEN_MOVES]

    def flush(self) -> None:
        """Write the recorded moves.

        Raises `PlatformError` if a write fails; moves not yet written are kept.
        """
        with self._lock:
            unwritten, self._unwritten = self._unwritten, []
        moves_by_upstream: dict[str, list[Move]] = defaultdict(list)
        for move in unwritten:
            moves_by_upstream[move.upstream].append(move)
        try:
            while moves_by_upstream:
                upstream = next(iter(moves_by_upstream))
                self._append(upstream, moves_by_upstream[upstream])
                del moves_by_upstream[upstream]
        finally:
            left = [move for moves in moves_by_upstream.values() for move in moves]
            with self._lock:
                self._unwritten = left + self._unwritten

    def recent(self) -> list[Move]:
        """Return the stored moves, newest first.

        Raises `PlatformUnavailable` if the table does not answer.
        """
        rows = self._table.scan(MOVES_PREFIX).values()
        moves = [Move(*item) for row in rows for item in row.value]
        return sorted(moves, reverse=True)

    def _append(self, upstream: str, moves: list[Move]) -> None:
        key = MOVES_PREFIX + upstream
        outcome = None
        # Retried on a conflict: a former owner may write its last moves at the same time.
        while not isinstance(outcome, Committed):
            row = self._table.read([key])[key]
            kept = [*(row.value if row else []), *moves][-MAX_MOVES_PER_ENGINE:]
            outcome = self._table.put_if(key, kept, row.version if row else ABSENT)
