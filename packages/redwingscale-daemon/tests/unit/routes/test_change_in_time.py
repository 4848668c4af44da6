"""When a change is in force at an instance that relies on the leader's updates."""

import time

import pytest
from redwingscale_daemon._internal.exceptions import PlatformUnavailable
from redwingscale_daemon._internal.platform.store_client import FEED_MARGIN_SECONDS
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_follower import ANSWER_FRACTION, RouteFollower
from redwingscale_daemon._internal.routes.route_table import IngressLimits, RouteTable
from redwingscale_daemon._internal.routes.route_version_tracker import RouteVersionTracker
from redwingscale_daemon._internal.store.link_state import LinkState
from redwingscale_daemon._internal.store.rows import RowKey, Snapshot, StoredRow
from redwingscale_daemon._internal.store.store_version import StoreVersion

ROW = RowKey("op", "", "config")
READ_SECONDS = 0.02


class Clock:
    """Simulated time, advanced by sleeping."""

    def __init__(self):
        self.now = 100.0

    def sleep(self, seconds):
        self.now += seconds


class Store:
    """Answers with the newest version; the next ``lost`` calls get no answer."""

    def __init__(self, clock, in_force_seconds):
        self.version = 1
        self._answer_seconds = in_force_seconds * ANSWER_FRACTION
        self.lost = 0
        self._clock = clock

    def read(self, table, partition):
        return self._answer(self._answer_seconds)

    def changes(self, table, after, wait_seconds):
        return self._answer(wait_seconds + FEED_MARGIN_SECONDS)

    def _answer(self, limit_seconds):
        if self.lost:
            self.lost -= 1
            self._clock.sleep(limit_seconds)
            raise PlatformUnavailable("no answer")
        self._clock.sleep(READ_SECONDS)
        row = StoredRow(ROW, StoreVersion(0, self.version), str(self.version).encode())
        return Snapshot((row,), StoreVersion(0, self.version))


def decode(value):
    return RouteTable(int(value), (), {}, IngressLimits(1000, 1000, 1.0, 1.0))


@pytest.fixture
def clock(monkeypatch):
    made = Clock()
    monkeypatch.setattr(time, "monotonic", lambda: made.now)
    monkeypatch.setattr(time, "sleep", made.sleep)
    return made


def in_force_after(clock, store, versions, in_force_seconds):
    """Return how long version 2 takes if it is confirmed just after the leader's last update."""
    routes = CurrentRoutes()
    follower = RouteFollower(
        store,
        ROW,
        decode,
        routes,
        LinkState("configuration"),
        versions,
        lambda: False,
        in_force_seconds,
    )
    follower.step()
    versions.take(1, 0.0)
    follower.step()
    versions.take(1, 0.0)
    confirmed_at, store.version, store.lost = clock.now, 2, 1
    while routes.get().version == 1:
        follower.step()
    return clock.now - confirmed_at


@pytest.mark.parametrize("in_force_seconds", [2.0, 3.0])
def test_change_is_in_time_if_the_leader_falls_silent_and_one_read_is_lost(clock, in_force_seconds):
    # Guards against requests that are refused as unknown after their route was confirmed.
    versions = RouteVersionTracker(in_force_seconds)
    store = Store(clock, in_force_seconds)

    def wait_for_newer(version, seconds):
        clock.sleep(seconds)
        return versions.version > version

    versions.wait_for_newer = wait_for_newer
    assert in_force_after(clock, store, versions, in_force_seconds) <= in_force_seconds
