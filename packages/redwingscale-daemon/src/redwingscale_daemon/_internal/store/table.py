"""The platform's transactional table."""

import uuid

import msgspec

from redwingscale_daemon._internal.exceptions import PlatformUnavailable, WriteUnknown
from redwingscale_daemon._internal.store.http import PlatformHttp
from redwingscale_daemon._internal.store.row import (
    ABSENT,
    Check,
    Committed,
    Conflict,
    Put,
    Row,
    Transaction,
)

CONFLICT_STATUS = 409
RESOLVE_ATTEMPTS = 3


class Table:
    """Reads rows and commits transactions; raises an exception on each failure."""

    def __init__(self, http: PlatformHttp) -> None:
        self._http = http

    def read(self, keys: list[str]) -> dict[str, Row | None]:
        """Return the rows of ``keys``, None for absent ones; raise `PlatformUnavailable`."""
        response = self._http.get("/table/rows", [("key", key) for key in keys])
        return msgspec.json.decode(response.body, type=dict[str, Row | None])

    def scan(self, prefix: str) -> dict[str, Row]:
        """Return all rows whose keys start with ``prefix``; raise `PlatformUnavailable`."""
        response = self._http.get("/table/scan", [("prefix", prefix)])
        return msgspec.json.decode(response.body, type=dict[str, Row])

    def commit(self, transaction: Transaction) -> Committed | Conflict:
        """Commit without a retry; raise `PlatformUnavailable` or `WriteUnknown`."""
        body = msgspec.json.encode(transaction)
        response = self._http.send("POST", "/table/transactions", body)
        if response.status == CONFLICT_STATUS:
            return Conflict(msgspec.json.decode(response.body, type=dict[str, Row | None]))
        return Committed(msgspec.json.decode(response.body, type=dict[str, Row]))

    def commit_and_resolve(self, transaction: Transaction) -> Committed | Conflict:
        """Commit; if the answer is lost, find out from the write id what happened.

        The answer can be lost after the write has taken effect; the rows then have
        this transaction's write id. All puts of a transaction take effect together,
        so one row is enough to decide. Raises `PlatformUnavailable` if nothing was
        written, and `WriteUnknown` if that could not be found out.
        """
        try:
            return self.commit(transaction)
        except WriteUnknown:
            return self._resolve(transaction)

    def put_if(self, key: str, value: object, version: int) -> Committed | Conflict:
        """Write one row if it still has ``version``; see `commit_and_resolve`."""
        return self.commit_and_resolve(
            Transaction(new_write_id(), checks=[Check(key, version)], puts=[Put(key, value)])
        )

    def _resolve(self, transaction: Transaction) -> Committed | Conflict:
        """Find out whether a write without an answer took effect.

        If the rows are unchanged, the write may be lost or still in flight. The same
        transaction is sent again: its checks let only one of the two take effect.
        """
        for _ in range(RESOLVE_ATTEMPTS):
            rows = self._read_back(transaction)
            if _has_write_id(rows, transaction):
                return Committed({key: row for key, row in rows.items() if row is not None})
            if not transaction.checks or not _checks_apply(rows, transaction):
                return Conflict(rows)
            try:
                outcome = self.commit(transaction)
            except (PlatformUnavailable, WriteUnknown):
                continue
            if isinstance(outcome, Committed):
                return outcome
        raise WriteUnknown("the write could not be read back")

    def _read_back(self, transaction: Transaction) -> dict[str, Row | None]:
        keys = [check.key for check in transaction.checks]
        keys += [put.key for put in transaction.puts if put.key not in keys]
        try:
            return self.read(keys)
        except PlatformUnavailable as error:
            raise WriteUnknown(str(error)) from error


def _has_write_id(rows: dict[str, Row | None], transaction: Transaction) -> bool:
    return any(row is not None and row.write_id == transaction.write_id for row in rows.values())


def _checks_apply(rows: dict[str, Row | None], transaction: Transaction) -> bool:
    versions = {key: row.version if row else ABSENT for key, row in rows.items()}
    return all(versions[check.key] == check.version for check in transaction.checks)


def new_write_id() -> str:
    """Return an id that no other write has."""
    return uuid.uuid4().hex
