"""Cost of membership for each instance at several sizes; prints JSON points.

Each point is the mean over all processes of one fleet: quiet, then with
``--entries-per-second`` entries in the whole fleet, so that slopes against
instances, the size of a failure domain and entries can be fitted.
"""

import argparse
import json
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

from control_fleet import Fleet, machine

# Instances and failure domains; the last is one domain of the size to design for.
POINTS = ((6, 3), (20, 3), (60, 6), (60, 1))
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


def measure(count: int, domains: int, options: argparse.Namespace) -> dict[str, Any]:
    """Return one point."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(count, domains, Path(directory))
        try:
            time.sleep(options.settle_seconds)
            quiet = phase(fleet, options.quiet_seconds)
            silence = longest_silence(fleet, domains)
            for node in fleet.nodes:
                node.command(f"rate {options.entries_per_second / count}")
            time.sleep(options.settle_seconds / 2)
            busy = phase(fleet, options.busy_seconds)
        finally:
            fleet.stop()
    return {
        "instances": count,
        "failure_domains": domains,
        "longest_silence_seconds": round(silence, 2),
        "quiet": quiet,
        "busy": busy | {"entries_per_second": options.entries_per_second},
    }


def main() -> None:
    """Measure every point and print them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settle-seconds", type=float, default=40.0)
    parser.add_argument("--quiet-seconds", type=float, default=30.0)
    parser.add_argument("--busy-seconds", type=float, default=20.0)
    parser.add_argument("--entries-per-second", type=float, default=20.0)
    parser.add_argument("--points", type=int, nargs="*", default=range(len(POINTS)))
    options = parser.parse_args()
    points = [measure(*POINTS[index], options) for index in options.points]
    print(json.dumps(machine() | {"benchmark": "membership", "points": points}, indent=2))


main()
