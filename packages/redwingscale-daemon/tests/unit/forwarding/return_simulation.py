"""Callers that compete for three holders through many instances, on a simulated clock."""

import heapq
import random
import time
from itertools import count
from types import SimpleNamespace
from typing import NamedTuple

from redwingscale_daemon._internal.admission.return_book import ReturnBook
from redwingscale_daemon._internal.composition.ordered_return import (
    ReturnUpdates,
    build_ordered_return,
)
from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.chooser import Chooser
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.load_tracker import Load
from redwingscale_daemon._internal.fleet.prompt import Prompt, PromptPart
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.unplanned_units import UnplannedUnits
from redwingscale_daemon._internal.fleet.upstream import ResidentModel, Upstream
from redwingscale_daemon._internal.forwarding.holder_wait import HolderWait
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_table import IngressLimits, RouteTable
from redwingscale_daemon._internal.routes.service_rule import EngineRule, ModelRule, ServiceRule
from redwingscale_daemon._internal.routes.urgency import Urgency
from redwingscale_daemon._internal.swaps.announced_returns import AnnouncedReturns
from redwingscale_daemon._internal.swaps.local_demand import LocalDemand

SERVICE, UNIT = "llm", Unit("m")
UPDATE_SECONDS = 0.25
RATE = 19_200.0
GENERATION_SECONDS = 0.5


class Clock:
    """Replaces `time.monotonic`."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class Caller(NamedTuple):
    """A request as its caller sees it; times are in seconds."""

    name: str
    at: float
    target: float
    limit: float
    rank: int = 0
    tokens: int = 2368


class Outcome(NamedTuple):
    """``sends`` has the send time and the retry time or None, by attempt."""

    caller: Caller
    sends: list
    first_event_at: float | None


def new_call(caller, clock, deadline):
    """Return a call of ``caller`` that arrives now."""
    return SimpleNamespace(
        service=SERVICE,
        urgency=Urgency(caller.rank),
        route=SimpleNamespace(
            latency_target_seconds=caller.target,
            first_event_seconds=min(caller.limit, max(2.0, 4 * caller.target)),
        ),
        attempts=SimpleNamespace(
            tried=set(), count=0, last_event_at=None, returning=False,
            certainly_not_run=True, history=[],
        ),
        request=SimpleNamespace(arrived_at=clock.now),
        terms=SimpleNamespace(request_id=f"{caller.name}-{clock.now:.3f}", key_digest=b"k"),
        watch=SimpleNamespace(
            remaining=lambda: max(0.0, deadline - clock.now), check_caller=lambda: None
        ),
    )  # fmt: skip


def prompt_of(caller):
    return Prompt(UNIT, caller.tokens, 11, (PromptPart(caller.name, caller.tokens),))


class Instance:
    """One instance's fleet, book and wait."""

    def __init__(self, number, instances, holders, mode):
        self.fleet = new_fleet()
        resident = {"m": ResidentModel("m", 1, frozenset())}
        self.fleet.directory.replace(
            Upstream(h, SERVICE, "127.0.0.1", 1, "z1", 64, False, None, resident, frozenset(), frozenset())
            for h in holders
        )  # fmt: skip
        routes = CurrentRoutes()
        model = ModelRule("m", 70_000.0, 1.0, 0, 8.6, 1.7, 1.3)
        engine = EngineRule(64, 100_000, 200_000.0, 8, 9.0, {"m": model})
        services = {SERVICE: ServiceRule(SERVICE, 100, engine)}
        routes.offer(RouteTable(1, (), services, IngressLimits(1, 1, 1.0, 1.0)))
        self.updates = ReturnUpdates(ReturnBook(time.monotonic), UnplannedUnits(time.monotonic))
        self.demand = LocalDemand()
        self.results = []
        chooser = Chooser("z1", self.fleet, lambda: instances)
        chooser._random = random.Random(number)
        order = build_ordered_return(
            mode, self.updates, routes, self.fleet, self.demand, self.results.append
        )._replace(spread=random.Random(number).random, clock=time.monotonic)
        self.wait = HolderWait(
            chooser, self.fleet.changes, self.fleet.residency, self.demand,
            SimpleNamespace(ends_at=float("inf")), self.fleet.gate, order=order,
        )  # fmt: skip


