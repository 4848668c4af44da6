"""Plays streams on new connections, most of which go to one instance for some seconds."""

import itertools
import random
import threading
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

from redwingscale_standins.arrivals.rule import Arrival, Attempt, first_read_served, read_ids, share
from redwingscale_standins.hosted.instance_process import InstanceProcess
from redwingscale_standins.parts.world import PartWorld
from redwingscale_standins.versions.caller import Habits, Try, request_once

CALLER_THREADS = 1000
# From this time after the connections moved, the promise holds.
SETTLED_SECONDS = 3.0
RETRY_PAUSE_SECONDS = 0.05
PATIENCE_SECONDS = 6.0


class Play(NamedTuple):
    """Streams at a rate that rises as most new connections go to one instance.

    ``crowded_share`` of them go to it from ``even_seconds`` on, for ``crowded_seconds``. Its
    process is stopped after ``stop_after_seconds`` of these, None for never; another one follows.
    """

    even_per_second: float
    crowded_per_second: float
    crowded_share: float = 0.9
    even_seconds: float = 6.0
    crowded_seconds: float = 9.0
    events: int = 3
    instances: int = 6
    workers: int = 6
    request_threads: int = 32
    stop_after_seconds: float | None = None


class Result(NamedTuple):
    """What callers saw; ``read`` are the ids of the tries that an instance has read."""

    plan: Play
    arrivals: list[Arrival]
    tries: list[Try]
    read: set[str]

    @property
    def share_before(self) -> float:
        """The part served at the first try that was read, while connections were spread evenly."""
        return self._share(0.0, self.plan.even_seconds)

    @property
    def share_crowded(self) -> float:
        """The same for requests while most connections went to one instance."""
        begin = self.plan.even_seconds
        return self._share(begin + SETTLED_SECONDS, begin + self.plan.crowded_seconds)

    @property
    def served_crowded(self) -> float:
        """The part of the same requests that were served at any try."""
        begin = self.plan.even_seconds
        sent = self._between(begin + SETTLED_SECONDS, begin + self.plan.crowded_seconds)
        return share([any(try_.served for try_ in one.attempts) for one in sent])

    def describe(self) -> str:
        """Return the figures in one line."""
        statuses = Counter(one.status for one in self.tries)
        firsts = [one.first_event_seconds for one in self.tries if one.first_event_seconds]
        return (
            f"before={self.share_before:.3f} crowded={self.share_crowded:.3f} "
            f"served={self.served_crowded:.3f} requests={len(self.arrivals)} "
            f"tries={dict(statuses)} unread={len(self.tries) - len(self.read)} "
            f"first_event_max={max(firsts, default=0.0):.2f}"
        )

    def _between(self, begin: float, end: float) -> list[Arrival]:
        return [one for one in self.arrivals if begin <= one.at < end]

    def _share(self, begin: float, end: float) -> float:
        return share(first_read_served(self._between(begin, end), self.read))


def play(plan: Play, directory: Path, seed: int = 1) -> Result:
    """Play ``plan`` on processes of its own, whose logs are kept in ``directory``."""
    world = PartWorld(directory, plan.workers)
    try:
        world.start_instances(plan.instances, request_threads=plan.request_threads)
        arrivals, tries = _Run(plan, world, seed).result()
    finally:
        world.stop()
    return Result(plan, arrivals, tries, read_ids(one.log for one in world.instances))


class _Run:
    def __init__(self, plan: Play, world: PartWorld, seed: int) -> None:
        self._plan, self._world = plan, world
        self._drawn = random.Random(seed)
        self._habits = Habits(events=plan.events, patience_seconds=PATIENCE_SECONDS)
        self._arrivals: list[Arrival] = []
        self._tries: list[Try] = []
        self._crowded = 0

    def result(self) -> tuple[list[Arrival], list[Try]]:
        plan = self._plan
        began_at = time.monotonic()
        stop = threading.Event()
        if plan.stop_after_seconds is not None:
            threading.Thread(
                target=self._stop_crowded,
                args=(plan.even_seconds + plan.stop_after_seconds, stop),
                daemon=True,
            ).start()
        with ThreadPoolExecutor(CALLER_THREADS) as callers:
            for number, at in enumerate(self._times()):
                time.sleep(max(0.0, began_at + at - time.monotonic()))
                crowded = at >= plan.even_seconds and self._drawn.random() < plan.crowded_share
                first = self._crowded if crowded else self._drawn.randrange(plan.instances)
                callers.submit(self._send, number, at, first, self._drawn.random())
        stop.set()
        return self._arrivals, self._tries

    def _times(self) -> Iterator[float]:
        plan, at = self._plan, 0.0
        while at < plan.even_seconds + plan.crowded_seconds:
            yield at
            at += 1 / (plan.even_per_second if at < plan.even_seconds else plan.crowded_per_second)

    def _send(self, number: int, at: float, first: int, drawn: float) -> None:
        """Send one request, and try again at other instances until it is served."""
        ends_at = time.monotonic() + PATIENCE_SECONDS
        others = [one for one in self._world.instances if one is not self._world.instances[first]]
        random.Random(drawn).shuffle(others)
        order: Iterator[InstanceProcess] = itertools.cycle([self._world.instances[first], *others])
        attempts: list[Attempt] = []
        for instance in order:
            habits = self._habits._replace(patience_seconds=ends_at - time.monotonic())
            if habits.patience_seconds <= 0.0 or (attempts and attempts[-1].served):
                break
            name = f"r{number}.{len(attempts)}"
            made = request_once(instance, name, f"{number}".encode(), {}, habits)
            served = made.status == 200 and len(made.pieces) == self._plan.events
            attempts.append(Attempt(name, served))
            self._tries.append(made)
            time.sleep(0.0 if served else RETRY_PAUSE_SECONDS)
        self._arrivals.append(Arrival(at, attempts))

    def _stop_crowded(self, seconds: float, ended: threading.Event) -> None:
        if not ended.wait(seconds):
            left, self._crowded = self._world.instances[self._crowded], self._crowded + 1
            left.end()
