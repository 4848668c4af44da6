"""Model workers that fall over if they have to reject too many requests."""

import random
import time
from typing import NamedTuple

from redwingscale_standins.soak.world import WorkerHost, World

SHORTEST_SECONDS = 5.0
LONGEST_SECONDS = 9.0
# From the notice until the worker may let fewer requests run.
NOTICE_SECONDS = 3.0
REJECTIONS = (4, 8)
ROOM = (4, 8)
UNDISTURBED_SECONDS = 4.0
MOST_FALLS = 2


class BrittlePeriod(NamedTuple):
    """A period in which one worker was brittle; ``undisturbed`` as in other periods."""

    worker: str
    falls: int
    undisturbed: bool


def make_brittle(world: World, host: WorkerHost, rng: random.Random) -> None:
    """Make a worker brittle for some seconds, and give it little room."""
    worker = host.worker
    calm = world.announced_late_at() < time.monotonic() - UNDISTURBED_SECONDS
    with world.disturbance.during():
        faults = world.disturbance.begun + world.slow_paths.begun
        worker.brittle = rng.choice(REJECTIONS)
        time.sleep(NOTICE_SECONDS)
        before = len(worker.falls)
        worker.room = rng.choice(ROOM)
        time.sleep(rng.uniform(SHORTEST_SECONDS, LONGEST_SECONDS))
        falls = len(worker.falls) - before
        undisturbed = calm and world.disturbance.begun + world.slow_paths.begun == faults
        world.brittle_periods.append(BrittlePeriod(worker.id, falls, undisturbed))
        worker.room = worker.brittle = None


def check_brittle(world: World) -> None:
    """Add a finding for a brittle worker that fell over too often."""
    for period in world.brittle_periods:
        if period.undisturbed and period.falls > MOST_FALLS:
            world.ledger.add_finding("brittle", f"{period.worker} fell over {period.falls} times")
