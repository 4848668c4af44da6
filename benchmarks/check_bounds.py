"""Checks the recorded results against the regression bounds.

Each bound is a ratio within one run or a count, so that it holds on another
machine too. Exit 1 when one is broken, 2 when its result is missing.
"""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import typer

from benchmarks.lib.points import RESULTS

BOUNDS_FILE = Path(__file__).with_name("bounds.json")
BROKEN = 1
MISSING = 2


class Verdict(NamedTuple):
    """A bound with the value that was measured."""

    name: str
    value: float
    holds: bool


def main() -> None:
    """Print a line for each bound; exit 0 only if all hold."""
    bounds = json.loads(BOUNDS_FILE.read_text())
    missing = [b["benchmark"] for b in bounds if not _result_file(b).exists()]
    if missing:
        typer.echo(f"no results of {', '.join(sorted(set(missing)))}; run them first", err=True)
        raise typer.Exit(MISSING)
    verdicts = [_judge(bound) for bound in bounds]
    for verdict in verdicts:
        typer.echo(
            f"{'holds ' if verdict.holds else 'BROKEN'} {verdict.value:10.3f}  {verdict.name}"
        )
    if not all(verdict.holds for verdict in verdicts):
        raise typer.Exit(BROKEN)


def _result_file(bound: Mapping[str, Any]) -> Path:
    return RESULTS / f"{bound['benchmark']}.json"


def _judge(bound: Mapping[str, Any]) -> Verdict:
    points = json.loads(_result_file(bound).read_text())["points"]
    value = _pick(points, bound["value"])
    if "divided_by" in bound:
        value /= _pick(points, bound["divided_by"])
    low = bound.get("at_least", float("-inf"))
    high = bound.get("at_most", float("inf"))
    return Verdict(bound["name"], value, low <= value <= high)


def _pick(points: list[dict[str, Any]], choice: Mapping[str, Any]) -> float:
    """Return the field of the one point where all of ``where`` holds."""
    wanted = choice["where"].items()
    found = [p for p in points if all(p.get(key) == value for key, value in wanted)]
    if len(found) != 1:
        raise LookupError(f"{len(found)} points for {choice}")
    return float(found[0][choice["field"]])


if __name__ == "__main__":
    typer.run(main)
