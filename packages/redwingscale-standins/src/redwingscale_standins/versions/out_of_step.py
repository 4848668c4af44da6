"""Plays streams that are taken up at an instance which is out of step as a version joins."""

import signal
import threading
import time
from collections import Counter
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

from redwingscale_standins.hosted.instance_process import InstanceProcess
from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.versions.caller import Habits, Held, hold_stream
from redwingscale_standins.versions.cut import Cut, write_cut
from redwingscale_standins.versions.play import CALLER_THREADS, Result
from redwingscale_standins.versions.world import FIRST, OTHER, VersionWorld

PER_SECOND = 24.0
SOFTWARE = (FIRST, FIRST, OTHER, OTHER)
# Callers leave each instance at once, to go on at the one that is out of step.
HABITS = Habits(leave_after=4, pause_seconds=0.0, patience_seconds=5.0)
# From the cut to the listing of the new version: the process reads its cut each 0.02 s.
SETTLE_SECONDS = 0.2
# How long the new version serves if it leaves again.
SERVES_SECONDS = 1.3


class Way(NamedTuple):
    """How an instance is out of step for ``seconds`` while workers of a new version join.

    It is cut off from other ``instances``, from the ``store``, loses the part ``lost`` of all
    datagrams, or stands still if ``stopped``. A worker may end as it comes back, and the
    instance at which streams begin may be killed before, which loses datagrams as well. With
    ``leaves_again``, the new version is gone before the instance is back. With ``leader``, the
    instance leads the others before.
    """

    instances: bool = False
    store: bool = False
    lost: float = 0.0
    stopped: bool = False
    worker_ends: bool = False
    beginner_killed: bool = False
    leaves_again: bool = False
    leader: bool = False
    seconds: float = 2.5


class Across(NamedTuple):
    """What callers hold, and what the instance out of step did with streams of others."""

    result: Result
    # Streams of the new version that it was asked for, and those that it went on with.
    asked: int
    went_on: int

    def describe(self) -> str:
        """Return the figures in one line."""
        first = Counter(one.pieces[0].software for one in self.result.begun)
        return (
            f"asked={self.asked} went_on={self.went_on} began={dict(first)} "
            + self.result.describe()
        )


def play_out_of_step(way: Way, directory: Path) -> Across:
    """Play one way on processes of its own, whose logs are kept in ``directory``."""
    world = VersionWorld(directory, SOFTWARE, unlisted=(OTHER,), cuttable=True)
    try:
        world.start_instances(3)
        return _Run(way, world, directory).result()
    finally:
        world.stop()


class _Run:
    def __init__(self, way: Way, world: VersionWorld, directory: Path) -> None:
        self._way, self._world, self._directory = way, world, directory
        leader = world.rows.value("redwingscale", "order-giver")["instance"]
        led = next(one for one in world.instances if one.name == leader)
        follower, other = (one for one in world.instances if one is not led)
        self._beginner, self._late, third = (
            (follower, led, other) if way.leader else (follower, other, led)
        )
        self._order = [self._beginner, self._late, third]
        self._new = [one for one in world.places if one.worker.software == OTHER]

    def result(self) -> Across:
        held: list[Future[Held]] = []
        ended = threading.Event()
        with ThreadPoolExecutor(CALLER_THREADS) as callers:
            begins = threading.Thread(target=self._begin, args=(callers, held, ended))
            begins.start()
            try:
                self._fail()
            finally:
                ended.set()
                begins.join()
        made = [one.result() for one in held]
        taken = [one for one in made if _began_at(one, OTHER) and len(one.tries) > 1]
        went_on = sum(bool(one.tries[1].pieces) for one in taken)
        return Across(Result(made), len(taken), went_on)

    def _begin(
        self, callers: ThreadPoolExecutor, held: list[Future[Held]], ended: threading.Event
    ) -> None:
        while not ended.wait(1 / PER_SECOND):
            name = f"s{len(held)}"
            held.append(callers.submit(hold_stream, name, 0, self._order, HABITS))

    def _fail(self) -> None:
        way, late = self._way, self._late
        if way.beginner_killed:
            self._cut(self._beginner, Cut(lost=way.lost))
        self._cut(late, Cut(way.instances, way.store, way.lost))
        if way.stopped:
            late.process.send_signal(signal.SIGSTOP)
        time.sleep(SETTLE_SECONDS)
        back_at = time.monotonic() + way.seconds
        for one in self._new:
            one.list()
        if way.beginner_killed:
            until(self._has_new_streams, "streams of the new version")
            self._beginner.end()
        if way.leaves_again:
            time.sleep(SERVES_SECONDS)
            for one in self._new:
                one.end()
        time.sleep(max(0.0, back_at - time.monotonic()))
        if way.worker_ends:
            self._new[0].end()
        if way.stopped:
            late.process.send_signal(signal.SIGCONT)
        self._cut(late, Cut(lost=way.lost))
        time.sleep(1.0)

    def _has_new_streams(self) -> bool:
        return f"software={OTHER} " in self._beginner.log.read_text()

    def _cut(self, instance: InstanceProcess, cut: Cut) -> None:
        open_ports = [*instance.ports, *(one.link.port for one in self._world.places)]
        whole = cut._replace(store_port=self._world.store_port, open_ports=tuple(open_ports))
        write_cut(self._directory / f"{instance.name}.json", whole)


def _began_at(held: Held, software: str) -> bool:
    return bool(held.pieces) and held.pieces[0].software == software
