"""Availability of silent engines for the planner."""

from typing import Any

import pytest
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.models.report import Digest, ResidentUnit
from redwingscale_daemon._internal.placement.engine_room import Availability
from redwingscale_daemon._internal.placement.engine_watch import EngineWatch
from redwingscale_daemon._internal.upstreams.directory import EngineView


@pytest.fixture
def make_view() -> Any:
    def make(engine: str, domain: str, seen_at: float) -> EngineView:
        member = EngineMember(engine, domain, False, "", "alder", 2, True, 5.0)
        return EngineView(member, Digest(engine, 1, False, 100, (), 0, 0, 8), seen_at)

    return make


def _availabilities(watch, views, now):
    views = {v.member.id: v for v in views}
    return {e: r.availability for e, r in watch.rooms(views, 0.1, now).items()}


def test_silent_engine_is_lost_after_its_grace(make_view):
    watch = EngineWatch()
    for now in range(0, 40, 5):
        views = [make_view("e0", "a", 0.0), make_view("e1", "a", float(now))]
        availabilities = _availabilities(watch, views, float(now))
        assert availabilities["e1"] is Availability.OPEN
        if now == 20:
            assert availabilities["e0"] is Availability.SILENT

    assert "e0" not in availabilities


def test_silent_failure_domain_is_partitioned_and_not_lost(make_view):
    """Guards against reloads during a network partition.

    Regions are disconnected for minutes while the engines on the other side keep serving.
    If they counted as lost, every model would be loaded again on this side, and unloaded
    after the partition.
    """
    watch = EngineWatch()
    for now in range(0, 300, 5):
        views = [make_view("e0", "a", 0.0), make_view("e1", "b", float(now))]
        availabilities = _availabilities(watch, views, float(now))

    assert availabilities == {"e0": Availability.PARTITIONED, "e1": Availability.OPEN}


def test_no_engine_is_lost_by_an_outage_of_the_platform(make_view):
    """Guards against a new placement of all models after an outage of the platform.

    The platform is down for an hour: owners cannot renew their leases, so no digest is
    published. After it, the planner must not act on the age of the digests.
    """
    watch = EngineWatch()
    views = [make_view("e0", "a", 0.0), make_view("e1", "b", 0.0)]
    _availabilities(watch, views, 0.0)

    availabilities = _availabilities(watch, views, 3600.0)

    assert set(availabilities.values()) == {Availability.OPEN}


def test_engine_set_aside_gets_no_loads_and_is_lost_after_its_grace(make_view):
    """Guards against models that stay without their second replica.

    An engine sends invalid reports, so its owner sets it aside and sends no orders. Loads
    planned there would never be carried out.
    """
    watch = EngineWatch()
    view = make_view("e0", "a", 0.0)
    aside = view._replace(digest=view.digest._replace(set_aside=True))

    availabilities = [
        _availabilities(watch, [aside, make_view("e1", "a", float(now))], float(now))
        for now in range(0, 40, 5)
    ]

    assert availabilities[0]["e0"] is Availability.SILENT
    assert "e0" not in availabilities[-1]


def test_retiring_unit_takes_memory_but_is_not_ready(make_view):
    view = make_view("e0", "a", 0.0)
    digest = view.digest._replace(residents=(ResidentUnit("m@v1", 5, True),), retiring=("m@v1",))

    rooms = EngineWatch().rooms({"e0": view._replace(digest=digest)}, 0.1, 0.0)

    assert rooms["e0"].residents == (ResidentUnit("m@v1", 5, False),)
