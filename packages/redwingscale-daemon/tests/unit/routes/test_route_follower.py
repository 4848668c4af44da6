"""Who reads the configuration, and when."""

import pytest
from redwingscale_daemon._internal.exceptions import PlatformUnavailable
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_follower import RouteFollower
from redwingscale_daemon._internal.routes.route_table import IngressLimits, RouteTable
from redwingscale_daemon._internal.routes.route_version_tracker import RouteVersionTracker
from redwingscale_daemon._internal.store.link_state import LinkState
from redwingscale_daemon._internal.store.rows import RowKey, Snapshot, StoredRow

ROW = RowKey("op", "", "config")


class Store:
    """One row whose value is its version; counts the reads."""

    def __init__(self):
        self.value = 1
        self.reads = []
        self.fail = False

    def read(self, table, partition):
        return self._answer("read")

    def changes(self, table, after, wait):
        return self._answer("changes")

    def _answer(self, what):
        self.reads.append(what)
        if self.fail:
            raise PlatformUnavailable("down")
        row = StoredRow(ROW, self.value, str(self.value).encode())
        return Snapshot((row,), self.value)


def decode(value):
    return RouteTable(int(value), (), {}, IngressLimits(1000, 1000, 1.0, 1.0))


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def versions():
    return RouteVersionTracker()


@pytest.fixture
def routes():
    return CurrentRoutes()


@pytest.fixture
def follower(store, versions, routes):
    state = LinkState("configuration")
    return RouteFollower(store, ROW, decode, routes, state, versions, lambda: False)


def test_nothing_is_read_while_the_giver_tells(follower, store, versions):
    follower.step()
    versions.take(1, 0.0)
    follower.step()
    assert store.reads == ["read"]


def test_newer_version_that_the_giver_tells_is_read_at_once(follower, store, versions, routes):
    follower.step()
    store.value = 2
    versions.take(2, 0.0)
    follower.step()
    assert routes.get().version == 2
    assert store.reads == ["read", "read"]


def test_giver_that_no_longer_reads_is_not_relied_on(follower, store, versions):
    # The giver is cut off from the store and goes on telling the version that it
    # knows: an operator's change would be in force only when it is replaced.
    follower.step()
    versions.take(1, 2.0)
    follower.step()
    assert store.reads == ["read", "changes"]


def test_newer_version_that_cannot_be_read_is_asked_for_again(follower, store, versions, routes):
    follower.step()
    store.value, store.fail = 2, True
    versions.take(2, 0.0)
    follower.step()
    store.fail = False
    follower.step()
    assert routes.get().version == 2


@pytest.mark.parametrize(("fetched", "reads"), [(True, 1), (False, 2)])
def test_version_that_is_told_comes_from_the_giver_if_it_can(
    store, versions, routes, fetched, reads
):
    """Guards against a call to the store by each instance for each version."""

    def fetch_announced():
        return fetched and routes.offer(decode(b"2"))

    state = LinkState("configuration")
    follower = RouteFollower(
        store, ROW, decode, routes, state, versions, lambda: False, fetch_announced=fetch_announced
    )
    follower.step()
    store.value = 2
    versions.take(2, 0.0)
    follower.step()
    assert routes.get().version == 2
    assert len(store.reads) == reads
