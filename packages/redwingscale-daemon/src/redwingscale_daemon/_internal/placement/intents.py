"""Intents: orders written to the platform's table before they are sent."""

from typing import Any, NamedTuple

import msgspec

from redwingscale_daemon._internal.models.order import Order
from redwingscale_daemon._internal.placement.open_order import OpenOrder
from redwingscale_daemon._internal.store.row import (
    ABSENT,
    Check,
    Committed,
    Put,
    Transaction,
)
from redwingscale_daemon._internal.store.table import Table, new_write_id

INTENTS_PREFIX = "intents/"


class Intent(NamedTuple):
    """An order that may have been sent to the engine process at ``url``."""

    order: Order
    url: str


class Intents(NamedTuple):
    """A row of intents; ``version`` is the row version that the next write expects."""

    version: int
    intents: list[Intent]


class IntentStore:
    """Reads and replaces the intents of engines; one row has all open orders of an engine."""

    def __init__(self, table: Table) -> None:
        self._table = table

    def read(self, engine: str) -> Intents:
        """Return the intents of ``engine``.

        Raises `PlatformUnavailable` if the table does not answer.
        """
        key = INTENTS_PREFIX + engine
        row = self._table.read([key])[key]
        if row is None:
            return Intents(ABSENT, [])
        return Intents(row.version, msgspec.convert(row.value, list[Intent]))

    def write(self, engine: str, orders: list[OpenOrder], version: int, owner: Check) -> int | None:
        """Replace the intents if the row has ``version`` and the check ``owner`` passes.

        Returns the new version of the row, or None if another instance has written the
        row or taken the engine over. So a new owner that reads the row after its takeover
        sees the intent of every order that was sent.
        """
        key = INTENTS_PREFIX + engine
        value: Any = msgspec.to_builtins([Intent(o.order, o.url) for o in orders])
        outcome = self._table.commit_and_resolve(
            Transaction(new_write_id(), checks=[Check(key, version), owner], puts=[Put(key, value)])
        )
        return outcome.rows[key].version if isinstance(outcome, Committed) else None
