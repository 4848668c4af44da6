"""Plays the modes from the command line, one after another, and prints their figures."""

import tempfile
from pathlib import Path

import typer

from redwingscale_standins.parts.faults import (
    BadRequests,
    InstanceKills,
    StoreAway,
    WorkerKills,
)
from redwingscale_standins.parts.play import FIRST_PARTS, Play, Result, play
from redwingscale_standins.parts.rule import (
    KNOWN_SECONDS,
    MOST_ENDS,
    PAGES_ENDS,
    PAGES_SECONDS,
)

MODES = {
    "part": Play((BadRequests(),)),
    "third": Play((BadRequests(place=2),)),
    "first": Play((BadRequests(place=0),)),
    "two": Play((BadRequests(parts=2),)),
    "burst": Play((BadRequests(every_seconds=4.0, at_once=8),)),
    "rare": Play((BadRequests(every_seconds=2.0, to_seconds=24.0),)),
    "often": Play((BadRequests(every_seconds=0.05),)),
    "young": Play((BadRequests(), InstanceKills())),
    "noise": Play((BadRequests(), WorkerKills())),
    "store-away": Play((BadRequests(), StoreAway())),
    "ended": Play((WorkerKills(8.0, at_once=4, most=4),), FIRST_PARTS[:1]),
}
app = typer.Typer()


def figures(result: Result) -> str:
    """Return the figures that the rules name, for each part that came."""
    late = {
        part: (
            len(result.ledger.late_runs(part, MOST_ENDS, KNOWN_SECONDS)),
            len(result.ledger.late_runs(part, PAGES_ENDS, PAGES_SECONDS)),
        )
        for part in result.bad_parts
    }
    begin = result.began_at
    same = [
        f"{result.began_share(begin + since, begin + until, FIRST_PARTS[0]):.2f}"
        for since, until in ((0.0, 4.0), (4.0, 7.0), (7.0, 30.0))
    ]
    return f"late={late} same_first_part_began={same} {result.describe()}"


@app.command()
def main(modes: list[str], keep: Path | None = None) -> None:
    """Play MODES; with --keep, the logs stay in a directory."""
    for name in modes:
        with tempfile.TemporaryDirectory() as temporary:
            directory = (keep or Path(temporary)) / name
            directory.mkdir(parents=True)
            typer.echo(f"{name}: {figures(play(MODES[name], directory))}")


if __name__ == "__main__":
    app()
