"""``redwingscale config diff``."""

from pathlib import Path

import typer
from redwingscale_common.configuration import load_text

from redwingscale_cli._internal.cli.context import CommandContext
from redwingscale_cli._internal.cli.output import print_json
from redwingscale_cli._internal.operations.text_diff import diff_lines
from redwingscale_cli._internal.operations.text_file import read_text


def run(context: CommandContext, file: Path) -> None:
    """Print what the text in ``file`` would change in the version in force."""
    text = read_text(file)
    load_text(str(file), text)
    current = context.client().get("/configuration")
    lines = diff_lines(current["text"], text, f"version {current['version']}", str(file))
    if context.as_json:
        print_json({"base_version": current["version"], "lines": lines})
        return
    typer.echo("\n".join(lines) if lines else "no difference")
