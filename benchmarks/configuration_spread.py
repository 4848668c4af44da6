"""Time from `apply` to in force everywhere.

Real processes that run board, mesh and configuration, one platform stand-in.
Checks that no instance ever went back, by every instance's observed sequence.
"""

import json
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import typer
from redwingscale_daemon._internal.configuration.store import Applied, ConfigurationStore
from redwingscale_daemon._internal.settings.settings import PlatformSettings
from redwingscale_daemon._internal.store.store import connect_platform

from benchmarks.lib.control_fleet import Fleet
from benchmarks.lib.points import write_points

# Instances and failure domains.
SIZES = ((6, 3), (60, 6))
AIM_SECONDS = 3.0
BOUND_SECONDS = 14.0
SIZE_BYTES = 16_000_000_000


class Options(NamedTuple):
    """Waits in seconds, number of versions, size of the text."""

    settle_seconds: float
    pause_seconds: float
    applies: int
    models: int


def text_of(models: int, change: int) -> str:
    """Return a text of ``models`` models; ``change`` tells one version from another."""
    listed = {
        f"model-{n}": {
            "serving": "v1",
            "versions": {"v1": {"size_bytes": SIZE_BYTES}},
            "adapters": {f"adapter-{a}": {"size_bytes": 50_000_000} for a in range(3)},
        }
        for n in range(models)
    }
    service = {"kind": "model", "callers": ["c"], "depends_on": [{"model": m} for m in listed]}
    value = {
        "deployment": "benchmark",
        "callers": {"c": {"token_sha256": "a" * 64, "share": change}},
        "models": listed,
        "services": {"s": service},
    }
    return json.dumps(value, indent=2)


def measure(size: tuple[int, int], options: Options) -> dict[str, Any]:
    """Return one point: spread of each of ``--applies`` versions."""
    count, domains = size
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(count, domains, Path(directory))
        try:
            time.sleep(options.settle_seconds)
            accepted_at = apply_all(fleet, options)
            sequences = [stats["versions"] for stats in fleet.stats()]
            counts = fleet.platform_counts()
        finally:
            fleet.stop()
    spreads = [spread(sequences, version, at) for version, at in accepted_at.items()]
    return {
        "instances": count,
        "failure_domains": domains,
        "models": options.models,
        "text_bytes": len(text_of(options.models, 1)),
        "applies": len(spreads),
        "seconds_median": round(statistics.median(spreads), 3),
        "seconds_worst": round(max(spreads), 3),
        "instances_that_went_back": sum(not only_rises(s) for s in sequences),
        "platform": counts,
    }


def apply_all(fleet: Fleet, options: Options) -> dict[int, float]:
    """Apply version after version; return when each apply was begun."""
    store = ConfigurationStore(connect_platform(PlatformSettings(fleet.platform_url, 5.0), "bench"))
    begun_at: dict[int, float] = {}
    for version in range(1, options.applies + 1):
        begun_at[version] = time.monotonic()
        outcome = store.apply(text_of(options.models, version), version - 1, "bench")
        assert isinstance(outcome, Applied), outcome
        time.sleep(options.pause_seconds)
    time.sleep(BOUND_SECONDS)
    return begun_at


def spread(sequences: list[list[tuple[int, float]]], version: int, begun_at: float) -> float:
    """Return the seconds until ``version`` or a later one was in force everywhere."""
    reached = [min((at for v, at in s if v >= version), default=float("inf")) for s in sequences]
    return max(reached) - begun_at


def only_rises(sequence: list[tuple[int, float]]) -> bool:
    """Return whether every version in force was above the one before."""
    versions = [version for version, _ in sequence]
    return versions == sorted(set(versions))


def main(
    settle_seconds: float = 15.0,
    pause_seconds: float = 4.3,
    applies: int = 8,
    models: int = 860,
    largest: int = 60,
) -> None:
    """Measure every size up to ``largest``; exit 1 past the bound or when one went back."""
    options = Options(settle_seconds, pause_seconds, applies, models)
    points = [measure(size, options) for size in SIZES if size[0] <= largest]
    parameters = options._asdict() | {"aim_seconds": AIM_SECONDS, "bound_seconds": BOUND_SECONDS}
    write_points("configuration_spread", parameters, points)
    worst = max(p["seconds_worst"] for p in points)
    if worst > BOUND_SECONDS or any(p["instances_that_went_back"] for p in points):
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
