"""``redwingscale config show``."""

import typer

from redwingscale_cli._internal.cli.context import CommandContext
from redwingscale_cli._internal.cli.output import print_json
from redwingscale_cli._internal.operations.history import fetch_text


def run(context: CommandContext, version: int) -> None:
    """Print the text of ``version``, or of the version in force if ``version`` is 0."""
    client = context.client()
    if version:
        current = {"version": version, "text": fetch_text(client, version)}
    else:
        current = client.get("/configuration")
    if context.as_json:
        print_json(current)
    else:
        typer.echo(current["text"])
