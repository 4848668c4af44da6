"""Encoding of what a version of the configuration changes in earlier ones."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple, TypeVar

import msgspec

from redwingscale_daemon._internal.routes.route import Route
from redwingscale_daemon._internal.routes.route_table import IngressLimits, RouteTable
from redwingscale_daemon._internal.routes.service_rule import ServiceRule
from redwingscale_daemon._internal.routes.table_record import (
    WorkspaceRecord,
    keys_of,
    workspace_records,
)
from redwingscale_daemon._internal.utils.documents import decode_message
from redwingscale_daemon._internal.workspaces.keys import WorkspaceKeys

_Key = TypeVar("_Key")
_Value = TypeVar("_Value")


class _KeyDifference(msgspec.Struct, array_like=True):
    """``changed`` has the digests that are new or belong to another workspace now."""

    changed: list[WorkspaceRecord]
    dropped: list[bytes]


class _TableDifference(msgspec.Struct, array_like=True):
    """``base`` is the digest of an earlier table; ``routes`` and ``services`` are new or changed.

    ``workspaces`` is None if callers need no key, as for a route table. ``other_bases`` are the
    digests of further tables that the difference leads from; an earlier release ignores them.
    """

    base: bytes
    version: int
    routes: list[Route]
    dropped_routes: list[tuple[str, str]]
    services: list[ServiceRule]
    dropped_services: list[str]
    limits: IngressLimits
    workspaces: _KeyDifference | None
    other_bases: list[bytes] = []


class _Changes(NamedTuple):
    changed: dict[Any, Any]
    dropped: set[Any]


def encode_difference(
    base: RouteTable, table: RouteTable, other_bases: Sequence[RouteTable] = ()
) -> bytes:
    """Return what leads from ``base`` to ``table``, for `apply_difference`.

    It leads to ``table`` from each of ``other_bases`` as well.
    """
    bases = (base, *other_bases)
    routes = _changes([one.by_host_and_prefix for one in bases], table.by_host_and_prefix)
    services = _changes([one.services_by_name for one in bases], table.services_by_name)
    record = _TableDifference(
        base.digest,
        table.version,
        list(routes.changed.values()),
        list(routes.dropped),
        list(services.changed.values()),
        list(services.dropped),
        table.limits,
        None if table.keys is None else _key_difference(bases, table.keys),
        [one.digest for one in other_bases],
    )
    return msgspec.msgpack.encode(record)


def apply_difference(base: RouteTable, data: bytes) -> RouteTable:
    """Return the table to which the difference in ``data`` leads from ``base``.

    Raises `msgspec.DecodeError` if ``data`` is invalid or leads from another table.
    """
    record = decode_message(data, _TableDifference)
    if base.digest not in (record.base, *record.other_bases):
        raise msgspec.ValidationError("the difference leads from another table")
    routes = base.by_host_and_prefix | {(one.host, one.prefix): one for one in record.routes}
    for key in record.dropped_routes:
        routes.pop(key, None)
    services = base.services_by_name | {rule.name: rule for rule in record.services}
    for name in record.dropped_services:
        services.pop(name, None)
    keys = None if record.workspaces is None else _apply_keys(base.keys, record.workspaces)
    return RouteTable(record.version, routes.values(), services, record.limits, keys)


def _changes(bases: Iterable[Mapping[_Key, _Value]], now: Mapping[_Key, _Value]) -> _Changes:
    """Return what must be set and dropped in each of ``bases`` so that it is ``now``."""
    changed: dict[_Key, _Value] = {}
    dropped: set[_Key] = set()
    for before in bases:
        changed |= {key: value for key, value in now.items() if before.get(key) != value}
        dropped |= before.keys() - now.keys()
    return _Changes(changed, dropped)


def _key_difference(bases: Iterable[RouteTable], keys: WorkspaceKeys) -> _KeyDifference:
    before = [one.keys.workspaces_by_digest if one.keys else {} for one in bases]
    changes = _changes(before, keys.workspaces_by_digest)
    return _KeyDifference(workspace_records(changes.changed), list(changes.dropped))


def _apply_keys(base: WorkspaceKeys | None, difference: _KeyDifference) -> WorkspaceKeys:
    before = base.workspaces_by_digest if base else {}
    dropped = frozenset(difference.dropped)
    kept = {digest: workspace for digest, workspace in before.items() if digest not in dropped}
    return WorkspaceKeys(kept | keys_of(difference.changed))
