"""An overloaded adapter of a model with many copies is loaded at several workers."""

import time

import pytest
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.swaps.adapter_spread import AdapterSpread
from redwingscale_daemon._internal.swaps.demand import Demand
from redwingscale_daemon._internal.swaps.messages import DemandEntry, InstanceUpdate

from .conftest import SERVICE, upstream
from .conftest import view as plain_view

UNIT = Unit("a", "a1")
SLOTS = 4
# Requests per second that one worker answers in time.
WORKER_PER_SECOND = 6
STEP_SECONDS = 0.25


def view(name, requests, *adapters, model="a"):
    made = plain_view(name, model)
    return made._replace(
        upstream=upstream(name, model), resident={model: frozenset(adapters)}, requests=requests
    )


@pytest.fixture
def clock(monkeypatch):
    now = [1000.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    return now


def late_fraction(clock, seconds, holders, spread, demand, copies, per_second):
    """Simulate ``per_second`` requests for one adapter; return the fraction that is late."""
    late = sent = 0
    for _ in range(int(seconds / STEP_SECONDS)):
        clock[0] += STEP_SECONDS
        arrivals = int(per_second * STEP_SECONDS)
        served = min(arrivals, int(len(holders) * WORKER_PER_SECOND * STEP_SECONDS))
        overloads = arrivals - served
        entry = DemandEntry(SERVICE, "a", "a1", arrivals, 0, 0.0, overloads)
        demand.receive(InstanceUpdate("i1", [entry], [], [], []))
        busy = per_second // len(holders)
        views = [
            view(f"u{n}", busy if n in holders else 1, *(["a1"] if n in holders else []))
            for n in range(copies)
        ]
        for copy in spread.choose_copies(demand.overloaded_adapters(SERVICE), views, SLOTS):
            demand.clear_overload(SERVICE, copy.unit)
            holders.add(int(copy.view.upstream.id[1:]))
        late, sent = late + overloads, sent + arrivals
    return late / sent


def test_overloaded_adapter_gets_as_many_holders_as_its_requests_need(clock):
    # Guards against an adapter that stays at one of ten workers with its model: its requests would
    # be refused behind that worker's queue while the nine others are lightly loaded.
    spread, demand, holders = AdapterSpread(), Demand(), {0}
    late_fraction(clock, 5.0, holders, spread, demand, copies=10, per_second=24)
    assert late_fraction(clock, 5.0, holders, spread, demand, copies=10, per_second=24) == 0
    assert len(holders) <= 8


def test_adapter_without_overload_gets_no_copy(clock):
    spread, demand, holders = AdapterSpread(), Demand(), {0}
    assert late_fraction(clock, 5.0, holders, spread, demand, copies=10, per_second=4) == 0
    assert holders == {0}


def test_no_copy_goes_to_a_worker_as_busy_as_the_holder(clock):
    views = [view("u0", 10, "a1"), view("u1", 9), view("u2", 8)]
    assert AdapterSpread().choose_copies([UNIT], views, SLOTS) == []


def test_worker_gets_at_most_one_order_per_plan(clock):
    views = [view("u0", 10, "a1", "a2"), view("u1", 1)]
    chosen = AdapterSpread().choose_copies([UNIT, Unit("a", "a2")], views, SLOTS)
    assert [copy.unit for copy in chosen] == [UNIT]
