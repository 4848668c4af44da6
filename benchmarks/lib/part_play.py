"""A simulated load on workers that end under a bad part of prompts, or are killed."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

WORKERS = 6
SOUND_PER_SECOND = 24.0
# A request is queued, then begun until it has survived, then runs on.
QUEUED_SECONDS, BEGUN_SECONDS, RUN_SECONDS = 0.15, 0.08, 1.2
END_SECONDS = 0.03
DOWN_SECONDS = 3.0
LENGTH_SECONDS = 40.0
BAD_FROM_SECONDS = 10.0
# A turn is claimed for so long before it begins.
SETTLE_SECONDS = 0.4
# How long a sound request waits for a turn before it is refused.
PATIENCE_SECONDS = 2.0
FAMILIAR_SECONDS = 60.0
BAD = "bad"
# Sound parts that the share of a play does not concern.
RARE_PARTS = 200


class Way(NamedTuple):
    """How the part is found.

    A part is condemned after ``limit`` crashes. ``survivors``: a run that survives clears its
    parts. ``turns``: requests with a suspect part run one at a time, with ``unfamiliar`` only for
    parts that have not survived lately. ``ratio``: condemned only at this likelihood ratio as
    well. ``best``: only the part with the highest ratio is condemned, and its crashes no longer
    count for others.
    """

    name: str
    limit: int = 3
    survivors: bool = True
    turns: bool = False
    unfamiliar: bool = False
    ratio: float = 1.0
    best: bool = False
    built: bool = False


class Load(NamedTuple):
    """``share`` is the part of the sound requests with the first part of the bad ones."""

    bad_per_second: float = 2.0
    share: float = 0.5
    news_seconds: float = 0.3
    instances: int = 6
    kill_every_seconds: float = 4.0


class Run(NamedTuple):
    """One attempt: its parts, when it was sent, and the part of its turn."""

    parts: tuple[str, ...]
    sent_at: float
    instance: int
    turn: str | None


class Result(NamedTuple):
    """What one play shows."""

    ended: int
    refused: int
    waited: int
    condemned: int


class Play:
    """One play; what an instance notes is known to all ``news_seconds`` later."""

    def __init__(self, way: Way, load: Load, seed: int) -> None:
        self.way, self.load, self.random = way, load, random.Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.open: list[dict[int, Run]] = [{} for _ in range(WORKERS)]
        self.up_at = [0.0] * WORKERS
        self.crashed_at: dict[str, list[float]] = {}
        self.ratio: dict[str, float] = {}
        self.survived_at: dict[tuple[int, str], float] = {}
        self.begun: Counter[str] = Counter()
        self.condemned: set[str] = set()
        self.turning: set[str] = set()
        self.ended = self.refused = self.waited = 0

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        """Call ``action`` after ``seconds``."""
        heapq.heappush(self.events, (self.now + seconds, next(self.order), action))

    def play(self) -> Result:
        """Play the load to its end."""
        self._arrive()
        self.at(BAD_FROM_SECONDS, self._arrive_bad)
        for kill in range(1, int(LENGTH_SECONDS / self.load.kill_every_seconds)):
            self.at(kill * self.load.kill_every_seconds, self._kill)
        while self.events and self.events[0][0] < LENGTH_SECONDS:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return Result(self.ended, self.refused, self.waited, len(self.condemned - {BAD}))

    def _arrive(self) -> None:
        first = "shared" if self.random.random() < self.load.share else "other"
        rare = f"r{self.random.randrange(RARE_PARTS)}"
        self._send((first, rare, f"m{self.random.randrange(4)}"), self.now + PATIENCE_SECONDS)
        self.at(self.random.expovariate(SOUND_PER_SECOND), self._arrive)

    def _arrive_bad(self) -> None:
        self._send(("shared", BAD, f"m{self.random.randrange(4)}"), self.now + PATIENCE_SECONDS)
        self.at(self.random.expovariate(self.load.bad_per_second), self._arrive_bad)

    def _kill(self) -> None:
        up = [w for w in range(WORKERS) if self.up_at[w] <= self.now]
        if up:
            self._end(self.random.choice(up), by_bad=False)

    def _send(self, parts: tuple[str, ...], until: float, *, waited: bool = False) -> None:
        sound = BAD not in parts
        up = [w for w in range(WORKERS) if self.up_at[w] <= self.now]
        if self.condemned.intersection(parts):
            self.refused += sound
            return
        if not up:
            self.at(0.1, lambda: self._send(parts, until, waited=waited))
            return
        instance = self.random.randrange(self.load.instances)
        if not waited:
            self._note_arrival(parts, instance)
        gated = [one for one in parts if self._is_gated(one, instance)]
        if self.turning.intersection(gated):
            self.waited += sound and not waited
            if self.now < until:
                self.at(0.1, lambda: self._send(parts, until, waited=True))
            else:
                self.refused += sound
            return
        self.turning.update(gated[:1])
        self.waited += bool(gated) and sound and not waited
        run = Run(parts, self.now, instance, gated[0] if gated else None)
        self.at(SETTLE_SECONDS if gated else 0.0, lambda: self._begin(run))

    def _note_arrival(self, parts: tuple[str, ...], instance: int) -> None:
        """Note a request that has come; a way may count these."""

    def _is_gated(self, part: str, instance: int) -> bool:
        if not (self.way.turns and part in self.crashed_at):
            return False
        survived = self.survived_at.get((instance, part), -FAMILIAR_SECONDS)
        return not (self.way.unfamiliar and survived > self.now - FAMILIAR_SECONDS)

    def _begin(self, run: Run) -> None:
        up = [w for w in range(WORKERS) if self.up_at[w] <= self.now]
        if not up or self.condemned.intersection(run.parts):
            self.turning.discard(run.turn or "")
            return
        worker, key = self.random.choice(up), next(self.order)
        run = run._replace(sent_at=self.now)
        self.open[worker][key] = run
        if BAD in run.parts:
            self.at(QUEUED_SECONDS + END_SECONDS, lambda: self._end(worker, key))
        else:
            self.at(QUEUED_SECONDS + BEGUN_SECONDS, lambda: self._survive(worker, key, run))
            self.at(QUEUED_SECONDS + RUN_SECONDS, lambda: self.open[worker].pop(key, None))

    def _survive(self, worker: int, key: int, run: Run) -> None:
        self.turning.discard(run.turn or "")
        if key not in self.open[worker]:
            return
        self.begun.update(run.parts)
        self.begun["all"] += 1
        self._note_survivor(run)

    def _note_survivor(self, run: Run) -> None:
        for part in run.parts:
            self.survived_at[run.instance, part] = self.now
            crashed = self.crashed_at.get(part)
            if self.way.survivors and crashed and run.sent_at + QUEUED_SECONDS > crashed[0]:
                self.at(self.load.news_seconds, lambda part=part: self._clear(part))

    def _clear(self, part: str) -> None:
        self.crashed_at.pop(part, None)
        self.ratio.pop(part, None)

    def _end(self, worker: int, key: int | None = None, *, by_bad: bool = True) -> None:
        if key is not None and key not in self.open[worker]:
            return
        self.ended += by_bad
        self.up_at[worker] = self.now + DOWN_SECONDS
        lost, self.open[worker] = self.open[worker], {}
        begun = [
            one
            for one in lost.values()
            if 0 <= self.now - one.sent_at - QUEUED_SECONDS < BEGUN_SECONDS
        ]
        for one in lost.values():
            self.turning.discard(one.turn or "")
        self._note_end(begun)

    def _note_end(self, begun: list[Run]) -> None:
        at = self.now
        parts = {part for one in begun for part in one.parts}
        self.at(self.load.news_seconds, lambda: self._note(parts, len(begun), at))

    def _note(self, parts: set[str], begun: int, at: float) -> None:
        for part in parts:
            crashes = self.crashed_at.setdefault(part, [])
            crashes.append(at)
            share = min(0.99, (self.begun[part] + 0.5) / (self.begun["all"] + 1))
            self.ratio[part] = self.ratio.get(part, 1.0) / (1 - (1 - share) ** begun)
        for part in sorted(parts, key=lambda one: -self.ratio[one]):
            crashes = self.crashed_at.get(part, [])
            if len(crashes) < self.way.limit or self.ratio[part] < self.way.ratio:
                continue
            self.condemned.add(part)
            if self.way.best:
                for other in parts - {part}:
                    self._clear(other)
                return
