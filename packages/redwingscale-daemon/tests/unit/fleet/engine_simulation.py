"""Workers of unequal speed, and instances that choose among them by the real code.

Everything runs in process on a clock of its own. A worker reads one prompt after the other,
in chunks with a step of the running streams after each. Instances report loads and first
events four times a second; the sums are announced four times a second, as the leader does.
"""

import bisect
import heapq
import itertools
import random
from collections import Counter
from types import SimpleNamespace
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.chooser import Chooser
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.load_tracker import NO_LOAD, Load
from redwingscale_daemon._internal.fleet.prompt import Prompt
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream import ResidentModel, Upstream
from redwingscale_daemon._internal.forwarding.stream_binding import StreamBinding
from redwingscale_daemon._internal.forwarding.wait_bounds import (
    max_wait_seconds,
    overload_refusal,
)
from redwingscale_daemon._internal.swaps.slowness import Slowness, first_event_entry

UPDATE_SECONDS, TRANSIT_SECONDS = 0.25, 0.03
TOKENS_PER_MS, CHUNK_TOKENS, STEP_SECONDS = 19.2, 1024, 0.0105
SPEEDS, SIZES = (0.7, 1.0, 1.7), (1.0, 0.8, 0.6)
SPELL_FACTOR, SPELL_SECONDS, SPELL_GAP_SECONDS = 2.5, 0.6, 3.4
STREAM_SECONDS = (0.25, 1.8)


class Shape(NamedTuple):
    """Instances, workers and load; ``burst`` multiplies the load for a third of the time."""

    instances: int = 40
    workers: int = 15
    models: int = 12
    holders: int = 4
    per_second: float = 55.0
    burst: float = 1.0
    seconds: float = 30.0
    warm_seconds: float = 10.0
    target_seconds: float = 1.2
    limit_seconds: float = 5.0


class Sent(NamedTuple):
    """A request that was sent, or one that was refused and when it would have begun."""

    worker: str
    expected_ms: float
    real_ms: float
    max_wait_ms: float
    refused: bool
    tokens: int
    chance: float


class Worker:
    """Reads prompts one after the other; slow in some periods."""

    def __init__(self, speed, source, end):
        self.speed, self.free_at = speed, 0.0
        at, self.changes = source.random() * SPELL_GAP_SECONDS, []
        while at < end:
            self.changes += [at, at + SPELL_SECONDS]
            at += SPELL_SECONDS + source.expovariate(1 / SPELL_GAP_SECONDS)

    def done_at(self, now, tokens, size):
        """Return when the first event of a prompt that is sent at ``now`` would come."""
        steps = tokens / CHUNK_TOKENS + 1
        work = tokens * size / TOKENS_PER_MS / 1000 + steps * STEP_SECONDS
        at = max(now, self.free_at)
        index = bisect.bisect_right(self.changes, at)
        while True:
            slow = SPELL_FACTOR if index % 2 else 1.0
            until = self.changes[index] if index < len(self.changes) else float("inf")
            seconds = work * slow / self.speed
            if at + seconds <= until:
                return at + seconds
            work -= (until - at) * self.speed / slow
            at, index = until, index + 1


