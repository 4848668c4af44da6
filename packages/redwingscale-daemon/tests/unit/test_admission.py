"""Admission of seeded random arrivals, simulated on a virtual clock."""

import heapq
import itertools
import random
from collections import Counter
from typing import NamedTuple

import pytest
from redwingscale_daemon._internal.admission.arrival import Arrival
from redwingscale_daemon._internal.admission.capacity import Capacity, Room
from redwingscale_daemon._internal.admission.gate import Gate, GateLimits, gate_limits
from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.models.generation import EndEvent, TokenEvent
from redwingscale_daemon._internal.models.member import EngineMember, InstanceMember
from redwingscale_daemon._internal.models.report import Digest
from redwingscale_daemon._internal.settings.settings import InstanceSettings
from redwingscale_daemon._internal.upstreams.directory import EngineView
from redwingscale_daemon._internal.upstreams.in_flight import InFlight

SLOTS = 16
FIRST_TOKEN_SECONDS, TOKENS, GAP_SECONDS = 0.1, 20, 0.02
SERVICE_SECONDS = FIRST_TOKEN_SECONDS + (TOKENS - 1) * GAP_SECONDS
CAPACITY_PER_SECOND = SLOTS / SERVICE_SECONDS
RUN_SECONDS = 30.0
LIMITS = GateLimits(running=112, waiting=32)


class CallerLoad(NamedTuple):
    caller: str
    share: int
    priority: int
    rate: float
    deadline: float


class SimulatedEngines:
    """Engines with ``SLOTS`` slots and fixed service times behind a gate."""

    def __init__(self, seed, loads, limits=LIMITS):
        self.now = 0.0
        self.busy = 0
        self.offered, self.in_time, self.refused, self.late = Counter(), Counter(), Counter(), 0
        self.retry_after = []
        self._rng = random.Random(seed)
        self._loads = loads
        self._gate = Gate(limits, self, clock=lambda: self.now)
        self._events = []
        self._order = itertools.count()
        self._open = {}

    def room(self, unit):
        return Room(SLOTS - self.busy, SLOTS)

    def run(self):
        for load in self._loads:
            for at in self._times(load.rate):
                self._at(at, self._arrive, load, at)
        while self._events:
            self.now, _, act, arguments = heapq.heappop(self._events)
            act(*arguments)
            self._follow_decisions()
        return self

    def _times(self, rate):
        at = self._rng.expovariate(rate)
        while at < RUN_SECONDS:
            yield at
            at += self._rng.expovariate(rate)

    def _at(self, when, act, *arguments):
        heapq.heappush(self._events, (when, next(self._order), act, arguments))

    def _arrive(self, load, at):
        self.offered[load.caller] += 1
        arrival = Arrival(
            load.caller, load.share, load.priority, "m@v1", TOKENS, at + load.deadline
        )
        ticket = self._gate.offer(arrival)
        self._open[id(ticket)] = ticket

    def _follow_decisions(self):
        for key, ticket in list(self._open.items()):
            if not ticket.is_decided():
                continue
            del self._open[key]
            if ticket.refusal:
                self.refused[ticket.arrival.caller] += 1
                self.retry_after.append(ticket.refusal.retry_after_seconds)
                assert ticket.refusal.run == "not_run"
            else:
                self.busy += 1
                self._at(self.now + FIRST_TOKEN_SECONDS, self._first_token, ticket)

    def _first_token(self, ticket):
        tokens = [TokenEvent(n, "t") for n in range(TOKENS)]
        stream = self._gate.leave_after(ticket, iter([*tokens, EndEvent(TOKENS)]))
        next(stream)
        self._at(self.now + SERVICE_SECONDS - FIRST_TOKEN_SECONDS, self._end, ticket, stream)

    def _end(self, ticket, stream):
        self.busy -= 1
        list(stream)
        in_time = self.now <= ticket.arrival.deadline_at
        self.in_time[ticket.arrival.caller] += in_time
        self.late += not in_time


def load_of_one_caller(rate, deadline=0.9):
    return [CallerLoad("clerks", 1, 5, rate, deadline)]


@pytest.mark.parametrize("seed", range(5))
def test_twice_the_capacity_keeps_the_throughput(seed):
    """Twice the requests that the engines can serve arrive.

    Without refusals all wait and nearly all miss their deadlines. With refusals as many
    meet them as at capacity, and each refusal names a positive retry time.
    """
    at_capacity = SimulatedEngines(seed, load_of_one_caller(CAPACITY_PER_SECOND)).run()
    overloaded = SimulatedEngines(seed, load_of_one_caller(2 * CAPACITY_PER_SECOND)).run()

    assert overloaded.in_time["clerks"] >= 0.95 * at_capacity.in_time["clerks"]
    assert overloaded.in_time["clerks"] >= 0.9 * CAPACITY_PER_SECOND * RUN_SECONDS
    assert overloaded.late <= 0.01 * overloaded.offered["clerks"]
    assert min(overloaded.retry_after) > 0


