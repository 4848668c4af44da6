"""Lets most new connections of callers go to one instance for some seconds."""

import random
import time

from redwingscale_standins.soak.overlapping import run_overlapping
from redwingscale_standins.soak.world import World

LENGTH_SECONDS = (2.0, 5.0)
NEXT_SECONDS = (3.0, 8.0)
# Of the new connections, those that go to the instance; and of the requests meanwhile, those after
# which their caller opens a new connection.
MOVED_FRACTION, NEW_FRACTION = 0.9, 0.5


def move_connections(world: World, seconds: float) -> None:
    """Move connections for ``seconds``, each time to an instance that is drawn."""
    drawn = random.Random(f"moved {world.seed}")

    def move(length: float) -> None:
        node = drawn.choice(world.nodes)
        world.crowded = node
        time.sleep(length)
        if world.crowded is node:
            world.crowded = None

    run_overlapping(seconds, drawn, lambda: move, LENGTH_SECONDS, NEXT_SECONDS)
