"""Transactional table with versioned rows and multi-row compare-and-set."""

import threading
from typing import Any, NamedTuple

import msgspec


class Row(NamedTuple):
    """A row; ``version`` rises by one with each write, ``write_id`` identifies the last one."""

    version: int
    value: Any
    write_id: str


class Check(msgspec.Struct):
    """The condition that row ``key`` has ``version``; 0 means that the row is absent."""

    key: str
    version: int


class Put(msgspec.Struct):
    """A write of ``value`` to row ``key``."""

    key: str
    value: Any


class Transaction(msgspec.Struct):
    """Writes that are applied together, if every check passes."""

    write_id: str
    checks: list[Check] = []
    puts: list[Put] = []
    deletes: list[str] = []


class Table:
    """Rows in memory; counts reads and writes for the capacity figures."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._rows: dict[str, Row] = {}
        self._last_versions: dict[str, int] = {}
        self.reads = 0
        self.writes = 0

    def read(self, keys: list[str]) -> dict[str, Row | None]:
        """Return the rows of ``keys``, None for absent rows."""
        with self._lock:
            self.reads += len(keys)
            return {key: self._rows.get(key) for key in keys}

    def scan(self, prefix: str) -> dict[str, Row]:
        """Return the rows whose key begins with ``prefix``."""
        with self._lock:
            found = {k: row for k, row in self._rows.items() if k.startswith(prefix)}
            self.reads += max(1, len(found))
            return found

    def commit(self, transaction: Transaction) -> tuple[bool, dict[str, Row | None]]:
        """Return whether it committed, with the rows put, or else those whose check failed."""
        with self._lock:
            failed = [c.key for c in transaction.checks if self._version(c.key) != c.version]
            if failed:
                return False, {key: self._rows.get(key) for key in failed}
            for put in transaction.puts:
                self._put(put, transaction.write_id)
            for key in transaction.deletes:
                self._rows.pop(key, None)
            self.writes += len(transaction.puts) + len(transaction.deletes)
            return True, {put.key: self._rows[put.key] for put in transaction.puts}

    def _version(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else 0

    def _put(self, put: Put, write_id: str) -> None:
        version = self._last_versions.get(put.key, 0) + 1
        self._last_versions[put.key] = version
        self._rows[put.key] = Row(version, put.value, write_id)
