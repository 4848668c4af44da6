"""What a process that starts asks its peers before it is ready."""

import pytest
from redwingscale_daemon._internal.store.store_eras import StoreEras
from redwingscale_daemon._internal.swaps import start_check
from redwingscale_daemon._internal.swaps.start_check import StartCheck

from .conftest import until
from .peers_world import Peer, Requester, table


@pytest.fixture
def check(monkeypatch):
    """Return a function that starts the check of an instance with these peers."""
    monkeypatch.setattr(start_check, "ALONE_SECONDS", 0.3)

    def make(requester, peers, era=1):
        eras = StoreEras()
        eras.note(era, "store")
        made = StartCheck(
            requester.routes, eras, lambda: peers, lambda peer: requester.client.confirm(peer, 1.0)
        )
        made.start()
        return made

    return make


@pytest.fixture
def requester():
    made = Requester()
    made.routes.offer(table(2, "k1"))
    return made


def test_newer_configuration_of_a_peer_is_taken_first(check, requester):
    """Guards against a withdrawn key that works again at a process that starts on a copy."""
    peer = Peer(table(3, "k2"))
    made = check(requester, ["127.0.0.1:1", peer.server.address])
    assert until(lambda: made.done)
    assert requester.version == 3
    peer.server.stop()


def test_older_configuration_of_a_peer_is_not_taken(check, requester):
    peer = Peer(table(1))
    made = check(requester, [peer.server.address])
    assert until(lambda: made.done)
    assert requester.version == 2
    peer.server.stop()


def test_instance_alone_is_ready_after_a_while(check, requester):
    """Guards against an installation that never serves after all processes have ended."""
    made = check(requester, ["127.0.0.1:1"])
    assert until(lambda: made.done)


def test_nothing_is_asked_in_the_first_era(check, requester):
    made = check(requester, ["127.0.0.1:1"], era=0)
    assert until(lambda: made.done, seconds=0.25)


def test_check_waits_for_the_first_configuration(check):
    instance = Requester()
    made = check(instance, [], era=0)
    assert not until(lambda: made.done, seconds=0.2)
    instance.routes.offer(table(2))
    assert until(lambda: made.done)
