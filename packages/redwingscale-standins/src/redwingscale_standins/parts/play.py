"""Plays requests that share parts of their prompts beside ones with a part that ends workers."""

import itertools
import threading
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor, wait
from pathlib import Path
from typing import NamedTuple

from redwingscale_standins.parts.faults import (
    BadRequests,
    Fault,
    InstanceKills,
    StoreAway,
    WorkerKills,
)
from redwingscale_standins.parts.rule import BAD_PREFIX, PartLedger
from redwingscale_standins.parts.world import PartWorld
from redwingscale_standins.versions.caller import Habits, Held, Try, hold_stream, request_once

CALLER_THREADS = 128
# First parts, of which the requests that end workers have the first one.
FIRST_PARTS = ("f0a0", "f0b0")
SECOND_PARTS = ("a1", "a2", "a3")
THIRD_PARTS = ("c1", "c2", "c3", "c4")
SOUND = Habits(events=15, patience_seconds=8.0)


class Play(NamedTuple):
    """Sound streams at a steady rate, no two of them alike, beside ``faults``.

    ``sound_firsts`` are the first parts of sound requests, in turn.
    """

    faults: tuple[Fault, ...] = ()
    sound_firsts: Sequence[str] = FIRST_PARTS
    instances: int = 6
    workers: int = 6
    per_second: float = 12.0
    seconds: float = 30.0


class Sound(NamedTuple):
    """A sound request, sent at ``at`` on the monotonic clock."""

    at: float
    first_part: str
    held: Held

    @property
    def began(self) -> bool:
        """Whether its first try was answered with an event."""
        return bool(self.held.tries and self.held.tries[0].pieces)


class Result(NamedTuple):
    """What workers and callers saw; ``bad_parts`` are those that came."""

    ledger: PartLedger
    sound: list[Sound]
    bad: list[Try]
    bad_parts: list[str]
    began_at: float

    def ends(self, part: str) -> int:
        """Return how many workers ended under a part."""
        return len(self.ledger.ends_of(part))

    def began_share(self, from_at: float, to_at: float, first_part: str | None = None) -> float:
        """Return the part of the sound requests sent in a time that began at their first try."""
        began = [
            one.began
            for one in self.sound
            if from_at <= one.at < to_at and first_part in (None, one.first_part)
        ]
        return sum(began) / len(began) if began else 1.0

    def describe(self) -> str:
        """Return the figures in one line."""
        ends = {part: self.ends(part) for part in self.bad_parts}
        whole = sum(one.held.whole for one in self.sound)
        tries = Counter(try_.status for one in self.sound for try_ in one.held.tries)
        bad = Counter(one.status for one in self.bad)
        return (
            f"ends={ends} sound={len(self.sound)} whole={whole} "
            f"began={sum(one.began for one in self.sound)} tries={dict(tries)} bad={dict(bad)}"
        )


def play(plan: Play, directory: Path) -> Result:
    """Play ``plan`` on processes of its own, whose logs are kept in ``directory``."""
    world = PartWorld(directory, plan.workers)
    try:
        world.start_instances(plan.instances)
        return _Run(plan, world).result()
    finally:
        world.stop()


class _Run:
    def __init__(self, plan: Play, world: PartWorld) -> None:
        self._plan, self._world = plan, world
        self._ended = threading.Event()
        self._numbers = itertools.count()
        self._sound: list[Sound] = []
        self._bad: list[Try] = []
        self._bad_parts: set[str] = set()
        self._began_at = time.monotonic()

    def result(self) -> Result:
        threads = [
            threading.Thread(target=self._fail, args=(fault,), daemon=True)
            for fault in self._plan.faults
        ]
        for one in threads:
            one.start()
        with ThreadPoolExecutor(CALLER_THREADS) as callers:
            for number in range(round(self._plan.per_second * self._plan.seconds)):
                self._wait_until(number / self._plan.per_second)
                callers.submit(self._hold, number)
        self._ended.set()
        for one in threads:
            one.join()
        self._world.rows.down = False
        return Result(
            self._world.ledger, self._sound, self._bad, sorted(self._bad_parts), self._began_at
        )

    def _wait_until(self, seconds: float) -> bool:
        """Wait until a time of the play; return whether it has ended before."""
        return self._ended.wait(max(0.0, self._began_at + seconds - time.monotonic()))

    def _hold(self, number: int) -> None:
        first = self._plan.sound_firsts[number % len(self._plan.sound_firsts)]
        sent_at = time.monotonic()
        parts = _prompt([first, *_others(number)], number)
        held = hold_stream(f"s{number}", number, self._world.instances, SOUND, parts=parts)
        self._sound.append(Sound(sent_at, first, held))

    def _fail(self, fault: Fault) -> None:
        match fault:
            case BadRequests():
                self._send_bad(fault)
            case WorkerKills():
                workers = itertools.cycle(self._world.workers)
                for _ in range(fault.most // fault.at_once):
                    if self._ended.wait(fault.every_seconds):
                        return
                    for worker in itertools.islice(workers, fault.at_once):
                        worker.kill()
            case InstanceKills():
                for instance in itertools.cycle(self._world.instances):
                    if self._ended.wait(fault.every_seconds):
                        return
                    instance.end()
                    instance.start()
            case StoreAway():
                self._wait_until(fault.after_seconds)
                self._world.rows.down = True

    def _send_bad(self, fault: BadRequests) -> None:
        times = itertools.count(fault.from_seconds, fault.every_seconds)
        with ThreadPoolExecutor(CALLER_THREADS) as callers:
            for at in itertools.takewhile(lambda at: at < fault.to_seconds, times):
                if self._wait_until(at):
                    return
                asked = [
                    callers.submit(self._ask_bad, next(self._numbers), fault)
                    for _ in range(fault.at_once)
                ]
                if fault.waits:
                    wait(asked)

    def _ask_bad(self, number: int, fault: BadRequests) -> None:
        bad = f"{BAD_PREFIX}{number % fault.parts}"
        self._bad_parts.add(bad)
        parts = [FIRST_PARTS[0], *_others(number)]
        if fault.place:
            parts.insert(fault.place, bad)
        else:
            parts[0] = bad
        instances = self._world.instances
        self._bad.append(
            request_once(
                instances[number % len(instances)],
                f"b{number}",
                f"bad {number}".encode(),
                {"X-Redwingscale-Prefix-Hash": _prompt(parts, 100_000 + number)},
                SOUND,
            )
        )


def _others(number: int) -> list[str]:
    return [
        SECOND_PARTS[number % len(SECOND_PARTS)],
        THIRD_PARTS[number // len(SECOND_PARTS) % len(THIRD_PARTS)],
    ]


def _prompt(parts: Sequence[str], number: int) -> str:
    """Return the header of a prompt whose last part is its own."""
    return ",".join(f"{part}:100" for part in [*parts, f"e{number:06x}"])
