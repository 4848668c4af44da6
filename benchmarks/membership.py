"""Cost of membership for each instance at several sizes.

Each point is the mean over all processes of one fleet: quiet, then with
``--entries-per-second`` entries in the whole fleet, so that slopes against
instances, the size of a failure domain and entries can be fitted.
"""

import statistics
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import typer

from benchmarks.lib.control_fleet import Fleet
from benchmarks.lib.points import write_points


class Size(NamedTuple):
    """One fleet."""

    instances: int
    failure_domains: int


class Options(NamedTuple):
    """How long to wait and measure, in seconds, and the entries of the busy phase."""

    settle_seconds: float
    quiet_seconds: float
    busy_seconds: float
    entries_per_second: float


# The last has one failure domain of about the size to design for.
SIZES = (Size(6, 3), Size(20, 3), Size(60, 6), Size(60, 1))
COUNTERS = ("cpu_seconds", "bytes_sent", "bytes_received", "frames_sent", "frames_received")


def phase(fleet: Fleet, seconds: float) -> dict[str, Any]:
    """Return means per instance and second over ``seconds``."""
    before, started = fleet.stats(), time.monotonic()
    time.sleep(seconds)
    after, took = fleet.stats(), time.monotonic() - started
    rates = {
        f"{name}_per_second": statistics.mean(
            (b[name] - a[name]) / took for a, b in zip(before, after, strict=True)
        )
        for name in COUNTERS
    }
    cpu = rates.pop("cpu_seconds_per_second")
    return {key: round(value, 1) for key, value in rates.items()} | {
        "cpu_percent_of_a_core": round(100 * cpu, 3),
        "rss_megabytes": round(statistics.mean(s["rss_bytes"] for s in after) / 1e6, 1),
        "links_mean": round(statistics.mean(s["links"] for s in after), 2),
        "links_most": max(s["links"] for s in after),
        "entries_held": round(statistics.mean(s["entries"] for s in after), 1),
        "redials": sum(s["redials"] for s in after),
    }


def longest_silence(fleet: Fleet, domains: int) -> float:
    """Return the longest silence that any instance sees of a peer of its domain."""
    stats = fleet.stats()
    names = [node.name for node in fleet.nodes]
    return max(
        stats[a]["silent"].get(names[b], float("inf"))
        for a in range(len(names))
        for b in range(len(names))
        if a != b and a % domains == b % domains
    )


def measure(size: Size, options: Options) -> list[dict[str, Any]]:
    """Return the quiet and the busy point of one size."""
    where = size._asdict()
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(size.instances, size.failure_domains, Path(directory))
        try:
            time.sleep(options.settle_seconds)
            quiet = phase(fleet, options.quiet_seconds)
            silence = round(longest_silence(fleet, size.failure_domains), 2)
            for node in fleet.nodes:
                node.command(f"rate {options.entries_per_second / size.instances}")
            time.sleep(options.settle_seconds / 2)
            busy = phase(fleet, options.busy_seconds)
        finally:
            fleet.stop()
    return [
        where | {"entries_per_second": 0.0, "longest_silence_seconds": silence} | quiet,
        where | {"entries_per_second": options.entries_per_second} | busy,
    ]


def main(
    settle_seconds: float = 40.0,
    quiet_seconds: float = 30.0,
    busy_seconds: float = 20.0,
    entries_per_second: float = 20.0,
    largest: int = 60,
) -> None:
    """Measure every size up to ``largest`` and record the points."""
    options = Options(settle_seconds, quiet_seconds, busy_seconds, entries_per_second)
    sizes = [size for size in SIZES if size.instances <= largest]
    points = [point for size in sizes for point in measure(size, options)]
    write_points("membership", options._asdict(), points)


if __name__ == "__main__":
    typer.run(main)
