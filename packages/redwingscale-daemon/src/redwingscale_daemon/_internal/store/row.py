"""Rows and transactions of the platform's table."""

from typing import Any, NamedTuple

import msgspec

ABSENT = 0


class Row(NamedTuple):
    """A row as read: ``version`` rises with each write, ``write_id`` names the last."""

    version: int
    value: Any
    write_id: str


class Check(msgspec.Struct):
    """A condition of a transaction: row ``key`` has ``version``; `ABSENT` for no row."""

    key: str
    version: int


class Put(msgspec.Struct):
    """A write of ``value``, plain JSON data, to row ``key``."""

    key: str
    value: Any


class Transaction(msgspec.Struct):
    """Writes that take effect together if every check holds, else not at all."""

    write_id: str
    checks: list[Check] = []
    puts: list[Put] = []
    deletes: list[str] = []


class Committed(NamedTuple):
    """The transaction took effect; the rows written, by key."""

    rows: dict[str, Row]


class Conflict(NamedTuple):
    """A check did not hold; the rows that failed as they are, by key."""

    rows: dict[str, Row | None]
