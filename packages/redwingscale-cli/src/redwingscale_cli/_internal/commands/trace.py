"""``redwingscale trace``."""

from pathlib import Path

import typer

from redwingscale_cli._internal.cli.context import CommandContext
from redwingscale_cli._internal.cli.output import print_json
from redwingscale_cli._internal.operations.trace import render, trace


def run(context: CommandContext, request: str, files: list[Path]) -> None:
    """Print the lines in the logs ``files`` that concern ``request``."""
    found = trace(request, files)
    if context.as_json:
        print_json(
            {
                "own": [line._asdict() for line in found.own],
                "context": [line._asdict() for line in found.context],
            }
        )
        return
    for line in render(found):
        typer.echo(line)
