"""Functions that ``config apply`` and ``config rollback`` share."""

from typing import Any

import typer

from redwingscale_cli._internal.cli.context import CommandContext
from redwingscale_cli._internal.cli.output import print_json
from redwingscale_cli._internal.cli.status_codes import FINDINGS
from redwingscale_cli._internal.exceptions import Refused, VersionConflict
from redwingscale_cli._internal.network.operators_client import OperatorsClient, Reply
from redwingscale_cli._internal.operations.text_diff import diff_lines
from redwingscale_cli._internal.operations.watch import watch_until_in_force

CONFLICT = 409
UNPROCESSABLE = 422


def require_accepted(reply: Reply, text: str) -> int:
    """Return the accepted version in ``reply``.

    Otherwise print the findings, or the difference to the version in force, and raise
    `typer.Exit`, `VersionConflict` or `Refused`.
    """
    if reply.status == CONFLICT:
        raise _conflict(reply.value, text)
    if reply.status == UNPROCESSABLE:
        for finding in reply.value["findings"]:
            typer.echo(f"{finding['place']}: {finding['message']}")
        raise typer.Exit(FINDINGS)
    if not reply.ok:
        raise Refused(f"status {reply.status}: {reply.value}", hint="nothing was changed")
    version: int = reply.value["version"]
    return version


def show_rollout(
    context: CommandContext, client: OperatorsClient, version: int, wait_seconds: float
) -> None:
    """Wait until ``version`` is in force and print the instances where it is and is not."""
    rollout = watch_until_in_force(client, version, wait_seconds)
    if context.as_json:
        print_json(rollout._asdict())
        return
    typer.echo(
        f"version {version} in force at {len(rollout.in_force)} instances"
        f" after {rollout.seconds:.1f} s"
    )
    for instance in rollout.behind:
        typer.echo(f"not yet in force at {instance}; it applies the version once it is reachable")


def _conflict(current: dict[str, Any], text: str) -> VersionConflict:
    lines = diff_lines(current["text"], text, f"version {current['version']}", "your text")
    for line in lines:
        typer.echo(line)
    return VersionConflict(
        f"version {current['version']} by {current['author'] or 'unknown'} was applied first;"
        " nothing was changed",
        hint=f"merge the difference above and apply with --base {current['version']}",
    )
