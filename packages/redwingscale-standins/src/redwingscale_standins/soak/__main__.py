"""Runs soak seeds: ``python -m redwingscale_standins.soak --seeds 1-50``."""

import tempfile
from pathlib import Path
from typing import Annotated

import typer

from redwingscale_standins.soak.soak import play


def _seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main(
    seeds: Annotated[str, typer.Option(help="one seed, or FIRST-LAST")] = "1-5",
    seconds: Annotated[
        float, typer.Option(help="seconds in which faults are started, for each seed")
    ] = 12.0,
    instances: Annotated[int, typer.Option(help="number of instance processes")] = 4,
    logs: Annotated[
        Path | None, typer.Option(help="directory for logs, by default a new temporary one")
    ] = None,
) -> None:
    """Exit with 1 if any seed has a finding."""
    root = logs or Path(tempfile.mkdtemp(prefix="redwingscale-soak-"))
    failed = 0
    for seed in _seeds(seeds):
        directory = root / f"seed-{seed}"
        directory.mkdir(parents=True, exist_ok=True)
        outcome = play(seed, seconds, instances, directory)
        failed += bool(outcome.findings)
        print(
            f"seed={seed} requests={outcome.requests} answered={outcome.answered} "
            f"faults={outcome.faults} findings={len(outcome.findings)} logs={directory}",
            flush=True,
        )
        for finding in outcome.findings[:10]:
            print(f"  {finding}", flush=True)
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
