"""The platform's transactional table."""

import uuid

import msgspec

from redwingscale_daemon._internal.exceptions import WriteUnknown
from redwingscale_daemon._internal.platform.http import PlatformHttp
from redwingscale_daemon._internal.platform.row import (
    Check,
    Committed,
    Conflict,
    Put,
    Row,
    Transaction,
)

CONFLICT_STATUS = 409


class Table:
    """Reads rows and commits transactions; every failure is an exception."""

    def __init__(self, http: PlatformHttp) -> None:
        self._http = http

    def read(self, keys: list[str]) -> dict[str, Row | None]:
        """Return the rows of ``keys``; raise `PlatformUnavailable`."""
        response = self._http.get("/table/rows", [("key", key) for key in keys])
        return msgspec.json.decode(response.body, type=dict[str, Row | None])

    def scan(self, prefix: str) -> dict[str, Row]:
        """Return all rows whose key begins with ``prefix``; raise `PlatformUnavailable`."""
        response = self._http.get("/table/scan", [("prefix", prefix)])
        return msgspec.json.decode(response.body, type=dict[str, Row])

    def commit(self, transaction: Transaction) -> Committed | Conflict:
        """Commit once; raise `PlatformUnavailable` or `WriteUnknown`."""
        body = msgspec.json.encode(transaction)
        response = self._http.send("POST", "/table/transactions", body)
        if response.status == CONFLICT_STATUS:
            return Conflict(msgspec.json.decode(response.body, type=dict[str, Row | None]))
        return Committed(msgspec.json.decode(response.body, type=dict[str, Row]))

    def commit_surely(self, transaction: Transaction) -> Committed | Conflict:
        """Commit; a lost reply is resolved by reading the write id back.

        The reply of a write can be lost after the write has taken effect; the
        row then bears this transaction's write id. All puts of a transaction
        take effect together, so one row tells for all. Raises
        `PlatformUnavailable` when nothing was written, and `WriteUnknown` when
        the row cannot be read back either.
        """
        try:
            return self.commit(transaction)
        except WriteUnknown:
            return self._read_back(transaction)

    def put_if(self, key: str, value: object, version: int) -> Committed | Conflict:
        """Write one row if it still has ``version``; see `commit_surely`."""
        return self.commit_surely(
            Transaction(new_write_id(), checks=[Check(key, version)], puts=[Put(key, value)])
        )

    def _read_back(self, transaction: Transaction) -> Committed | Conflict:
        try:
            rows = self.read([put.key for put in transaction.puts])
        except Exception as error:
            raise WriteUnknown(str(error)) from error
        found = {key: row for key, row in rows.items() if row is not None}
        ours = [row for row in found.values() if row.write_id == transaction.write_id]
        if ours:
            return Committed(found)
        return Conflict(rows)


def new_write_id() -> str:
    """Return an id that no other write bears."""
    return uuid.uuid4().hex
