"""Encoding of what a version of the configuration changes in an earlier one."""

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


class _KeyDifference(msgspec.Struct, array_like=True):
    """``changed`` has the digests that are new or belong to another workspace now."""

    changed: list[WorkspaceRecord]
    dropped: list[bytes]


class _TableDifference(msgspec.Struct, array_like=True):
    """``base`` is the digest of the earlier table; ``routes`` and ``services`` are new or changed.

    ``workspaces`` is None if callers need no key, as for a route table.
    """

    base: bytes
    version: int
    routes: list[Route]
    dropped_routes: list[tuple[str, str]]
    services: list[ServiceRule]
    dropped_services: list[str]
    limits: IngressLimits
    workspaces: _KeyDifference | None


def encode_difference(base: RouteTable, table: RouteTable) -> bytes:
    """Return what leads from ``base`` to ``table``, for `apply_difference`."""
    routes, before = table.by_host_and_prefix, base.by_host_and_prefix
    services, services_before = table.services_by_name, base.services_by_name
    record = _TableDifference(
        base.digest,
        table.version,
        [route for key, route in routes.items() if before.get(key) != route],
        list(before.keys() - routes.keys()),
        [rule for name, rule in services.items() if services_before.get(name) != rule],
        list(services_before.keys() - services.keys()),
        table.limits,
        None if table.keys is None else _key_difference(base.keys, table.keys),
    )
    return msgspec.msgpack.encode(record)


def apply_difference(base: RouteTable, data: bytes) -> RouteTable:
    """Return the table to which the difference in ``data`` leads from ``base``.

    Raises `msgspec.DecodeError` if ``data`` is invalid or leads from another table.
    """
    record = decode_message(data, _TableDifference)
    if record.base != base.digest:
        raise msgspec.ValidationError("the difference leads from another table")
    routes = base.by_host_and_prefix | {(one.host, one.prefix): one for one in record.routes}
    for key in record.dropped_routes:
        routes.pop(key, None)
    services = base.services_by_name | {rule.name: rule for rule in record.services}
    for name in record.dropped_services:
        services.pop(name, None)
    keys = None if record.workspaces is None else _apply_keys(base.keys, record.workspaces)
    return RouteTable(record.version, routes.values(), services, record.limits, keys)


def _key_difference(base: WorkspaceKeys | None, keys: WorkspaceKeys) -> _KeyDifference:
    before = base.workspaces_by_digest if base else {}
    now = keys.workspaces_by_digest
    changed = {key: workspace for key, workspace in now.items() if before.get(key) != workspace}
    return _KeyDifference(workspace_records(changed), list(before.keys() - now.keys()))


def _apply_keys(base: WorkspaceKeys | None, difference: _KeyDifference) -> WorkspaceKeys:
    before = base.workspaces_by_digest if base else {}
    dropped = frozenset(difference.dropped)
    kept = {digest: workspace for digest, workspace in before.items() if digest not in dropped}
    return WorkspaceKeys(kept | keys_of(difference.changed))