@pytest.mark.parametrize("seed", range(5))
def test_flood_does_not_starve_lookups(seed):
    """One caller sends ten times the capacity in requests of lower priority.

    The lookups of the registrars must still meet their deadlines.
    """
    loads = [
        CallerLoad("citizens", 4, 5, 10 * CAPACITY_PER_SECOND, 5.0),
        CallerLoad("registrars", 1, 1, 0.3 * CAPACITY_PER_SECOND, 1.5),
    ]

    engines = SimulatedEngines(seed, loads).run()

    assert engines.in_time["registrars"] >= 0.99 * engines.offered["registrars"]
    assert sum(engines.in_time.values()) >= 0.95 * CAPACITY_PER_SECOND * RUN_SECONDS


@pytest.mark.parametrize("seed", range(5))
def test_callers_of_one_priority_get_their_shares(seed):
    loads = [
        CallerLoad("small", 1, 5, 2 * CAPACITY_PER_SECOND, 3.0),
        CallerLoad("large", 3, 5, 2 * CAPACITY_PER_SECOND, 3.0),
    ]

    engines = SimulatedEngines(seed, loads).run()

    assert engines.in_time["large"] / engines.in_time["small"] == pytest.approx(3, rel=0.15)


def test_lowest_priority_is_not_starved():
    loads = [
        CallerLoad("a", 1, 0, 0.8 * CAPACITY_PER_SECOND, 2.0),
        CallerLoad("b", 1, 9, CAPACITY_PER_SECOND, 2.0),
    ]

    engines = SimulatedEngines(1, loads).run()

    assert engines.in_time["a"] >= 0.98 * engines.offered["a"]
    assert engines.in_time["b"] >= 0.1 * engines.offered["b"]


def test_full_instance_refuses_at_once_with_a_retry_time():
    gate = Gate(GateLimits(1, 1), SimulatedEngines(0, []))
    arrival = Arrival("clerks", 1, 5, "", 1, float("inf"))
    gate.enter(arrival)
    waiting = gate.offer(arrival)

    with pytest.raises(Refusal) as caught:
        gate.enter(arrival)

    assert (caught.value.status, caught.value.code) == (429, "overloaded")
    assert caught.value.retry_after_seconds
    assert not waiting.is_decided()


def test_request_keeps_its_room_until_its_stream_is_closed():
    gate = Gate(GateLimits(1, 1), SimulatedEngines(0, []))
    ticket = gate.enter(Arrival("clerks", 1, 5, "", 1, float("inf")))
    stream = gate.leave_after(ticket, iter([TokenEvent(0, "t"), EndEvent(1)]))
    next(stream)
    second = gate.offer(Arrival("clerks", 1, 5, "", 1, float("inf")))
    assert not second.is_decided()

    stream.close()

    assert second.admitted_at is not None


@pytest.mark.parametrize("threads", [1, 8, 160])
def test_threads_remain_for_refusals(threads):
    limits = gate_limits(threads)
    assert limits.running >= 1
    assert threads < 8 or limits.running + limits.waiting + 2 <= threads


class OneEngine:
    """A directory with one engine, whose report can be replaced."""

    def __init__(self):
        self.member = EngineMember("e", "a", False, "", "alder", 1, True, 0.0)
        self.view = EngineView(self.member, None, 0.0)

    def engines_with(self, unit):
        return [self.view]

    def report(self, running, received_at):
        digest = Digest("e", 1, False, 0, (), running, 0, SLOTS)
        self.view = EngineView(self.member, digest, received_at)


def test_room_corrects_a_delayed_report_by_own_requests():
    """The report is a second old: requests sent since are missing, ended ones included.

    A gate that relied on it would overload the engine or leave it idle. Of the free
    slots, each of the eight instances uses an equal share, and it may always use an
    equal share of all slots.
    """
    now = [10.0]
    directory, in_flight = OneEngine(), InFlight()
    members = Members(None)
    members.by_id = {name: InstanceMember(name, "a", "r", False, "", "", "") for name in "abcdefgh"}
    me = InstanceSettings("one", "a", "r")
    capacity = Capacity(me, directory, members, in_flight, 1.0, lambda: now[0])
    directory.report(running=4, received_at=10.0)
    assert capacity.room("m").free == SLOTS / 8
    spans = [in_flight.track("e") for _ in range(6)]
    for span in spans:
        span.__enter__()
    now[0] = 10.5
    assert capacity.room("m").free == (SLOTS - 10) / 8
    directory.report(running=10, received_at=12.0)
    now[0] = 12.0
    assert capacity.room("m").free == (SLOTS - 10) / 8
    for span in spans[:5]:
        span.__exit__(None, None, None)
    now[0] = 12.1
    assert capacity.room("m").free == (SLOTS - 5) / 8
