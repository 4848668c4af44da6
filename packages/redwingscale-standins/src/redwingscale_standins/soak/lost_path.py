"""Instances that lose their path to all workers for some seconds."""

import random
import time
from typing import NamedTuple

from redwingscale_standins.soak.process_paths import PathFault
from redwingscale_standins.soak.world import Node, World

SHORTEST_CUT_SECONDS = 5.0
LONGEST_CUT_SECONDS = 9.0
# From this time after the begin of a cut, callers are served; one second is tolerance.
CONTACT_SECONDS = 4.0
# Requests sent shortly before the end of a cut may be served because it ends.
LAST_SECONDS = 0.5
UNDISTURBED_SECONDS = 4.0
LEAST_RATIO = 2 / 3
LEAST_REQUESTS = 15
KINDS = frozenset({"stream", "once", "safe"})


class PathCut(NamedTuple):
    """A cut of one instance; ``undisturbed`` if no other unplanned fault was near."""

    instance: str
    begun_at: float
    ended_at: float
    undisturbed: bool


def cut_path(world: World, node: Node, rng: random.Random) -> None:
    """Cut an instance off from all workers for some seconds."""
    fault = rng.choice([*PathFault])
    calm = world.disturbance.last_at < time.monotonic() - UNDISTURBED_SECONDS
    process = node.process.process.pid
    with world.disturbance.during():
        faults, begun_at = world.disturbance.begun, time.monotonic()
        resets = fault is PathFault.RESET
        with world.ledger.breaking(*([process] if resets else [])):
            world.paths.cut(process, fault)
            for host in list(world.worker_hosts.values()) if resets else ():
                host.link.reset_cut()
        time.sleep(rng.uniform(SHORTEST_CUT_SECONDS, LONGEST_CUT_SECONDS))
        undisturbed = calm and world.disturbance.begun == faults
        world.path_cuts.append(PathCut(node.name, begun_at, time.monotonic(), undisturbed))
        world.paths.heal(process)


def check_path_cuts(world: World) -> None:
    """Add a finding for an instance that served its callers much less often than the others."""
    for cut in world.path_cuts:
        if not cut.undisturbed:
            continue
        counted = [
            result
            for result in world.ledger.results
            if result.kind in KINDS
            and not result.disconnected
            and cut.begun_at + CONTACT_SECONDS < result.sent_at < cut.ended_at - LAST_SECONDS
        ]
        there = [one.status == 200 for one in counted if one.instance == cut.instance]
        others = [one.status == 200 for one in counted if one.instance != cut.instance]
        if len(there) < LEAST_REQUESTS or not others:
            continue
        if sum(there) / len(there) < LEAST_RATIO * sum(others) / len(others):
            detail = f"{cut.instance} served {sum(there)} of {len(there)} without a path"
            context = f"the others {sum(others)} of {len(others)}"
            world.ledger.add_finding("path", f"{detail}, {context}")
