"""Runs many random histories of owners and one engine; fails on any violation.

``python -m benchmarks.ledger_histories --histories 10000 --processes 3``
"""

import itertools
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

import typer
from loguru import logger
from redwingscale_standins.histories.history import Judgement, run_history
from redwingscale_standins.histories.world import LIMIT_BYTES

from benchmarks.lib.points import write_points

CHUNK = 50


def judge(first: int, last: int) -> list[Judgement]:
    """Run the histories of the seeds from ``first`` up to ``last``."""
    logger.remove()
    return [run_history(seed) for seed in range(first, last)]


def main(histories: int = 10_000, first_seed: int = 0, processes: int = 3) -> None:
    """Write ``results/ledger_histories.json``; exit with 1 when a history was violated or did not converge."""
    started = time.monotonic()
    starts = range(first_seed, first_seed + histories, CHUNK)
    ends = [min(start + CHUNK, first_seed + histories) for start in starts]
    with ProcessPoolExecutor(processes) as pool:
        judged = list(itertools.chain(*pool.map(judge, starts, ends)))
    violated = list(_violated(judged))
    stuck = [j.seed for j in judged if not j.converged]
    point = {
        "histories": len(judged),
        "orders": sum(j.orders_sent for j in judged),
        "highest_peak_bytes": max(j.peak_bytes for j in judged),
        "limit_bytes": LIMIT_BYTES,
        "violations": len(violated),
        "violated": violated,
        "stuck": len(stuck),
        "not_converged": stuck,
        "seconds": round(time.monotonic() - started, 1),
    }
    write_points("ledger_histories", {"first_seed": first_seed, "processes": processes}, [point])
    raise typer.Exit(int(bool(violated or stuck)))


def _violated(judged: list[Judgement]) -> Iterator[tuple[int, str]]:
    for judgement in judged:
        if judgement.violations:
            yield judgement.seed, judgement.violations[0]


if __name__ == "__main__":
    typer.run(main)
