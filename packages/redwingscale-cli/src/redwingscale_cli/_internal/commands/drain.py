"""``redwingscale drain``."""

import typer

from redwingscale_cli._internal.cli.context import CommandContext
from redwingscale_cli._internal.cli.output import print_json


def run(context: CommandContext, instance_id: str) -> None:
    """Ask an instance, through any other, to finish its requests and end."""
    reply = context.client().post("/drain", {"instance": instance_id})
    if context.as_json:
        print_json(reply)
        return
    typer.echo(f"{instance_id} is draining: it takes no new request and ends when all are answered")
