"""News of the order giver that a link brings late."""

import time

import pytest
from redwingscale_daemon._internal.fleet.list_told import ListTold
from redwingscale_daemon._internal.swaps.giver_hub import GiverHub
from redwingscale_daemon._internal.swaps.giver_lease import GiverRecord
from redwingscale_daemon._internal.swaps.giver_link import GiverLink
from redwingscale_daemon._internal.swaps.messages import GiverNews, InstanceNews, StoreNews
from redwingscale_standins.soak.faulty_link import FaultyLink

from .conftest import until

HELD_SECONDS = 1.0
# Of the time that news were held up, what may not be told from a calm link's delay.
UNSEEN_SECONDS = 0.2
STORE = StoreNews(1, ListTold([], [], 0.0, 0, 0), 1, 0.0)
NEWS = GiverNews("giver", 1, [], False, {}, None, 1, STORE)


class Lease:
    holds = False

    def __init__(self, record):
        self.record = record


@pytest.fixture
def hub():
    made = GiverHub("127.0.0.1", 0, 0, lambda news: None)
    made.start()
    yield made
    made.stop()


@pytest.fixture
def path(hub):
    made = FaultyLink(hub.news_port)
    yield made
    made.close()


@pytest.fixture
def heard(hub, path):
    """News as an instance takes them over ``path``."""
    told = []
    lease = Lease(GiverRecord("giver", "127.0.0.1", path.port, hub.needs_port, "start"))
    link = GiverLink(
        lease, "one", lambda _: InstanceNews("one", [], [], [], []), told.append, lambda _: None
    )
    link.start()

    def linked():
        hub.publish(NEWS)
        return bool(told)

    assert until(linked)
    yield told
    link.stop()


def test_news_that_were_held_up_on_their_way_are_as_old_as_that(hub, path, heard):
    # Guards against old news that are taken for new: a change that they lack is missed.
    path.hold_from = True
    time.sleep(UNSEEN_SECONDS)
    before = len(heard)
    hub.publish(NEWS)
    time.sleep(HELD_SECONDS)
    path.heal()
    assert until(lambda: len(heard) > before)
    store = heard[before].store
    assert store.configuration_age >= HELD_SECONDS - UNSEEN_SECONDS
    assert store.upstreams.age >= HELD_SECONDS - UNSEEN_SECONDS
