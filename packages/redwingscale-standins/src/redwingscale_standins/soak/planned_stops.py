"""Planned stops one after another, of young instances too."""

import itertools
import random
import signal
import subprocess
import time
from collections.abc import Callable

from redwingscale_standins.soak.world import Node, World

# The youngest instance that is stopped: users' records show stops 2.7 s after a start.
YOUNGEST_SECONDS = 2.5
PAUSE_SECONDS = (0.2, 1.5)
POLL_SECONDS = 0.05
# Between SIGTERM and the signals that follow it.
NEXT_SIGNAL_SECONDS = 0.4
AGAIN = ((), (signal.SIGHUP,), (signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM))


def play_stops(
    world: World,
    seconds: float,
    take: Callable[[Node], bool],
    stop: Callable[[Node, tuple[signal.Signals, ...]], None],
) -> None:
    """Stop each instance in turn for ``seconds``, as soon as it may be and is old enough.

    Drawn apart from the other faults, so that those of a seed stay the same. ``take`` tells
    whether the instance may go down, ``stop`` also gets the signals that follow SIGTERM.
    """
    drawn = random.Random(f"stops {world.seed}")
    end = time.monotonic() + seconds
    for node in itertools.cycle(world.nodes):
        while time.monotonic() < node.started_at + YOUNGEST_SECONDS or not take(node):
            if time.monotonic() > end:
                return
            time.sleep(POLL_SECONDS)
        stop(node, drawn.choice(AGAIN))
        time.sleep(drawn.uniform(*PAUSE_SECONDS))


def signal_again(process: subprocess.Popen[bytes], again: tuple[signal.Signals, ...]) -> None:
    """Send the signals that follow SIGTERM."""
    for one in again:
        time.sleep(NEXT_SIGNAL_SECONDS)
        process.send_signal(one)
