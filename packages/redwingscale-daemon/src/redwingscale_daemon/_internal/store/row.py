"""Rows and transactions of the platform's table."""

from typing import Any, NamedTuple

import msgspec

ABSENT = 0


class Row(NamedTuple):
    """A row as read; ``version`` rises with each write, ``write_id`` is of the last one."""

    version: int
    value: Any
    write_id: str


class Check(msgspec.Struct):
    """A condition of a transaction: row ``key`` has ``version``, `ABSENT` if there is none."""

    key: str
    version: int


class Put(msgspec.Struct):
    """A write of ``value``, which is plain JSON data, to row ``key``."""

    key: str
    value: Any


class Transaction(msgspec.Struct):
    """Writes that all take effect if every check passes, and otherwise none."""

    write_id: str
    checks: list[Check] = []
    puts: list[Put] = []
    deletes: list[str] = []


class Committed(NamedTuple):
    """The transaction took effect; ``rows`` are the rows written, by key."""

    rows: dict[str, Row]


class Conflict(NamedTuple):
    """A check failed; ``rows`` are the present rows, by key."""

    rows: dict[str, Row | None]
