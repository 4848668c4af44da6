"""Begun streams that wait for a model at the software version that began them."""

from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.swaps.bound_waits import BoundWaits
from redwingscale_daemon._internal.swaps.local_demand import LocalDemand
from redwingscale_daemon._internal.swaps.messages import InstanceUpdate

UNIT = Unit("m1")


def update(demand, instance="one"):
    return InstanceUpdate(instance, demand.drain(), [], [], [], bound_waits=demand.bound_waits())


def test_wait_of_a_begun_stream_is_told_with_its_version_until_it_ends():
    demand, waits = LocalDemand(), BoundWaits()
    demand.begin_wait("llm", UNIT, 3.0, "v1")
    demand.begin_wait("llm", UNIT, 1.0, "v1")
    assert waits.receive(update(demand))
    (wait,) = waits.all()
    assert (wait.service, wait.model, wait.software, wait.requests) == ("llm", "m1", "v1", 2)
    assert 2.0 < wait.max_wait_seconds <= 3.0
    demand.end_wait("llm", UNIT, "v1")
    demand.end_wait("llm", UNIT, "v1")
    assert not waits.receive(update(demand))
    assert [*waits.all()] == []


def test_wait_for_one_version_does_not_count_as_one_for_any():
    """Guards against a load at an upstream of another version, which helps nobody."""
    demand = LocalDemand()
    demand.begin_wait("llm", UNIT, 3.0, "v1")
    assert demand.drain() == []
    demand.begin_wait("llm", UNIT, 3.0)
    assert [entry.waiting for entry in demand.drain()] == [1]


def test_waits_of_several_instances_are_kept_apart():
    waits = BoundWaits()
    for name, software in (("one", "v1"), ("two", "v1.1")):
        demand = LocalDemand()
        demand.begin_wait("llm", UNIT, 3.0, software)
        waits.receive(update(demand, name))
    assert {wait.software for wait in waits.all()} == {"v1", "v1.1"}
