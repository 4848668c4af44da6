"""When an instance asks its peers for a newer configuration."""

from types import SimpleNamespace

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


def hear_leader(instance):
    instance.versions.take(1, 0.0)
    instance.routes.note_newest(1)


@pytest.fixture
def instance(clock):
    """What an instance has heard, and its rule."""
    made = SimpleNamespace(
        routes=CurrentRoutes(),
        versions=RouteVersionTracker(IN_FORCE_SECONDS),
        reads=LinkState("configuration"),
        told=0,
    )
    made.routes.offer(table(1))
    hear_leader(made)
    heard = made.routes, made.versions, made.reads, lambda: made.told
    made.rule = PeerQueryRule(*heard, IN_FORCE_SECONDS)
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
    hear_leader(instance)
    assert not instance.rule.due()


def test_peers_are_asked_for_a_version_that_an_instance_has_told(instance):
    instance.told = 2
    assert instance.rule.due()
