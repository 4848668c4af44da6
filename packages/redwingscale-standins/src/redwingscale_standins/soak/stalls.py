"""Sound workers that pause in mid-stream, slow paths, and versions in series beside them."""

import random
import time
from collections.abc import Callable
from functools import partial

from redwingscale_standins.hosted.model_worker import StreamPause
from redwingscale_standins.soak.world import MODEL_SERVICE, WorkerHost, World

# A run that is preempted for memory is silent for so long before it goes on.
SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS = 1.0, 4.0
MAX_EVENTS_BEFORE_PAUSE = 6
# Of the bytes in flight from a worker.
SHORTEST_DELAY_SECONDS, LONGEST_DELAY_SECONDS = 0.2, 1.0
# How long runs pause, or a path is slow, and the time until the next such period begins.
SHORTEST_SECONDS, LONGEST_SECONDS = 3.0, 6.0
SHORTEST_GAP_SECONDS, LONGEST_GAP_SECONDS = 1.0, 3.0
VERSION_SECONDS = 0.8

Begin = Callable[[str, Callable[[], None]], None]


def play_stalls(world: World, seconds: float, begin: Begin) -> None:
    """Begin one period after another, which may overlap, for ``seconds``.

    Drawn apart from the other faults, so that those of a seed stay the same.
    """
    drawn = random.Random(f"stalls {world.seed}")
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        period_seconds = drawn.uniform(SHORTEST_SECONDS, LONGEST_SECONDS)
        drawn.choice((_begin_pauses, _begin_delay))(world, drawn, period_seconds, begin)
        if drawn.random() < 0.5:
            begin("versions in series", partial(_write_series, world, period_seconds))
        time.sleep(drawn.uniform(SHORTEST_GAP_SECONDS, LONGEST_GAP_SECONDS))


def _begin_pauses(world: World, drawn: random.Random, seconds: float, begin: Begin) -> None:
    every, after_events = drawn.choice((1, 2)), drawn.randint(1, MAX_EVENTS_BEFORE_PAUSE)
    silent_seconds = drawn.uniform(SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS)
    pause = StreamPause(silent_seconds, after_events, every)
    hosts = [host for host in world.worker_hosts.values() if host.service == MODEL_SERVICE]
    hosts = _one_or_all(hosts, drawn)

    def fault() -> None:
        for host in hosts:
            host.worker.pause = pause
        time.sleep(seconds)
        for host in hosts:
            host.worker.pause = None

    begin(f"{_names(hosts)} pause in mid-stream {seconds:.2f}: {pause}", fault)


def _begin_delay(world: World, drawn: random.Random, seconds: float, begin: Begin) -> None:
    delay_seconds = drawn.uniform(SHORTEST_DELAY_SECONDS, LONGEST_DELAY_SECONDS)
    hosts = _one_or_all([*world.worker_hosts.values()], drawn)

    def fault() -> None:
        with world.slow_paths.during():
            for host in hosts:
                host.link.delay_from_seconds = delay_seconds
            time.sleep(seconds)
            for host in hosts:
                host.link.delay_from_seconds = 0.0

    begin(f"path from {_names(hosts)} is slow {seconds:.2f}: {delay_seconds:.2f}", fault)


def _one_or_all(hosts: list[WorkerHost], drawn: random.Random) -> list[WorkerHost]:
    return hosts if drawn.random() < 0.5 or not hosts else [drawn.choice(hosts)]


def _names(hosts: list[WorkerHost]) -> str:
    return ", ".join(host.worker.id for host in hosts)


def _write_series(world: World, seconds: float) -> None:
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        world.change_configuration()
        time.sleep(VERSION_SECONDS)
