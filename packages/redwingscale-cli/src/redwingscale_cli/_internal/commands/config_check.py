"""``redwingscale config check``."""

from pathlib import Path

import typer
from redwingscale_common.configuration import check_text

from redwingscale_cli._internal.cli.context import CommandContext
from redwingscale_cli._internal.cli.output import print_json
from redwingscale_cli._internal.cli.status_codes import FINDINGS
from redwingscale_cli._internal.operations.text_file import read_text


def run(context: CommandContext, file: Path) -> None:
    """Print all findings of the text in ``file``; exit 1 if there are any."""
    findings = check_text(str(file), read_text(file))
    if context.as_json:
        print_json([finding._asdict() for finding in findings])
    else:
        for finding in findings:
            typer.echo(finding.render(str(file)))
    if findings:
        raise typer.Exit(FINDINGS)
