"""Versions whose difference comes with the leader's updates."""

import pytest
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_table import IngressLimits, RouteTable
from redwingscale_daemon._internal.routes.service_rule import ServiceRule
from redwingscale_daemon._internal.routes.version_announcements import (
    ANNOUNCED_UPDATES,
    VersionAnnouncements,
    apply_announced,
)


def table(version, *slots):
    """Return a table with one service for each number of slots."""
    services = {f"s{place}": ServiceRule(f"s{place}", one, None) for place, one in enumerate(slots)}
    return RouteTable(version, (), services, IngressLimits(1, 1, 1.0, 1.0))


@pytest.fixture
def leader():
    routes = CurrentRoutes()
    routes.offer(table(1, 10, 20))
    return routes


@pytest.fixture
def instance():
    routes = CurrentRoutes()
    routes.offer(table(1, 10, 20))
    return routes


def test_difference_puts_a_version_in_force(leader, instance):
    announcements = VersionAnnouncements(leader)
    assert announcements.next_difference() == b""
    leader.offer(table(2, 10, 30))
    apply_announced(instance, 2, announcements.next_difference())
    assert instance.get().version == 2
    assert instance.get().digest == leader.get().digest


def test_difference_is_sent_with_the_first_updates_only(leader):
    """Guards against updates that grow for as long as a version is in force."""
    announcements = VersionAnnouncements(leader)
    leader.offer(table(2, 10, 30))
    sent = [announcements.next_difference() for _ in range(ANNOUNCED_UPDATES + 2)]
    assert [bool(one) for one in sent] == [True] * ANNOUNCED_UPDATES + [False] * 2


def test_large_difference_is_not_announced(leader):
    """Guards against a large version that the leader sends to all instances at once."""
    announcements = VersionAnnouncements(leader)
    leader.offer(table(2, *(number * 7919 % 10007 for number in range(2000))))
    assert announcements.next_difference() == b""


def test_instance_whose_table_the_leader_never_had_takes_no_difference(leader, instance):
    """Guards against a table that mixes two versions."""
    announcements = VersionAnnouncements(leader)
    instance.offer(table(2, 10, 30))
    leader.offer(table(3, 40, 30))
    apply_announced(instance, 3, announcements.next_difference())
    assert instance.get().version == 2


@pytest.mark.parametrize("missed", [0, 1, 2])
def test_difference_leads_over_versions_that_no_update_announced(leader, instance, missed):
    """Guards against a fetch by all instances at once for each version of a series."""
    announcements = VersionAnnouncements(leader)
    announcements.next_difference()
    for number in range(1, 4):
        leader.offer(table(2 * number, 10, 20, number))
        leader.offer(table(2 * number + 1, 10, number))
        difference = announcements.next_difference()
        if number > missed:
            apply_announced(instance, 2 * number + 1, difference)
            assert instance.get().version == 2 * number + 1
            assert instance.get().digest == leader.get().digest


def test_invalid_difference_is_ignored(instance):
    for difference in (b"no zlib", b""):
        apply_announced(instance, 2, difference)
    assert instance.get().version == 1
