"""Waits until a configuration version is in force at all instances."""

import time
from typing import NamedTuple

from redwingscale_cli._internal.cli.output import print_progress
from redwingscale_cli._internal.network.operators_client import OperatorsClient

POLL_SECONDS = 0.25


class Rollout(NamedTuple):
    """The instances where a version is in force after ``seconds``; ``behind`` lists the others."""

    version: int
    seconds: float
    in_force: list[str]
    behind: list[str]


def watch_until_in_force(client: OperatorsClient, version: int, wait_seconds: float) -> Rollout:
    """Poll until ``version`` is in force at every listed instance or ``wait_seconds`` have passed."""
    started = time.monotonic()
    shown: set[str] = set()
    while True:
        rollout = _read_rollout(client, version, time.monotonic() - started)
        for instance in sorted(set(rollout.in_force) - shown):
            print_progress(f"version {version} in force at {instance}")
        shown |= set(rollout.in_force)
        if not rollout.behind or rollout.seconds >= wait_seconds:
            return rollout
        time.sleep(POLL_SECONDS)


def _read_rollout(client: OperatorsClient, version: int, seconds: float) -> Rollout:
    versions = client.get("/configuration/in-force")
    in_force = sorted(i for i, current in versions.items() if current >= version)
    behind = sorted(i for i, current in versions.items() if current < version)
    return Rollout(version, round(seconds, 3), in_force, behind)