class Simulation:
    """Runs events in order of time; `run` returns all requests after the warm-up."""

    def __init__(self, shape, clock, seed=1, *, estimates=True, leader=True):
        self.shape, self.clock, self.start = shape, clock, clock[0]
        self.random = random.Random(seed)
        self.end = self.start + shape.seconds
        names = [f"w{n}" for n in range(shape.workers)]
        self.workers = {
            name: Worker(SPEEDS[n % 3], self.random, shape.seconds) for n, name in enumerate(names)
        }
        models = self._placement(names)
        self.sizes = {name: SIZES[n % 3] for n, name in enumerate(models)}
        listed = [self._upstream(name, models) for name in names]
        self.fleets = [new_fleet() for _ in range(shape.instances)]
        self.choosers = []
        for number, fleet in enumerate(self.fleets):
            fleet.directory.replace(listed)
            chooser = Chooser(
                f"z{number % 3}", fleet, lambda: shape.instances, estimates_on=lambda _: estimates
            )
            chooser._random = random.Random(seed * 1000 + number)
            self.choosers.append(chooser)
        self.slowness, self.leader = Slowness(), leader
        self.reported = [{} for _ in self.fleets]
        self.done, self.refused, self.events, self.numbers = [], 0, [], itertools.count()

    def _placement(self, names):
        """Return the holders by model; each worker holds about as many models as any other."""
        held = Counter()
        models = {}
        for n in range(self.shape.models):
            order = sorted(names, key=lambda name: (held[name], self.random.random()))
            models[f"m{n}"] = order[: self.shape.holders]
            held.update(models[f"m{n}"])
        return models

    def _upstream(self, name, models):
        resident = {
            m: ResidentModel(m, 1, frozenset()) for m, held in models.items() if name in held
        }
        domain = f"z{int(name[1:]) % 3}"
        return Upstream(
            name, "llm", "h", 1, domain, 64, False, None, resident, frozenset(), frozenset()
        )

    def at(self, moment, action):
        heapq.heappush(self.events, (moment, next(self.numbers), action))

    def run(self):
        for number in range(self.shape.instances):
            self.at(
                self.start + self.random.random() * UPDATE_SECONDS, lambda n=number: self.report(n)
            )
        self.at(self.start, self.announce)
        self.at(self.start, self.request)
        while self.events[0][0] < self.end:
            self.clock[0], _, action = heapq.heappop(self.events)
            action()
        return self.done

    def request(self):
        now = self.clock[0]
        third = (now - self.start) % 9 < 3
        rate = self.shape.per_second * (self.shape.burst if third else 1.0)
        self.at(now + self.random.expovariate(rate), self.request)
        number = self.random.randrange(self.shape.instances)
        tokens = 568 + int(min(6300, self.random.lognormvariate(7.2, 0.7)))
        model = f"m{int(self.random.triangular(0, self.shape.models, 0))}"
        prompt, stream = Prompt(Unit(model), tokens, 100, ()), self.random.choice(STREAM_SECONDS)
        call = SimpleNamespace(
            route=SimpleNamespace(
                latency_target_seconds=self.shape.target_seconds,
                first_event_seconds=min(self.shape.limit_seconds, 4 * self.shape.target_seconds),
            ),
            attempts=SimpleNamespace(
                binding=StreamBinding(), count=0, last_event_at=None, returning=False
            ),
            request=SimpleNamespace(arrived_at=now),
            watch=SimpleNamespace(remaining=lambda: self.shape.limit_seconds),
        )
        chooser = self.choosers[number]
        chosen = chooser.choose_holder("llm", prompt, ())
        if overload_refusal(call, chosen):
            chosen = chooser.choose_holder("llm", prompt, (), compare_all=True)
        worker = self.workers[chosen.upstream.id]
        done = worker.done_at(now - self.start, tokens, self.sizes[model]) + self.start
        refused = overload_refusal(call, chosen) is not None
        real_ms = (done - now) * 1000
        if now - self.start > self.shape.warm_seconds:
            wait_ms = max_wait_seconds(call) * 1000
            chance = (
                chosen.estimate.chance_by(self.shape.target_seconds) if chosen.estimate else 0.0
            )
            self.done.append(
                Sent(
                    chosen.upstream.id,
                    chosen.expected_ms,
                    real_ms,
                    wait_ms,
                    refused,
                    tokens,
                    chance,
                )
            )
        if not refused:
            worker.free_at = done - self.start
            self._stream(number, chosen, prompt, done, real_ms, stream)

    def _stream(self, number, chosen, prompt, done, real_ms, stream):
        ticket = self.fleets[number].load_tracker.open_ticket(
            chosen.upstream.id, prompt.unit, prompt.tokens_in
        )

        def first_event():
            ticket.note_prompt_read()
            self.choosers[number].note_first_event(chosen, real_ms)

        self.at(done, first_event)
        self.at(done + stream, ticket.close)

    def report(self, number):
        self.at(self.clock[0] + UPDATE_SECONDS, lambda: self.report(number))
        fleet = self.fleets[number]
        loads = fleet.load_tracker.own()
        entries = [first_event_entry(*event) for event in fleet.first_events.drain()]

        def receive():
            self.reported[number] = loads
            if self.leader:
                self.slowness.receive(entries)

        self.at(self.clock[0] + TRANSIT_SECONDS, receive)

    def announce(self):
        self.at(self.clock[0] + UPDATE_SECONDS, self.announce)
        total = dict.fromkeys(self.workers, NO_LOAD)
        for loads in self.reported:
            for key, load in loads.items():
                total[key] = _sum(total[key], load)
        slowness = self.slowness.changes() if self.leader else {}
        others = [
            {key: _sum(load, mine.get(key, NO_LOAD), -1) for key, load in total.items()}
            for mine in self.reported
        ]

        def receive():
            for fleet, loads in zip(self.fleets, others, strict=True):
                fleet.load_tracker.set_others(loads)
                fleet.first_events.receive_others(loads)
                fleet.first_events.slowness.receive(slowness)

        self.at(self.clock[0] + TRANSIT_SECONDS, receive)

    def busiest_over_mean(self, *, weighted):
        """Return the ratio for the requests sent, by capacity if ``weighted``."""
        counts = Counter(one.worker for one in self.done if not one.refused)
        per_worker = {
            key: counts[key] / (worker.speed if weighted else 1.0)
            for key, worker in self.workers.items()
        }
        return max(per_worker.values()) * len(per_worker) / sum(per_worker.values())


def _sum(one, other, sign=1):
    return Load(
        one.requests + sign * other.requests, one.prompt_tokens + sign * other.prompt_tokens
    )
