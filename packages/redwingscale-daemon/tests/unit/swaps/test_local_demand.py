"""The demand that an instance sends to the leader."""

import time

from redwingscale_daemon._internal.fleet.prompt import Prompt
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.forwarding.terms import Terms
from redwingscale_daemon._internal.routes.urgency import Urgency
from redwingscale_daemon._internal.swaps.demand import Demand
from redwingscale_daemon._internal.swaps.local_demand import LocalDemand
from redwingscale_daemon._internal.swaps.messages import InstanceUpdate
from redwingscale_daemon._internal.swaps.planner import Planner

from .conftest import SERVICE, view

UNIT = Unit("a")


def test_overload_is_sent_once():
    local_demand = LocalDemand()
    local_demand.note_overload("llm", UNIT)
    assert [entry.overloads for entry in local_demand.drain()] == [1]
    assert local_demand.drain() == []


def test_wait_is_sent_until_it_ends():
    local_demand = LocalDemand()
    local_demand.begin_wait("llm", UNIT, 3.0)
    for _ in range(2):
        (entry,) = local_demand.drain()
        assert (entry.waiting, 2.5 < entry.max_wait_seconds <= 3.0) == (1, True)
    local_demand.end_wait("llm", UNIT)
    assert local_demand.drain() == []


def update_of(unit, priority, waits):
    """Return an update with ``waits`` requests for a unit that has no holder."""
    local_demand = LocalDemand()
    for number in range(waits):
        terms = Terms(f"r{number}", 12.0, Prompt(unit, 1000, 100, ()), None)
        local_demand.arrived(SERVICE, terms, Urgency(priority).weight)
        local_demand.begin_wait(SERVICE, unit, 10.0)
    return InstanceUpdate(f"i-{unit}", local_demand.drain(), [], [], [])


def swap_for(engine, *updates):
    demand = Demand()
    for one in updates:
        demand.receive(one)
    planner = Planner(SERVICE, engine, demand)
    return planner.best_swap(demand.waiting(), [view("u0", "a", "b")], cold_allowed=True)


def test_each_rank_doubles_a_requests_weight():
    assert [Urgency(priority).weight for priority in (0, 1, 2)] == [2.0, 1.0, 0.5]
    assert Urgency(9).weight > 0


def test_urgent_requests_get_their_model_before_more_that_are_less_urgent(engine):
    # The most urgent requests are for rare models, one request each. Without weights, less
    # urgent requests for another rare model, a little more frequent, take the only place,
    # and the urgent ones are refused five times as often.
    swap = swap_for(engine, update_of(Unit("c"), 2, waits=4), update_of(Unit("d"), 0, waits=3))
    assert swap.model.name == "d"


def test_many_less_urgent_requests_outweigh_a_few_urgent_ones(engine):
    swap = swap_for(engine, update_of(Unit("c"), 2, waits=20), update_of(Unit("d"), 0, waits=2))
    assert swap.model.name == "c"


def test_less_urgent_request_is_not_starved(engine, monkeypatch):
    # One such request does not justify a load, but each second without its model counts.
    real, offset = time.monotonic, [0.0]
    monkeypatch.setattr(time, "monotonic", lambda: real() + offset[0])
    demand = Demand()
    planner = Planner(SERVICE, engine, demand)
    for _ in range(40):
        demand.receive(update_of(Unit("c"), 2, waits=1))
        swap = planner.best_swap(demand.waiting(), [view("u0", "a", "b")], cold_allowed=True)
        if swap is not None:
            break
        offset[0] += 1.0
    assert swap is not None
    assert swap.model.name == "c"
