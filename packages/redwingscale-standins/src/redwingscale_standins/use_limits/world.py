"""Simulates callers, instances and a leader, and counts the admitted tokens."""

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from typing import NamedTuple

from redwingscale_daemon._internal.workspaces.use_messages import GrantEntry
from redwingscale_daemon._internal.workspaces.use_totals import UseTotals
from redwingscale_daemon._internal.workspaces.workspace import UseLimit, UseUnit, Workspace

from redwingscale_standins.use_limits.ways import SLACK_TOKENS, Clock, Granted, ToldLevel, Way

UPDATE_SECONDS = 0.25


class Shape(NamedTuple):
    """Load and faults: requests of about ``tokens`` at the fraction ``usual`` of the limit.

    Between ``flood_from`` and ``flood_to`` seconds the load is ``flood`` times as high. It
    arrives at ``through`` of the ``instances``, each with a random share. Messages take up
    to ``delay`` seconds and the fraction ``lost`` of them is lost; between ``silent_from``
    and ``silent_to`` the fraction ``silent_part`` of the instances exchanges no messages.
    Requests before ``counted_from`` are not counted. A new leader without any state begins
    at ``new_leader_at``. At ``lowered_at`` the limit falls to the fraction ``lowered_to``.
    """

    per_second: float = 100_000.0
    burst_seconds: float = 1.0
    tokens: int = 2000
    usual: float = 0.55
    flood: float = 10.0
    flood_from: float = 8.0
    flood_to: float = 14.0
    seconds: float = 24.0
    instances: int = 60
    through: int = 60
    delay: float = 0.05
    lost: float = 0.0
    silent_from: float = 0.0
    silent_to: float = 0.0
    silent_part: float = 0.0
    counted_from: float = 0.0
    new_leader_at: float | None = None
    lowered_at: float | None = None
    lowered_to: float = 0.3


@dataclass
class Counts:
    """Admitted and refused requests, and the tokens that an exact limit would have admitted."""

    let_in: deque[tuple[float, int]] = field(default_factory=deque)
    offered: int = 0
    refused: int = 0
    exact_tokens: float = 0.0
    messages: int = 0
    entries: int = 0

    @property
    def shortfall(self) -> float:
        """The fraction by which fewer tokens were admitted than by an exact limit."""
        let_in = sum(tokens for _, tokens in self.let_in)
        return max(0.0, 1.0 - let_in / self.exact_tokens)

    def worst_window(self, seconds: float) -> float:
        """Return the most tokens that were admitted within ``seconds``."""
        worst = total = 0.0
        window: deque[tuple[float, int]] = deque()
        for at, tokens in self.let_in:
            window.append((at, tokens))
            total += tokens
            while window[0][0] <= at - seconds:
                total -= window.popleft()[1]
            worst = max(worst, total)
        return worst


class _Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


MakeWay = Callable[[int, Clock, random.Random], Way]


class World:
    """One simulation; events run in the order of their times."""

    def __init__(self, shape: Shape, make: MakeWay, seed: int) -> None:
        self.shape = shape
        self.counts = Counts()
        self._random = random.Random(seed)  # noqa: S311
        self._clock = _Clock()
        self._ways = [
            make(shape.instances, self._clock, random.Random(f"{seed}-{index}"))  # noqa: S311
            for index in range(shape.instances)
        ]
        self._totals = UseTotals(SLACK_TOKENS, self._clock)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._limit = UseLimit(
            UseUnit.TOKENS, shape.per_second, shape.per_second * shape.burst_seconds, 0.0
        )
        self._exact = self._limit.burst
        self._exact_at = 0.0
        weights = [self._random.random() ** 2 for _ in range(shape.through)]
        self._weights = weights + [0.0] * (shape.instances - shape.through)

    def play(self) -> Counts:
        """Run the simulation and return its counts."""
        for index in range(self.shape.instances):
            self._schedule(
                self._random.random() * UPDATE_SECONDS, partial(self._send_updates, index)
            )
        self._schedule(0.1, self._send_grants)
        self._schedule(0.0, self._arrive)
        if self.shape.new_leader_at is not None:
            self._schedule(
                self.shape.new_leader_at, partial(self._totals.begin, self.shape.instances)
            )
        if self.shape.lowered_at is not None:
            self._schedule(self.shape.lowered_at, self._lower)
        while self._queue and self._queue[0][0] < self.shape.seconds:
            at, _, event = heapq.heappop(self._queue)
            self._clock.now = at
            event()
        return self.counts

    def _schedule(self, seconds: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (seconds, next(self._order), event))

    def _lower(self) -> None:
        fraction = self.shape.lowered_to
        self._limit = self._limit._replace(
            per_second=self._limit.per_second * fraction, burst=self._limit.burst * fraction
        )

    def _arrive(self) -> None:
        shape, now = self.shape, self._clock.now
        flood = shape.flood if shape.flood_from <= now < shape.flood_to else 1.0
        per_second = shape.per_second * shape.usual * flood / shape.tokens
        self._schedule(now + self._random.expovariate(per_second), self._arrive)
        index = self._random.choices(range(shape.instances), self._weights)[0]
        tokens = max(50, int(self._random.gauss(shape.tokens, shape.tokens / 2)))
        self._count(tokens, self._ways[index].admits(Workspace("w", 0, self._limit), tokens))

    def _count(self, tokens: int, let_in: bool) -> None:
        now, counts = self._clock.now, self.counts
        if now < self.shape.counted_from:
            return
        added = self._limit.per_second * (now - self._exact_at)
        self._exact = min(self._limit.burst, self._exact + added)
        self._exact_at = now
        counts.offered += 1
        if let_in:
            counts.let_in.append((now, tokens))
        else:
            counts.refused += 1
        if self._exact >= tokens:
            counts.exact_tokens += tokens
            self._exact -= tokens

    def _is_silent(self, index: int) -> bool:
        shape = self.shape
        cut = shape.silent_from <= self._clock.now < shape.silent_to
        return cut and index < shape.silent_part * shape.instances

    def _deliver(self, event: Callable[[], None]) -> None:
        self.counts.messages += 1
        if self._random.random() >= self.shape.lost:
            self._schedule(self._clock.now + self._random.random() * self.shape.delay, event)

    def _send_updates(self, index: int) -> None:
        self._schedule(self._clock.now + UPDATE_SECONDS, partial(self._send_updates, index))
        entries = self._ways[index].updates()
        self.counts.entries += len(entries)
        if not self._is_silent(index):
            self._deliver(partial(self._totals.receive, f"i{index}", entries))

    def _send_grants(self) -> None:
        self._schedule(self._clock.now + UPDATE_SECONDS, self._send_grants)
        grants = self._totals.grants({"w": self._limit})
        if grants is None:
            return
        for index, way in enumerate(self._ways):
            if not self._is_silent(index):
                entries = self._entries_for(way, grants)
                self.counts.entries += len(entries)
                self._deliver(partial(way.receive, entries))

    def _entries_for(self, way: Way, grants: Iterable[GrantEntry]) -> list[GrantEntry]:
        """Return the grants for one instance; `ToldLevel` receives the level that is left."""
        match way:
            case ToldLevel():
                left = self._totals.left("w")
                return [GrantEntry("w", 0.0, left, True)] if left is not None else []
            case _:
                return list(grants)


def play(shape: Shape, make: MakeWay = Granted, seed: int = 1) -> Counts:
    """Return the counts of one simulation of ``shape``."""
    return World(shape, make, seed).play()
