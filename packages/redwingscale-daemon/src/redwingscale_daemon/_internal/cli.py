"""The command line of ``redwingscaled``."""

import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, TypeVar

import typer
from redwingscale_common.exceptions import CheckFailed
from redwingscale_common.utils.logs import configure_logs, log_event, log_to_stdout

from redwingscale_daemon._internal.settings.ingress_settings import (
    IngressSettings,
    is_ingress,
    load_ingress_settings,
)
from redwingscale_daemon._internal.settings.load import load_settings

Loaded = TypeVar("Loaded")

EXIT_INVALID_SETTINGS = 2

app = typer.Typer(add_completion=False)


@app.command()
def run(
    settings_file: Annotated[Path, typer.Option("--settings", help="JSON file of settings.")],
    check: Annotated[bool, typer.Option(help="Only check the settings.")] = False,
) -> None:
    """Run one instance until SIGTERM; exit with 2 if the settings are not valid."""
    if _load_or_exit(is_ingress, settings_file):
        _run_ingress(settings_file, check)
        return
    settings = _load_or_exit(load_settings, settings_file)
    if check:
        return
    configure_logs(settings.telemetry.log_level, instance=settings.instance.id)
    # Imported here: a check of the settings does not need these modules.
    from redwingscale_daemon._internal.composition.root import build_instance
    from redwingscale_daemon._internal.utils.link_threads import limit_link_threads

    limit_link_threads()
    build_instance(settings).run()


def _run_ingress(settings_file: Path, check: bool) -> None:
    settings = _load_or_exit(load_ingress_settings, settings_file)
    if check:
        return
    log_to_stdout(settings.log_level, instance=settings.instance)
    from redwingscale_daemon._internal.composition.ingress import build_ingress
    from redwingscale_daemon._internal.utils.link_threads import limit_link_threads

    limit_link_threads()

    code = build_ingress(settings, lambda: _reload(settings_file, settings)).run()
    # Ends without joining the threads that wait for the store or a peer. A regular exit
    # would unload the native messaging library while some of them still send.
    os._exit(code)


def _reload(settings_file: Path, current: IngressSettings) -> None:
    """Read the settings again and log what has changed; changes need a restart."""
    try:
        settings = load_ingress_settings(settings_file)
    except CheckFailed as failed:
        log_event("reload_failed", level="ERROR", findings=len(failed.findings))
        return
    changed = [
        name
        for name, old, new in zip(current._fields, current, settings, strict=True)
        if old != new
    ]
    log_event("reloaded", changed=",".join(changed) or "nothing")


def _load_or_exit(load: Callable[[Path], Loaded], settings_file: Path) -> Loaded:
    try:
        return load(settings_file)
    except CheckFailed as failed:
        for finding in failed.findings:
            print(finding.render(str(settings_file)), file=sys.stderr)
        raise typer.Exit(EXIT_INVALID_SETTINGS) from None
