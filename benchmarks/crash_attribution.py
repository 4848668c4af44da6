"""Compares ways to find the request that ends its workers, on one simulated load.

One body comes again under new ids while other requests run on the same workers. Prints how
many workers end, how many other bodies are refused, and how many others wait for a turn.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

import typer

WORKERS = 6
REQUESTS_PER_SECOND = 36.0
CAUSE_PER_SECOND = 2.0
POPULAR_SHARE = 0.05
# A request is queued, then begun for some time before its second event, then runs on.
QUEUED_SECONDS, BEGUN_SECONDS, RUN_SECONDS = 0.15, 0.1, 1.5
END_SECONDS = 0.05
DOWN_SECONDS = 4.0
LENGTH_SECONDS = 60.0
ATTEMPTS = 2
SETTLE_SECONDS = 0.4
# Other causes end so many workers at once.
KILLS = ((10.0, 3), (20.0, 1), (30.0, 2))
CAUSE, POPULAR = "cause", "popular"


class Way(NamedTuple):
    """How crashes are attributed.

    A body is refused after ``limit`` crashes. ``begun_only``: only what had just begun is
    counted. ``turns``: what was counted runs one at a time, and only crashes then count on.
    ``cleared``: a body that runs beyond its begin is counted anew.
    """

    name: str
    limit: int
    begun_only: bool = False
    turns: bool = False
    cleared: bool = True


WAYS = (
    Way("count 2, never cleared", 2, cleared=False),
    Way("count 2", 2),
    Way("count 3", 3),
    Way("begun, count 2", 2, begun_only=True),
    Way("begun, count 3", 3, begun_only=True),
    Way("turns for all", 2, turns=True),
    Way("turns for begun", 2, begun_only=True, turns=True),
)


class Run:
    """One attempt of one body."""

    def __init__(self, body: str, attempt: int, at: float, in_turn: bool) -> None:
        self.body, self.attempt, self.at, self.in_turn = body, attempt, at, in_turn

    def phase(self, now: float) -> str:
        """Return whether the run is queued, has just begun or is well under way."""
        waited = now - self.at
        if waited < QUEUED_SECONDS:
            return "queued"
        return "begun" if waited < QUEUED_SECONDS + BEGUN_SECONDS else "running"


class Result(NamedTuple):
    """What one play shows; ``found_after`` is in seconds, infinite if never."""

    ended: int
    refused: int
    turns: int
    broken: int
    found_after: float


class Play:
    """One play of the load; what an instance notes is known to all ``news_seconds`` later."""

    def __init__(self, way: Way, seed: int, news_seconds: float) -> None:
        self.way, self.news_seconds = way, news_seconds
        self.random = random.Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.open: list[dict[int, Run]] = [{} for _ in range(WORKERS)]
        self.up_at = [0.0] * WORKERS
        self.turn_until = [0.0] * WORKERS
        self.crashes: dict[str, int] = {}
        self.refused: set[str] = set()
        self.turning: set[str] = set()
        self.ended = self.turns = self.broken = 0
        self.first_at = self.found_at = float("inf")

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        """Call ``action`` after ``seconds``."""
        heapq.heappush(self.events, (self.now + seconds, next(self.order), action))

    def play(self) -> Result:
        """Play the load to its end."""
        self._arrive()
        self.at(1.0, self._cause)
        for seconds, count in KILLS:
            self.at(seconds, lambda count=count: self._kill(count))
        while self.events and self.events[0][0] < LENGTH_SECONDS:
            self.now, _, action = heapq.heappop(self.events)
            action()
        innocent = len(self.refused - {CAUSE})
        found = self.found_at - self.first_at
        return Result(self.ended, innocent, self.turns, self.broken, found)

    def _arrive(self) -> None:
        popular = self.random.random() < POPULAR_SHARE
        self.send(POPULAR if popular else f"b{next(self.order)}", 1)
        self.at(self.random.expovariate(REQUESTS_PER_SECOND), self._arrive)

    def _cause(self) -> None:
        self.send(CAUSE, 1)
        self.at(self.random.expovariate(CAUSE_PER_SECOND), self._cause)

    def _kill(self, count: int) -> None:
        up = [w for w in range(WORKERS) if self.up_at[w] <= self.now]
        for worker in self.random.sample(up, min(count, len(up))):
            self._end(worker)

    def send(self, body: str, attempt: int) -> None:
        """Send a body to a worker that is up, a suspect once its turn has come."""
        if body in self.refused:
            return
        up = [w for w in range(WORKERS) if self.up_at[w] <= self.now]
        in_turn = self.way.turns and self.crashes.get(body, 0) > 0
        if in_turn:
            up = [w for w in up if self.turn_until[w] <= self.now]
        if not up or (in_turn and body in self.turning):
            self.at(0.1, lambda: self.send(body, attempt))
            return
        worker = self.random.choice(up)
        delay = 0.0
        if in_turn:
            self.turns += 1
            self.turning.add(body)
            delay = SETTLE_SECONDS
            self.turn_until[worker] = self.now + delay + QUEUED_SECONDS + BEGUN_SECONDS
        self.at(delay, lambda: self._run(worker, body, attempt, in_turn))

    def _run(self, worker: int, body: str, attempt: int, in_turn: bool) -> None:
        if self.up_at[worker] > self.now:
            self.turning.discard(body)
            self.send(body, attempt)
            return
        run, key = Run(body, attempt, self.now, in_turn), next(self.order)
        self.open[worker][key] = run
        if body == CAUSE:
            self.at(QUEUED_SECONDS + END_SECONDS, lambda: self._end(worker, key))
        else:
            self.at(QUEUED_SECONDS + BEGUN_SECONDS, lambda: self._begun(worker, key, run))
            self.at(QUEUED_SECONDS + RUN_SECONDS, lambda: self.open[worker].pop(key, None))

    def _begun(self, worker: int, key: int, run: Run) -> None:
        if key in self.open[worker] and self.way.cleared:
            self.turning.discard(run.body)
            self.at(self.news_seconds, lambda: self.crashes.pop(run.body, None))

    def _end(self, worker: int, key: int | None = None) -> None:
        if key is not None and key not in self.open[worker]:
            return
        self.ended += 1
        self.first_at = min(self.first_at, self.now) if key is not None else self.first_at
        self.up_at[worker] = self.now + DOWN_SECONDS
        lost, self.open[worker] = self.open[worker], {}
        for run in lost.values():
            self._note(run)
        for run in lost.values():
            if run.attempt < ATTEMPTS:
                self.at(0.01, lambda run=run: self.send(run.body, run.attempt + 1))
            elif run.body != CAUSE:
                self.broken += 1

    def _note(self, run: Run) -> None:
        self.turning.discard(run.body)
        if self.way.begun_only and run.phase(self.now) != "begun":
            return
        crashes = self.crashes[run.body] = self.crashes.get(run.body, 0) + 1
        if crashes >= self.way.limit and (run.in_turn or not self.way.turns):
            self.at(self.news_seconds, lambda: self._refuse(run.body))

    def _refuse(self, body: str) -> None:
        self.refused.add(body)
        if body == CAUSE:
            self.found_at = min(self.found_at, self.now)


def main(seeds: int = 100) -> None:
    """Print the means over ``seeds`` plays of each way."""
    typer.echo("way, news s: workers ended, bodies refused, turns, broken, found after s (worst)")
    for way, news_seconds in itertools.product(WAYS, (0.05, 0.25, 1.0)):
        results = [Play(way, seed, news_seconds).play() for seed in range(seeds)]
        means = [sum(column) / seeds for column in zip(*results, strict=True)]
        worst = max(result.found_after for result in results)
        figures = ", ".join(f"{mean:.2f}" for mean in means)
        typer.echo(f"{way.name}, {news_seconds}: {figures} ({worst:.2f})")


if __name__ == "__main__":
    typer.run(main)
