"""Prints results, as JSON or as a table with aligned columns."""

from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
import typer


def print_json(value: Any) -> None:
    """Print ``value`` as indented JSON."""
    typer.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print ``rows`` as aligned columns below ``header``."""
    lines = [tuple(header), *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(header))]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        typer.echo("  ".join(cells).rstrip())


def print_progress(text: str) -> None:
    """Print a progress message to standard error; results go to standard output."""
    typer.echo(text, err=True)
