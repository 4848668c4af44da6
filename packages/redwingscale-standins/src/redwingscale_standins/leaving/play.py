"""Plays workers that leave while the store answers late, or came back from an older copy.

``python -m redwingscale_standins.leaving.play MODE`` prints what reached them too late.
"""

import itertools
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from typing import NamedTuple

from redwingscale_standins.hosted.instance_process import InstanceProcess
from redwingscale_standins.leaving.rule import LEAVE_SECONDS, LateArrival, late_arrivals
from redwingscale_standins.versions.world import FIRST, VersionWorld

WORKERS, INSTANCES = 6, 3
STREAMS_PER_SECOND, CALLER_THREADS = 12.0, 48
AWAY_AT_SECONDS, AWAY_SECONDS = 5.5, 0.5
COPIES_GAP_SECONDS = 1.5
LATE_FROM_SECONDS, LATE_UNTIL_SECONDS = 4.8, 12.0
END_SECONDS = 13.0


class Mode(NamedTuple):
    """How old the copies are, in seconds, and how often workers write their entries.

    Answers to reads of the store are ``read_seconds`` late for a while.
    """

    copies: tuple[float, ...] = ()
    heartbeat_seconds: float = 0.4
    read_seconds: float = 0.0


MODES = {
    "calm": Mode(),
    "copy": Mode((4.0,)),
    "old-copy": Mode((12.0,)),
    "few-writes": Mode((4.0,), heartbeat_seconds=3.0),
    "two-copies": Mode((4.0, 4.0)),
    "late-reads": Mode(read_seconds=0.9),
    "later-reads": Mode(read_seconds=1.5),
}


class Result(NamedTuple):
    """The late arrivals at each worker that left, and the statuses of all streams."""

    late: list[LateArrival]
    answered: int
    streams: int

    def describe(self) -> str:
        """Return the figures in one line."""
        worst = max((one.late_seconds for one in self.late), default=0.0)
        return f"late={len(self.late)} worst={worst:.2f} answered={self.answered}/{self.streams}"


def play(mode: Mode, directory: Path) -> Result:
    """Play ``mode`` on processes of its own, whose logs are kept in ``directory``."""
    world = VersionWorld(directory, [FIRST] * WORKERS)
    try:
        world.start_instances(INSTANCES)
        return _Run(mode, world).result()
    finally:
        world.stop()


class _Run:
    def __init__(self, mode: Mode, world: VersionWorld) -> None:
        self._mode, self._world = mode, world
        self._ended = threading.Event()
        # When each worker left, by its place.
        self._left_at: dict[int, float] = {}
        self._states = dict.fromkeys(range(WORKERS), "ready")
        self._lock = threading.Lock()

    def result(self) -> Result:
        writer = threading.Thread(target=self._write_entries, daemon=True)
        writer.start()
        with ThreadPoolExecutor(CALLER_THREADS) as callers:
            streams = threading.Thread(target=self._send_streams, args=(callers,), daemon=True)
            self._statuses: list[int] = []
            streams.start()
            self._act()
            self._ended.set()
            streams.join()
        writer.join()
        late = [
            one
            for number, at in self._left_at.items()
            for one in late_arrivals(self._world.places[number].worker.arrivals, at, LEAVE_SECONDS)
        ]
        return Result(late, self._statuses.count(200), len(self._statuses))

    def _send_streams(self, callers: ThreadPoolExecutor) -> None:
        in_turn = itertools.cycle(self._world.instances)
        for number in itertools.count():
            if self._ended.wait(1.0 / STREAMS_PER_SECOND):
                return
            callers.submit(self._send, next(in_turn), f"s{number}")

    def _send(self, instance: InstanceProcess, request: str) -> None:
        self._statuses.append(instance.request_stream(request=request)[0])

    def _write_entries(self) -> None:
        while not self._ended.wait(self._mode.heartbeat_seconds):
            for number in range(WORKERS):
                self._write(number)

    def _write(self, number: int) -> None:
        place = self._world.places[number]
        with self._lock:
            if self._states[number] == "gone":
                return
            entry = place.worker.entry(place.link.port) | {"State": self._states[number]}
            self._world.rows.put("servers", place.worker.id, entry)

    def _act(self) -> None:
        begin = time.monotonic()
        for at, step in sorted(self._steps(), key=lambda step: step[0]):
            time.sleep(max(0.0, begin + at - time.monotonic()))
            step()
        time.sleep(max(0.0, begin + END_SECONDS - time.monotonic()))

    def _steps(self) -> list[tuple[float, Callable[[], None]]]:
        back_at = AWAY_AT_SECONDS + AWAY_SECONDS
        copies = [
            (back_at + number * COPIES_GAP_SECONDS, partial(self._come_back, seconds))
            for number, seconds in enumerate(self._mode.copies)
        ]
        leaves = [
            (at, partial(self._leave, state))
            for at, state in ((6.3, "draining"), (7.0, "gone"), (9.0, "draining"))
        ]
        late = [
            (LATE_FROM_SECONDS, partial(self._delay_reads, self._mode.read_seconds)),
            (LATE_UNTIL_SECONDS, partial(self._delay_reads, 0.0)),
        ]
        away = [(AWAY_AT_SECONDS, self._go_away)] if copies else []
        return [*copies, *leaves, *late, *away]

    def _delay_reads(self, seconds: float) -> None:
        self._world.rows.read_seconds = seconds

    def _go_away(self) -> None:
        self._world.rows.down = True

    def _come_back(self, seconds: float) -> None:
        lost = self._world.rows.restore(seconds)
        self._world.rows.down = False
        self._world.rows.write_again(lost)

    def _leave(self, state: str) -> None:
        """Let the worker leave that most requests reach."""
        ready = [number for number, one in self._states.items() if one == "ready"]
        number = max(ready, key=lambda one: len(self._world.places[one].worker.arrivals))
        with self._lock:
            self._states[number] = state
        if state == "gone":
            self._world.places[number].unlist()
        else:
            self._write(number)
        self._left_at[number] = time.monotonic()


def main() -> None:
    """Play the modes that are named, or all, and print a line for each."""
    for name in sys.argv[1:] or MODES:
        directory = Path(tempfile.mkdtemp(prefix="redwingscale-leaving-"))
        print(f"{name}: {play(MODES[name], directory).describe()} logs={directory}", flush=True)


if __name__ == "__main__":
    main()
