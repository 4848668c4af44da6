"""Watches a version come into force, instance by instance."""

import time
from typing import NamedTuple

from redwingscale_cli._internal.cli.output import print_progress
from redwingscale_cli._internal.network.operators_client import OperatorsClient

POLL_SECONDS = 0.25


class Spread(NamedTuple):
    """Where a version is in force after ``seconds``; ``behind`` lists the others."""

    version: int
    seconds: float
    in_force: list[str]
    behind: list[str]


def watch_until_in_force(client: OperatorsClient, version: int, wait_seconds: float) -> Spread:
    """Poll until ``version`` is in force at every listed instance or the time is up."""
    started = time.monotonic()
    shown: set[str] = set()
    while True:
        spread = _spread(client, version, time.monotonic() - started)
        for instance in sorted(set(spread.in_force) - shown):
            print_progress(f"version {version} in force at {instance}")
        shown |= set(spread.in_force)
        if not spread.behind or spread.seconds >= wait_seconds:
            return spread
        time.sleep(POLL_SECONDS)


def _spread(client: OperatorsClient, version: int, seconds: float) -> Spread:
    versions = client.get("/configuration/in-force")
    ahead = sorted(i for i, known in versions.items() if known >= version)
    behind = sorted(i for i, known in versions.items() if known < version)
    return Spread(version, round(seconds, 3), ahead, behind)
