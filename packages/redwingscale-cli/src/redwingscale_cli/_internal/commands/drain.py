"""``redwingscale drain``."""

import typer

from redwingscale_cli._internal.cli.context import CommandContext
from redwingscale_cli._internal.cli.output import print_json


def run(context: CommandContext, instance_id: str) -> None:
    """Make an instance complete its requests and exit; any instance passes the request on."""
    reply = context.client().post("/drain", {"instance": instance_id})
    if context.as_json:
        print_json(reply)
        return
    typer.echo(
        f"{instance_id} is draining: it accepts no new requests and exits when all are complete"
    )
