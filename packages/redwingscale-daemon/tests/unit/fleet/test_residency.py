"""What an instance believes upstreams hold once the order giver falls silent."""

import time

import pytest
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream import ResidentModel, Upstream


def upstream(*models):
    held = {name: ResidentModel(name, 1, frozenset()) for name in models}
    return Upstream(
        "u0", "llm", "127.0.0.1", 1, "z1", 64, False, None, held, frozenset(), frozenset()
    )


@pytest.fixture
def fleet():
    return new_fleet()


@pytest.fixture
def later(monkeypatch):
    """Move the clock on by some seconds."""
    real, offset = time.monotonic, [0.0]
    monkeypatch.setattr(time, "monotonic", lambda: real() + offset[0])

    def move(seconds):
        offset[0] += seconds

    return move


def holds(fleet, model):
    return bool(fleet.directory.holders("llm", Unit(model)))


def test_last_view_of_the_giver_outlasts_an_older_list(fleet, later):
    # The list was read 15 s ago, as the giver told everything since. The instance is cut
    # off: it went back to that list, sent requests for models that had gone to upstreams
    # that refused them, and refused others for models that were there.
    fleet.directory.replace([upstream("old")])
    later(15.0)
    fleet.residency.replace({"u0": {"new": frozenset()}}, {})
    later(10.0)
    assert holds(fleet, "new")
    assert not holds(fleet, "old")


def test_list_read_since_the_giver_fell_silent_counts(fleet, later):
    fleet.residency.replace({"u0": {"before": frozenset()}}, {})
    later(3.0)
    fleet.directory.replace([upstream("listed")])
    assert holds(fleet, "listed")
    assert not holds(fleet, "before")


def test_change_told_by_the_giver_is_no_read_of_the_list(fleet, later):
    fleet.residency.replace({"u0": {"told": frozenset()}}, {})
    later(1.0)
    fleet.directory.update([upstream("stale")], [])
    later(5.0)
    assert holds(fleet, "told")
