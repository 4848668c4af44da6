"""Encoding of a route table in messages between instances."""

from collections.abc import Iterable, Mapping

import msgspec

from redwingscale_daemon._internal.routes.route import Route
from redwingscale_daemon._internal.routes.route_table import IngressLimits, RouteTable
from redwingscale_daemon._internal.routes.service_rule import ServiceRule
from redwingscale_daemon._internal.utils.documents import decode_message
from redwingscale_daemon._internal.workspaces.keys import WorkspaceKeys
from redwingscale_daemon._internal.workspaces.workspace import Workspace


class WorkspaceRecord(msgspec.Struct, array_like=True):
    """A workspace and the digests of its keys."""

    workspace: Workspace
    digests: list[bytes]


class _TableRecord(msgspec.Struct, array_like=True):
    """Contains the digests of keys, never the keys."""

    version: int
    routes: list[Route]
    services: list[ServiceRule]
    limits: IngressLimits
    workspaces: list[WorkspaceRecord] | None


def encode_table(table: RouteTable) -> bytes:
    """Return ``table`` in the encoding that `decode_table` reads."""
    services = list(table.services_by_name.values())
    workspaces = None if table.keys is None else workspace_records(table.keys.workspaces_by_digest)
    record = _TableRecord(table.version, list(table.routes), services, table.limits, workspaces)
    return msgspec.msgpack.encode(record)


def decode_table(data: bytes) -> RouteTable:
    """Return the table in ``data``.

    Raises `msgspec.DecodeError` if ``data`` is invalid.
    """
    record = decode_message(data, _TableRecord)
    return RouteTable(
        record.version,
        record.routes,
        {service.name: service for service in record.services},
        record.limits,
        None if record.workspaces is None else WorkspaceKeys(keys_of(record.workspaces)),
    )


def workspace_records(workspaces_by_digest: Mapping[bytes, Workspace]) -> list[WorkspaceRecord]:
    """Return one record for each workspace."""
    digests_by_workspace: dict[Workspace, list[bytes]] = {}
    for digest, workspace in workspaces_by_digest.items():
        digests_by_workspace.setdefault(workspace, []).append(digest)
    return [WorkspaceRecord(*item) for item in digests_by_workspace.items()]


def keys_of(records: Iterable[WorkspaceRecord]) -> dict[bytes, Workspace]:
    """Return the workspaces in ``records`` by the digests of their keys."""
    return {digest: record.workspace for record in records for digest in record.digests}
