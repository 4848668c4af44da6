"""When an instance reads the configuration from the store."""

import pytest
from redwingscale_daemon._internal.exceptions import PlatformUnavailable
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_follower import RouteFollower
from redwingscale_daemon._internal.routes.route_table import IngressLimits, RouteTable
from redwingscale_daemon._internal.routes.route_version_tracker import RouteVersionTracker
from redwingscale_daemon._internal.store.link_state import LinkState
from redwingscale_daemon._internal.store.rows import RowKey, Snapshot, StoredRow
from redwingscale_daemon._internal.store.store_version import StoreVersion

ROW = RowKey("op", "", "config")
SERIES = 40
VERSION_SECONDS = 0.1
READS = 9


class Store:
    """Keeps each version, and writes ``per_row`` more while a row is sent; records the reads."""

    def __init__(self):
        self.value = 1
        self.per_row = 0
        self.reads = []
        # How many versions each answer has.
        self.sizes = []
        self.fail = False

    def read(self, table, partition):
        return self._answer("read", self.value - 1)

    def changes(self, table, after, wait):
        return self._answer("changes", after.number)

    def _answer(self, what, after):
        self.reads.append(what)
        if self.fail:
            raise PlatformUnavailable("down")
        versions = range(after + 1, self.value + 1)
        rows = tuple(StoredRow(ROW, StoreVersion(0, one), str(one).encode()) for one in versions)
        self.sizes.append(len(rows))
        answer = Snapshot(rows, StoreVersion(0, self.value))
        self.value += self.per_row * len(rows)
        return answer


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


def test_nothing_is_read_while_the_leader_sends_updates(follower, store, versions):
    follower.step()
    versions.take(1, 0.0)
    follower.step()
    assert store.reads == ["read"]


def test_newer_version_that_the_leader_announces_is_read_at_once(follower, store, versions, routes):
    follower.step()
    store.value = 2
    versions.take(2, 0.0)
    follower.step()
    assert routes.get().version == 2
    assert store.reads == ["read", "read"]


def test_leader_that_no_longer_reads_is_not_relied_on(follower, store, versions):
    # Guards against a leader that is cut off from the store and keeps announcing an old
    # version: an operator's change would be in force only under its successor.
    follower.step()
    versions.take(1, 2.0)
    follower.step()
    assert store.reads == ["read", "changes"]


def test_read_of_a_newer_version_is_retried(follower, store, versions, routes):
    follower.step()
    store.value, store.fail = 2, True
    versions.take(2, 0.0)
    follower.step()
    store.fail = False
    follower.step()
    assert routes.get().version == 2


@pytest.mark.parametrize(("fetched", "reads"), [(True, 1), (False, 2)])
def test_announced_version_is_fetched_from_the_leader_if_possible(
    store, versions, routes, fetched, reads
):
    # Guards against a call to the store by each instance for each version.

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


def test_one_version_is_read_after_a_series_from_the_leader(
    clock, follower, store, versions, routes
):
    """Guards against an answer that grows with the time since the last own read."""
    follower.step()
    store.value = SERIES
    for number in range(2, SERIES):
        routes.offer(decode(str(number).encode()))
        versions.take(number, 0.0)
        clock.now += VERSION_SECONDS
    versions.take(SERIES - 1, 2.0)
    follower.step()
    assert routes.get().version == SERIES
    assert store.sizes == [1, 1]


def test_answers_do_not_grow_while_versions_come_faster_than_reads(store, versions, routes):
    """Guards against a leader whose reads fall behind a series further with each answer."""
    store.per_row = 2
    follower = RouteFollower(store, ROW, decode, routes, LinkState("configuration"), versions)
    for _ in range(READS):
        follower.step()
    assert max(store.sizes) <= store.per_row
    assert routes.get().version >= store.value - store.per_row**2
