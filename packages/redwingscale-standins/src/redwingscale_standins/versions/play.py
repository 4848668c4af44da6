"""Plays streams whose callers take them up again beside workers of two software versions."""

import itertools
import threading
import time
from collections import Counter
from collections.abc import Collection, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

from redwingscale_standins.hosted.instance_process import InstanceProcess
from redwingscale_standins.hosted.model_worker import StreamPause
from redwingscale_standins.soak.process_paths import PathFault
from redwingscale_standins.versions.caller import Habits, Held, hold_stream
from redwingscale_standins.versions.faults import (
    CutPaths,
    Fault,
    Kills,
    Resets,
    RollingUpdate,
    RowLoss,
    Silences,
    StoreAway,
    VersionForgotten,
    VersionGone,
    WorkerEnds,
)
from redwingscale_standins.versions.rule import has_gap, mixed_streams
from redwingscale_standins.versions.world import FIRST, OTHER, VersionWorld

CALLER_THREADS = 96
# Longer than a stream may be silent.
FOR_GOOD_SECONDS = 30.0


class Play(NamedTuple):
    """Streams that begin at a steady rate beside ``faults``, at all instances in turn."""

    faults: tuple[Fault, ...] = ()
    habits: Habits = Habits()
    software: Sequence[str] = (FIRST, FIRST, FIRST, OTHER, OTHER, OTHER)
    # Workers that hold another model at first.
    without_model: Collection[int] = ()
    # Versions whose workers are not listed at first.
    unlisted: Collection[str] = ()
    instances: int = 6
    per_second: float = 12.0
    seconds: float = 16.0


class Result(NamedTuple):
    """What callers hold."""

    held: list[Held]

    @property
    def begun(self) -> list[Held]:
        """The streams of which a caller holds an event."""
        return [one for one in self.held if one.pieces]

    @property
    def mixed(self) -> int:
        """How many streams hold events of several software versions."""
        return len(mixed_streams(one.pieces for one in self.held))

    @property
    def gaps(self) -> int:
        """How many streams lack an event, or have one twice."""
        return sum(has_gap(one.pieces) for one in self.held)

    @property
    def taken_up(self) -> int:
        """How many streams callers have taken up again."""
        return sum(one.taken_up for one in self.held)

    @property
    def went_on(self) -> int:
        """How many of these went on."""
        return sum(one.went_on for one in self.held)

    @property
    def first_event_ms(self) -> float:
        """The mean time to the first event of new streams."""
        times = [
            one.tries[0].first_event_seconds
            for one in self.begun
            if one.tries[0].first_event_seconds is not None
        ]
        return sum(times) / max(1, len(times)) * 1000

    def describe(self) -> str:
        """Return the figures in one line."""
        statuses = Counter(try_.status for one in self.held for try_ in one.tries if try_.resumed)
        whole = sum(one.whole for one in self.held)
        return (
            f"streams={len(self.held)} begun={len(self.begun)} mixed={self.mixed} "
            f"gaps={self.gaps} taken_up={self.taken_up} went_on={self.went_on} whole={whole} "
            f"first_event_ms={self.first_event_ms:.1f} take_ups={dict(statuses)}"
        )


def play(plan: Play, directory: Path) -> Result:
    """Play ``plan`` on processes of its own, whose logs are kept in ``directory``."""
    world = VersionWorld(directory, plan.software, plan.without_model, plan.unlisted)
    try:
        world.start_instances(plan.instances)
        return _Run(plan, world).result()
    finally:
        world.stop()


class _Run:
    def __init__(self, plan: Play, world: VersionWorld) -> None:
        self._plan, self._world = plan, world
        self._ended = threading.Event()

    def result(self) -> Result:
        threads = [
            threading.Thread(target=self._fail, args=(fault,), daemon=True)
            for fault in self._plan.faults
        ]
        for one in threads:
            one.start()
        plan, instances = self._plan, self._world.instances
        begin = time.monotonic()
        with ThreadPoolExecutor(CALLER_THREADS) as callers:
            holding = []
            for number in range(round(plan.per_second * plan.seconds)):
                time.sleep(max(0.0, begin + number / plan.per_second - time.monotonic()))
                holding.append(
                    callers.submit(hold_stream, f"s{number}", number, instances, plan.habits)
                )
            held = [one.result() for one in holding]
        self._ended.set()
        for one in threads:
            one.join()
        self._world.rows.down = False
        return Result(held)

    def _fail(self, fault: Fault) -> None:
        places = self._world.places
        match fault:
            case RollingUpdate():
                for place, software in _updates(len(places), back=fault.back):
                    if self._ended.wait(fault.every_seconds):
                        return
                    places[place].replace(software, fault.listed_late_seconds)
            case VersionGone():
                if not self._ended.wait(fault.after_seconds):
                    for one in places:
                        if one.worker.software == FIRST:
                            one.end()
            case VersionForgotten():
                if not self._ended.wait(fault.after_seconds):
                    self._forget(fault)
            case WorkerEnds():
                if not self._ended.wait(fault.after_seconds):
                    places[fault.number].end()
            case Resets():
                for one in itertools.cycle(places):
                    if self._ended.wait(fault.every_seconds):
                        return
                    one.link.reset()
            case Silences():
                for one in places:
                    one.worker.pause = StreamPause(FOR_GOOD_SECONDS, every=fault.every)
            case Kills():
                in_turn = itertools.cycle(self._world.instances)
                while not self._ended.wait(fault.every_seconds):
                    self._restart([next(in_turn) for _ in range(fault.at_once)])
            case StoreAway():
                self._ended.wait(fault.after_seconds)
                self._world.rows.down = True
            case CutPaths():
                for instance in itertools.cycle(self._world.instances):
                    if self._ended.is_set():
                        return
                    pid = instance.process.pid
                    self._world.paths.cut(pid, PathFault.HOLD)
                    self._ended.wait(fault.for_seconds)
                    self._world.paths.heal(pid)

    def _forget(self, fault: VersionForgotten) -> None:
        rows, instances = self._world.rows, self._world.instances
        places = [one for one in self._world.places if one.worker.software == FIRST]
        before = time.monotonic()
        if fault.loss is RowLoss.LEADER_KILLED:
            leader = rows.value("redwingscale", "order-giver")["instance"]
            next(one for one in instances if one.name == leader).end()
        for one in places:
            one.list()
        self._ended.wait(fault.serves_seconds)
        for one in places:
            one.end()
        for instance in instances:
            instance.end()
        if fault.loss is RowLoss.ROW_GONE:
            rows.write_again(rows.restore(time.monotonic()))
        elif fault.loss is RowLoss.ROW_OLDER:
            rows.write_again(rows.restore(time.monotonic() - before))
        self._restart(instances)

    def _restart(self, instances: Sequence[InstanceProcess]) -> None:
        for one in instances:
            one.end()
        with ThreadPoolExecutor(len(instances)) as pool:
            list(pool.map(lambda one: one.start(), instances))


def _updates(workers: int, *, back: bool) -> list[tuple[int, str]]:
    forward = [(number, OTHER) for number in range(workers)]
    return [*forward, *((number, FIRST) for number in range(workers))] if back else forward
