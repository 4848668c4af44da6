"""When an instance asks its peers for a newer configuration."""

import pytest
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_version_tracker import (
    CURRENT_FRACTION,
    RouteVersionTracker,
)
from redwingscale_daemon._internal.store.link_state import LinkState
from redwingscale_daemon._internal.swaps.peer_query_rule import PeerQueryRule

from .peers_world import table

IN_FORCE_SECONDS = 2.0


class Instance:
    def __init__(self):
        self.routes = CurrentRoutes()
        self.routes.offer(table(1))
        self.versions = RouteVersionTracker(IN_FORCE_SECONDS)
        self.reads = LinkState("configuration")
        self.told = 0
        self.rule = PeerQueryRule(
            self.routes, self.versions, self.reads, lambda: self.told, IN_FORCE_SECONDS
        )

    def hear_leader(self):
        self.versions.take(1, 0.0)
        self.routes.note_newest(1)


@pytest.fixture
def instance(clock):
    made = Instance()
    made.hear_leader()
    return made


def test_peers_are_asked_before_an_own_read_has_failed(clock, instance):
    """Guards against peers that are asked only once the own read has failed beyond the bound."""
    clock.now += IN_FORCE_SECONDS * CURRENT_FRACTION
    assert not instance.rule.due()
    clock.now += IN_FORCE_SECONDS / 8
    assert not instance.reads.lost
    assert instance.rule.due()


def test_peers_are_not_asked_while_the_leader_is_heard(clock, instance):
    clock.now += IN_FORCE_SECONDS
    instance.reads.note_failure(OSError())
    instance.hear_leader()
    assert not instance.rule.due()


def test_peers_are_asked_for_a_version_that_an_instance_has_told(instance):
    instance.told = 2
    assert instance.rule.due()
