"""Plays the modes from the command line, one after another, and prints their figures."""

import tempfile
from pathlib import Path

import typer

from redwingscale_standins.arrivals.play import Play, play

MODES = {
    "doubled": Play(40, 80),
    "more": Play(80, 160),
    "most": Play(150, 300),
    "wide": Play(150, 300, request_threads=160),
    "even": Play(150, 300, crowded_share=0.0),
    "threads": Play(18, 36, events=75, request_threads=20),
    "stopped": Play(40, 80, stop_after_seconds=4.0),
}
app = typer.Typer()


@app.command()
def main(modes: list[str], keep: Path | None = None) -> None:
    """Play MODES; with --keep, the logs stay in a directory."""
    for name in modes:
        with tempfile.TemporaryDirectory() as temporary:
            directory = (keep or Path(temporary)) / name
            directory.mkdir(parents=True)
            typer.echo(f"{name}: {play(MODES[name], directory).describe()}")


if __name__ == "__main__":
    app()
