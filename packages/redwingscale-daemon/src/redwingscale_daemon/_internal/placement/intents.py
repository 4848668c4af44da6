"""Intents: the orders that an owner is about to send, in the platform's table."""

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
    """An order that may have gone out to the engine process at ``url``."""

    order: Order
    url: str


class Intents(NamedTuple):
    """A row of intents as read; ``version`` is for the next write."""

    version: int
    intents: list[Intent]


class IntentStore:
    """Reads and replaces the intents of one engine; a row holds its open orders."""

    def __init__(self, table: Table) -> None:
        self._table = table

    def read(self, engine: str) -> Intents:
        """Return the intents; raise `PlatformUnavailable`."""
        key = INTENTS_PREFIX + engine
        row = self._table.read([key])[key]
        if row is None:
            return Intents(ABSENT, [])
        return Intents(row.version, msgspec.convert(row.value, list[Intent]))

    def write(self, engine: str, orders: list[OpenOrder], version: int, owner: Check) -> int | None:
        """Replace the intents if the row has ``version`` and ``owner`` holds.

        Returns the row's new version, None when another has written the row
        or has taken the engine over. So whoever takes over reads, after its
        takeover, every intent that was ever followed by an order.
        """
        key = INTENTS_PREFIX + engine
        value: Any = msgspec.to_builtins([Intent(o.order, o.url) for o in orders])
        outcome = self._table.commit_surely(
            Transaction(new_write_id(), checks=[Check(key, version), owner], puts=[Put(key, value)])
        )
        return outcome.rows[key].version if isinstance(outcome, Committed) else None
