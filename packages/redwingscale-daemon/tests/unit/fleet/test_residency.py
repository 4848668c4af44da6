"""Which residency an instance assumes once the leader falls silent."""

import time

import pytest
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream import ResidentModel, Upstream


def upstream(*models):
    resident = {name: ResidentModel(name, 1, frozenset()) for name in models}
    return Upstream(
        "u0", "llm", "127.0.0.1", 1, "z1", 64, False, None, resident, frozenset(), frozenset()
    )


@pytest.fixture
def fleet():
    return new_fleet()


@pytest.fixture
def later(monkeypatch):
    """Return a function that advances the clock by some seconds."""
    real, offset = time.monotonic, [0.0]
    monkeypatch.setattr(time, "monotonic", lambda: real() + offset[0])

    def move(seconds):
        offset[0] += seconds

    return move


def is_resident(fleet, model):
    return bool(fleet.directory.holders("llm", Unit(model)))


def test_last_view_of_the_leader_is_preferred_to_an_older_list(fleet, later):
    # The list was read 15 s ago, since the leader's updates replaced reads. Guards against
    # an instance that falls back to that list when it is cut off: it would send requests
    # to upstreams where the model is no longer resident, and refuse others for models that
    # are resident.
    fleet.directory.replace([upstream("old")])
    later(15.0)
    fleet.residency.replace({"u0": {"new": frozenset()}}, {})
    later(10.0)
    assert is_resident(fleet, "new")
    assert not is_resident(fleet, "old")


def test_list_read_after_the_leader_fell_silent_is_used(fleet, later):
    fleet.residency.replace({"u0": {"before": frozenset()}}, {})
    later(3.0)
    fleet.directory.replace([upstream("listed")])
    assert is_resident(fleet, "listed")
    assert not is_resident(fleet, "before")


def test_list_change_from_the_leader_does_not_count_as_a_read(fleet, later):
    fleet.residency.replace({"u0": {"announced": frozenset()}}, {})
    later(1.0)
    fleet.directory.update([upstream("stale")], [])
    later(5.0)
    assert is_resident(fleet, "announced")
