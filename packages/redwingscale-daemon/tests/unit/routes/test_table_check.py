"""Whether a route table is current enough to judge requests."""

import threading

import pytest
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_table import IngressLimits, RouteTable
from redwingscale_daemon._internal.routes.table_check import MAX_WAIT_SECONDS, TableCheck

IN_FORCE_SECONDS = 2.0


def table(version):
    return RouteTable(version, (), {}, IngressLimits(1, 1, 1.0, 1.0))


@pytest.fixture
def routes():
    made = CurrentRoutes()
    made.offer(table(1))
    return made


@pytest.fixture
def check(routes):
    return TableCheck(routes, IN_FORCE_SECONDS)


def test_newer_version_that_is_known_only_by_name_does_not_renew_the_table(clock, routes):
    """Guards against a table that counts as current for as long as newer ones are announced."""
    routes.note_newest(1)
    clock.now += IN_FORCE_SECONDS
    routes.note_newest(2)
    assert routes.age == IN_FORCE_SECONDS
    routes.offer(table(2))
    assert routes.age == 0.0


def test_source_that_is_behind_does_not_renew_the_table(clock, routes):
    """Guards against a peer without the newest version that makes an old table look current."""
    routes.note_newest(2)
    clock.now += IN_FORCE_SECONDS
    routes.note_newest(1)
    assert routes.age > IN_FORCE_SECONDS


def test_request_waits_for_a_read_that_is_under_way(routes, check):
    routes.note_newest(1, IN_FORCE_SECONDS)
    reader = threading.Timer(0.05, routes.note_newest, (1,))
    reader.start()
    check.wait_until_current("r1")
    reader.join()
    assert not check.outdated


def test_request_does_not_wait_while_the_store_gives_no_answer(clock, routes):
    """Guards against requests that are held while nobody can tell of a newer version."""
    routes.note_newest(1, IN_FORCE_SECONDS)
    check = TableCheck(routes, IN_FORCE_SECONDS, lambda: clock.now)
    routes.wait_for_news = lambda seconds: pytest.fail("it waits")
    check.wait_until_current("r1")
    assert check.outdated


def test_wait_for_a_read_has_an_end(clock, routes, check):
    routes.note_newest(1, IN_FORCE_SECONDS)

    def advance(seconds):
        clock.now += seconds

    routes.wait_for_news = advance
    began_at = clock.now
    check.wait_until_current("r1")
    assert clock.now - began_at == pytest.approx(MAX_WAIT_SECONDS, abs=0.1)
