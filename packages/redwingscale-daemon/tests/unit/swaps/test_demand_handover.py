"""An order giver that takes over knows what was asked for before its time."""

import msgspec
import pytest
from redwingscale_daemon._internal.swaps.demand import Demand
from redwingscale_daemon._internal.swaps.messages import InstanceUpdate
from redwingscale_daemon._internal.swaps.planner import Planner

from .conftest import SERVICE, update, view


@pytest.fixture
def told():
    """What one instance has counted while another one gave the orders."""
    own = Demand()
    for _ in range(8):
        own.receive(update(a=10, b=1))
    return own.snapshot()


def introduction(told, instance="i1"):
    wire = msgspec.msgpack.encode(InstanceUpdate(instance, [], [], [], [], told))
    return msgspec.msgpack.decode(wire, type=InstanceUpdate)


def test_rates_are_taken_over(told):
    taken_over = Demand()
    taken_over.receive(introduction(told))
    taken_over.receive(introduction(told, "i2"))
    alone = Demand()
    for _ in range(8):
        alone.receive(update(a=20, b=2))
    for model in ("a", "b"):
        expected = alone.model_rate(SERVICE, model)
        assert taken_over.model_rate(SERVICE, model) == pytest.approx(expected, rel=0.05)
    assert taken_over.baseline_requests(SERVICE, "a") == alone.baseline_requests(SERVICE, "a")


def test_introduction_counts_once_a_term(told):
    # A link is dialled anew while the same giver goes on: told again, all of it would
    # count twice.
    demand = Demand()
    demand.receive(introduction(told))
    once = demand.model_rate(SERVICE, "a")
    demand.receive(introduction(told))
    assert demand.model_rate(SERVICE, "a") == pytest.approx(once, rel=0.05)
    demand.forget_snapshot_senders()
    demand.receive(introduction(told))
    assert demand.model_rate(SERVICE, "a") > 1.5 * once


def test_busy_model_keeps_its_place_across_a_hand_over(engine, told):
    # The order giver is cut off while one model has nearly all requests. The next giver
    # begins without a count of them: requests that wait for a rare model got the place
    # of the busy one's only copy.
    views = [view("u0", "a", "b")]
    unaware = Planner(SERVICE, engine, Demand())
    assert unaware.extra_copy_swap([*views, view("u1", "c")], cold_allowed=True) is None
    demand = Demand()
    demand.receive(introduction(told))
    aware = Planner(SERVICE, engine, demand)
    swap = aware.extra_copy_swap([*views, view("u1", "c")], cold_allowed=True)
    assert swap is not None
    assert swap.model.name == "a"
