"""The command line of ``redwingscaled``."""

import sys
from pathlib import Path
from typing import Annotated

import typer
from redwingscale_common.exceptions import CheckFailed
from redwingscale_common.utils.logs import configure_logs

from redwingscale_daemon._internal.settings.load import load_settings

EXIT_SETTINGS = 2

app = typer.Typer(add_completion=False)


@app.command()
def run(
    settings_file: Annotated[Path, typer.Option("--settings", help="JSON file of settings.")],
    check: Annotated[bool, typer.Option(help="Only check the settings.")] = False,
) -> None:
    """Run one instance until SIGTERM; exit with 2 when the settings are not valid."""
    try:
        settings = load_settings(settings_file)
    except CheckFailed as failed:
        for finding in failed.findings:
            print(finding.render(str(settings_file)), file=sys.stderr)
        raise typer.Exit(EXIT_SETTINGS) from None
    if check:
        return
    configure_logs(settings.telemetry.log_level, instance=settings.instance.id)
    # Imported here: a settings check needs none of it.
    from redwingscale_daemon._internal.composition.root import build_instance

    build_instance(settings).run()
