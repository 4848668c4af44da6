"""What the planner makes of engines that go quiet."""

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


def test_a_quiet_engine_is_lost_after_its_grace(make_view):
    watch = EngineWatch()
    for now in range(0, 40, 5):
        views = [make_view("e0", "a", 0.0), make_view("e1", "a", float(now))]
        availabilities = _availabilities(watch, views, float(now))
        assert availabilities["e1"] is Availability.OPEN
        if now == 20:
            assert availabilities["e0"] is Availability.SILENT

    assert "e0" not in availabilities


def test_a_whole_domain_that_goes_quiet_is_cut_off_and_not_lost(make_view):
    """Regions lose each other for minutes; the engines over there go on serving.

    Taking them for lost would load every model anew on this side, and unload
    it again when the cut ends.
    """
    watch = EngineWatch()
    for now in range(0, 300, 5):
        views = [make_view("e0", "a", 0.0), make_view("e1", "b", float(now))]
        availabilities = _availabilities(watch, views, float(now))

    assert availabilities == {"e0": Availability.PARTITIONED, "e1": Availability.OPEN}


def test_no_engine_is_lost_by_an_outage_of_the_platform(make_view):
    """The platform is down for an hour: owners cannot renew, so no digest is told.

    When it comes back the planner must not act on how old the digests are.
    """
    watch = EngineWatch()
    views = [make_view("e0", "a", 0.0), make_view("e1", "b", 0.0)]
    _availabilities(watch, views, 0.0)

    availabilities = _availabilities(watch, views, 3600.0)

    assert set(availabilities.values()) == {Availability.OPEN}


def test_an_engine_set_aside_gets_nothing_and_is_lost_after_its_grace(make_view):
    """An engine reports nonsense; its owner sets it aside and stops all orders.

    Loads planned there would never be carried out, and its models stay one short.
    """
    watch = EngineWatch()
    view = make_view("e0", "a", 0.0)
    aside = view._replace(digest=view.digest._replace(set_aside=True))

    seen = [
        _availabilities(watch, [aside, make_view("e1", "a", float(now))], float(now))
        for now in range(0, 40, 5)
    ]

    assert seen[0]["e0"] is Availability.SILENT
    assert "e0" not in seen[-1]


def test_a_retiring_unit_takes_memory_and_answers_nothing(make_view):
    view = make_view("e0", "a", 0.0)
    digest = view.digest._replace(residents=(ResidentUnit("m@v1", 5, True),), retiring=("m@v1",))

    rooms = EngineWatch().rooms({"e0": view._replace(digest=digest)}, 0.1, 0.0)

    assert rooms["e0"].residents == (ResidentUnit("m@v1", 5, False),)
