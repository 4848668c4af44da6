"""How much of the configuration an instance reads at once."""

import pytest
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
    """Writes ``per_row`` versions while each row is sent; records how many rows each answer has."""

    def __init__(self, per_row=0):
        self.newest = 1
        self.per_row = per_row
        self.sizes = []

    def read(self, table, partition):
        return self._answer(self.newest - 1)

    def changes(self, table, after, wait_seconds):
        return self._answer(after.number)

    def _answer(self, after):
        versions = range(after + 1, self.newest + 1)
        rows = tuple(StoredRow(ROW, StoreVersion(0, one), str(one).encode()) for one in versions)
        self.sizes.append(len(rows))
        answer = Snapshot(rows, StoreVersion(0, self.newest))
        self.newest += self.per_row * len(rows)
        return answer


def decode(value):
    return RouteTable(int(value), (), {}, IngressLimits(1000, 1000, 1.0, 1.0))


@pytest.fixture
def routes():
    return CurrentRoutes()


@pytest.fixture
def versions():
    return RouteVersionTracker()


def follow(store, routes, versions, *, reads_for_all):
    state = LinkState("configuration")
    return RouteFollower(store, ROW, decode, routes, state, versions, lambda: reads_for_all)


def test_one_version_is_read_after_a_series_from_the_leader(clock, routes, versions):
    """Guards against an answer that grows with the time since the last own read."""
    store = Store()
    follower = follow(store, routes, versions, reads_for_all=False)
    follower.step()
    store.newest = SERIES
    for number in range(2, SERIES):
        routes.offer(decode(str(number).encode()))
        versions.take(number, 0.0)
        clock.now += VERSION_SECONDS
    follower.step()
    versions.take(SERIES - 1, 2.0)
    follower.step()
    assert routes.get().version == SERIES
    assert store.sizes == [1, 1]


def test_answers_do_not_grow_while_versions_come_faster_than_reads(routes, versions):
    """Guards against a leader whose reads fall behind a series further with each answer."""
    store = Store(per_row=2)
    follower = follow(store, routes, versions, reads_for_all=True)
    for _ in range(READS):
        follower.step()
    assert max(store.sizes) <= store.per_row
    assert routes.get().version >= store.newest - store.per_row**2
