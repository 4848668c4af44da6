"""``redwingscale status``."""

from typing import Any

from redwingscale_cli._internal.cli.context import CommandContext
from redwingscale_cli._internal.cli.output import print_json, print_progress, print_table
from redwingscale_cli._internal.network.operators_client import OperatorsClient


def run(context: CommandContext) -> None:
    """Print all instances with their configuration version, then the queried one and the leases."""
    client = context.client()
    status = client.get("/status")
    versions = client.get("/configuration/in-force")
    leases = _leases(client)
    if context.as_json:
        print_json({"asked": status, "version_by_instance": versions, "lease_by_name": leases})
        return
    queried = status["instance"]["id"]
    rows = [
        (instance, version, _format_silence(instance, queried, status["peers"]))
        for instance, version in sorted(versions.items())
    ]
    print_table(("INSTANCE", "VERSION", "LAST HEARD"), rows)
    state = "ready" if status["ready"] else f"not ready: {status['reason']}"
    session = "valid" if status["session_valid"] else "not valid"
    print_table(
        ("ASKED", "STATE", "OPEN", "SESSION"), [(queried, state, status["open_requests"], session)]
    )
    print_table(
        ("LEASE", "HOLDER", "FENCE"),
        [(name, row["holder"] or "-", row["fence"]) for name, row in sorted(leases.items())],
    )


def _leases(client: OperatorsClient) -> dict[str, Any]:
    """Return the leases, none if the platform that stores them does not respond."""
    reply = client.call("GET", "/leases")
    if not reply.ok:
        print_progress("leases are not shown: the platform does not respond")
        return {}
    leases: dict[str, Any] = reply.value
    return leases


def _format_silence(instance: str, queried: str, peers: dict[str, float | None]) -> str:
    if instance == queried:
        return "asked"
    seconds = peers.get(instance)
    return "never" if seconds is None else f"{seconds:.1f} s ago"