class Simulation:
    """Holders that read prompts in the order of their arrival; updates four times a second."""

    def __init__(self, clock, mode, instances=20, holders=("u0", "u1", "u2")):
        self.clock = clock
        self.instances = [Instance(n, instances, holders, mode) for n in range(instances)]
        self.leader = AnnouncedReturns(clock)
        self.outcomes = []
        # Returns without an update of the leader, to inject its loss.
        self.leader_lost = False
        self._free_at = dict.fromkeys(holders, 0.0)
        self._random = random.Random(7)
        self._events = []
        self._number = count()

    def run(self, callers):
        """Return the outcomes of all callers."""
        start = self.clock.now
        for caller in callers:
            self._at(start + caller.at, self._send, caller, [], start + caller.at + caller.limit)
        for step in range(int(30 / UPDATE_SECONDS)):
            self._at(start + step * UPDATE_SECONDS, self._update)
        while self._events:
            at, _, action, arguments = heapq.heappop(self._events)
            self.clock.now = max(self.clock.now, at)
            action(*arguments)
        return self.outcomes

    def _at(self, at, action, *arguments):
        heapq.heappush(self._events, (at, next(self._number), action, arguments))

    def _send(self, caller, sends, deadline, avoided=None):
        instance = self._random.choice([one for one in self.instances if one is not avoided])
        call = new_call(caller, self.clock, deadline)
        try:
            found = instance.wait.choose_holder(call, prompt_of(caller))
        except Refusal as refusal:
            self._refused(caller, sends, deadline, refusal, instance)
            return
        sends = [*sends, (self.clock.now, None)]
        key = found.upstream.id
        ticket = instance.fleet.load_tracker.open_ticket(key, UNIT, caller.tokens)
        self._free_at[key] = max(self.clock.now, self._free_at[key]) + caller.tokens / RATE
        first_event_at = self._free_at[key]
        self._at(first_event_at, self._first_event, instance, ticket, key, found, self.clock.now)
        self._at(first_event_at + GENERATION_SECONDS, ticket.close)
        self.outcomes.append(Outcome(caller, sends, first_event_at))

    def _first_event(self, instance, ticket, key, found, sent_at):
        ticket.note_prompt_read()
        real_ms = (self.clock.now - sent_at) * 1000
        instance.fleet.latency_factors.observe(key, found.first_event_ms, real_ms)

    def _refused(self, caller, sends, deadline, refusal, instance):
        sends = [*sends, (self.clock.now, refusal.retry_after_seconds)]
        if len(sends) > 1:
            self.outcomes.append(Outcome(caller, sends, None))
            return
        pause = min(refusal.retry_after_seconds, (deadline - self.clock.now) / 3)
        self._at(self.clock.now + pause + 0.005, self._send, caller, sends, deadline, instance)

    def _update(self):
        for instance in self.instances:
            self.leader.receive(instance.updates.entries())
        entries = [] if self.leader_lost else self.leader.next_entries()
        loads = [one.fleet.load_tracker.own() for one in self.instances]
        total = {
            key: Load(*map(sum, zip(*(own.get(key, (0, 0)) for own in loads), strict=True)))
            for key in self._free_at
        }
        update = SimpleNamespace(unplanned=[], returns=entries)
        for instance, own in zip(self.instances, loads, strict=True):
            others = {
                key: Load(*(a - b for a, b in zip(load, own.get(key, (0, 0)), strict=True)))
                for key, load in total.items()
            }
            # The leader's updates arrive a quarter of a second after those of the instances.
            self._at(self.clock.now + 0.2, self._receive, instance, update, others)

    def _receive(self, instance, update, others):
        instance.updates.receive(update)
        instance.fleet.load_tracker.set_others(others)


def burst(count, seconds, **options):
    """Return ``count`` callers that arrive evenly within ``seconds``."""
    options = {"target": 1.211, "limit": 6.054} | options
    return [Caller(f"c{n}", n * seconds / count, **options) for n in range(count)]
