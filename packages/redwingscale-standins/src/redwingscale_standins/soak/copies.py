"""A store that goes away and comes back from an older copy, several times in a row."""

import random
import time

from redwingscale_standins.soak.world import World

# How old a copy is, how long the store is away before, and until the operator and the
# workers write again what it lacks.
COPY_SECONDS = (0.5, 8.0)
AWAY_SECONDS = (0.1, 3.0)
WRITE_AGAIN_SECONDS = (0.1, 1.5)
# Between two copies; some come right after each other.
PAUSE_SECONDS = (0.3, 6.0)
# Other writers count so many versions that the copy's ones stay below the former ones for long.
MOST_LOST_VERSIONS = 400


def play_copies(world: World, seconds: float) -> None:
    """Let the store come back from copies for ``seconds``, drawn apart from the other faults."""
    drawn = random.Random(f"copies {world.seed}")
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for number in range(drawn.choice((0, MOST_LOST_VERSIONS))):
            world.rows.put("other", "counter", number)
        time.sleep(drawn.uniform(*PAUSE_SECONDS))
        with world.store_disturbance.during(), world.disturbance.during():
            world.rows.down = True
            time.sleep(drawn.uniform(*AWAY_SECONDS))
            lost = world.rows.restore(drawn.uniform(*COPY_SECONDS))
            world.rows.down = False
            time.sleep(drawn.uniform(*WRITE_AGAIN_SECONDS))
            world.rows.write_again(lost)
