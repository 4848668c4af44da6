"""Imports and runs a command; prints its errors and sets the exit code."""

import importlib
from collections.abc import Callable
from typing import Any

import typer
from redwingscale_common.exceptions import CheckFailed

from redwingscale_cli._internal.cli.command_table import COMMANDS_BY_NAME
from redwingscale_cli._internal.cli.status_codes import FINDINGS
from redwingscale_cli._internal.exceptions import ClientError


def run_command(name: str, *arguments: Any) -> None:
    """Import the module of the command ``name`` and call its ``run`` with ``arguments``.

    The module is imported only now because the histogram library of the load tool would
    otherwise slow down every command, including ``--help``.
    """
    run: Callable[..., None] = importlib.import_module(COMMANDS_BY_NAME[name]).run
    try:
        run(*arguments)
    except ClientError as error:
        typer.echo(f"error: {error}", err=True)
        raise typer.Exit(error.exit_code) from None
    except CheckFailed as failed:
        for finding in failed.findings:
            typer.echo(finding.render(failed.message.removesuffix(" is not valid")))
        raise typer.Exit(FINDINGS) from None
