"""A new leader knows the demand of the time before it took the lease."""

import msgspec
import pytest
from redwingscale_daemon._internal.swaps.demand import Demand
from redwingscale_daemon._internal.swaps.messages import InstanceUpdate
from redwingscale_daemon._internal.swaps.planner import Planner

from .conftest import SERVICE, update, view


@pytest.fixture
def snapshot():
    """The demand that an instance counted while another one was the leader."""
    own = Demand()
    for _ in range(8):
        own.receive(update(a=10, b=1))
    return own.snapshot()


def update_with(snapshot, instance="i1"):
    wire = msgspec.msgpack.encode(InstanceUpdate(instance, [], [], [], [], snapshot))
    return msgspec.msgpack.decode(wire, type=InstanceUpdate)


def test_new_leader_adopts_the_rates_of_the_snapshots(snapshot):
    adopted = Demand()
    adopted.receive(update_with(snapshot))
    adopted.receive(update_with(snapshot, "i2"))
    counted = Demand()
    for _ in range(8):
        counted.receive(update(a=20, b=2))
    for model in ("a", "b"):
        expected = counted.model_rate(SERVICE, model)
        assert adopted.model_rate(SERVICE, model) == pytest.approx(expected, rel=0.05)
    assert adopted.baseline_requests(SERVICE, "a") == counted.baseline_requests(SERVICE, "a")


def test_snapshot_counts_once_per_leader(snapshot):
    # An instance reconnects to the same leader and sends its snapshot again: counted again,
    # all of its demand would be doubled.
    demand = Demand()
    demand.receive(update_with(snapshot))
    once = demand.model_rate(SERVICE, "a")
    demand.receive(update_with(snapshot))
    assert demand.model_rate(SERVICE, "a") == pytest.approx(once, rel=0.05)
    demand.forget_snapshot_senders()
    demand.receive(update_with(snapshot))
    assert demand.model_rate(SERVICE, "a") > 1.5 * once


def test_busy_model_keeps_its_place_across_a_handover(engine, snapshot):
    # The leader is cut off while one model has nearly all requests. A successor without a
    # count of them would evict the only copy of the busy model for requests that wait for a
    # rare one.
    views = [view("u0", "a", "b")]
    unaware = Planner(SERVICE, engine, Demand())
    assert unaware.extra_copy_swap([*views, view("u1", "c")], cold_allowed=True) is None
    demand = Demand()
    demand.receive(update_with(snapshot))
    aware = Planner(SERVICE, engine, demand)
    swap = aware.extra_copy_swap([*views, view("u1", "c")], cold_allowed=True)
    assert swap is not None
    assert swap.model.name == "a"
