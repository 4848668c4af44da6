"""The parser of ``redwingscale``."""

from pathlib import Path

import typer

from redwingscale_cli._internal.cli.status_codes import FINDINGS

app = typer.Typer(add_completion=False, no_args_is_help=True)
config = typer.Typer(no_args_is_help=True, help="The operators' text.")
app.add_typer(config, name="config")


@config.command()
def check(file: Path) -> None:
    """Check a text; print every finding with its JSON place."""
    from redwingscale_cli._internal.commands.config_check import findings_of

    findings = findings_of(file)
    for finding in findings:
        typer.echo(finding.render(str(file)))
    if findings:
        raise typer.Exit(FINDINGS)


@app.command()
def version() -> None:
    """Print the version."""
    from redwingscale_common import __version__

    typer.echo(__version__)
