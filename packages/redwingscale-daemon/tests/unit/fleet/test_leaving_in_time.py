"""When an instance that relies on the leader's updates knows that an upstream is leaving."""

import time

import pytest
from redwingscale_daemon._internal.exceptions import PlatformUnavailable
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.list_follower import ListFollower
from redwingscale_daemon._internal.fleet.list_reads import READ_CHECK_SECONDS, ListReads
from redwingscale_daemon._internal.fleet.list_update import ListUpdate
from redwingscale_daemon._internal.fleet.list_update_tracker import ListUpdateTracker
from redwingscale_daemon._internal.fleet.own_reports import SILENT_SECONDS
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.platform.store_client import ANSWER_SECONDS
from redwingscale_daemon._internal.store.link_state import LinkState
from redwingscale_daemon._internal.store.rows import RowKey, Snapshot, StoredRow
from redwingscale_daemon._internal.store.store_version import StoreVersion

READ_SECONDS = 0.02
STEPS = 60


class Clock:
    """Simulated time, advanced by sleeping."""

    def __init__(self):
        self.now = 100.0

    def sleep(self, seconds):
        self.now += seconds


class Store:
    """Lists one upstream; the next ``lost`` calls get no answer."""

    def __init__(self, clock):
        self.leaving = False
        self.lost = 0
        self._clock = clock

    def read(self, table, partition):
        if self.lost:
            self.lost -= 1
            self._clock.sleep(ANSWER_SECONDS)
            raise PlatformUnavailable("no answer")
        self._clock.sleep(READ_SECONDS)
        version = 2 if self.leaving else 1
        row = StoredRow(
            RowKey(table, partition, "a"), StoreVersion(0, version), b"leaving" * self.leaving
        )
        return Snapshot((row,), StoreVersion(0, version))


def decode(name, row_version, value):
    return Upstream(
        name, "llm", "127.0.0.1", 1, "z", 8, bool(value), None, {}, frozenset(), frozenset()
    )


@pytest.fixture
def clock(monkeypatch):
    made = Clock()
    monkeypatch.setattr(time, "monotonic", lambda: made.now)
    monkeypatch.setattr(time, "sleep", made.sleep)
    return made


@pytest.mark.parametrize("leave_seconds", [2.0, 3.0])
@pytest.mark.parametrize("phase", [0.0, 0.25, 0.5, 0.75])
def test_leaving_is_known_in_time_if_the_leader_falls_silent_and_one_read_is_lost(
    clock, leave_seconds, phase
):
    # Guards against requests that are lost at an upstream whose leaving was confirmed.
    store, directory, state = Store(clock), new_fleet().directory, LinkState("upstreams")
    tracker = ListUpdateTracker(directory, leave_seconds)
    received_at = [clock.now]
    reads = ListReads(
        lambda: False,
        tracker.replaces_read,
        lambda: clock.now - received_at[0] > SILENT_SECONDS,
        leave_seconds,
    )
    follower = ListFollower(store, "servers", decode, directory, state, reads.not_due)

    def receive_update():
        received_at[0] = clock.now
        tracker.take(
            1, ListUpdate([], [], 0.0, directory.copy.digest, directory.copy.version.number)
        )

    for _ in range(STEPS):
        follower.step()
        receive_update()
        clock.sleep(READ_CHECK_SECONDS)
    clock.sleep(READ_CHECK_SECONDS * phase)
    receive_update()
    clock.sleep(READ_CHECK_SECONDS * (1 - phase))
    confirmed_at, store.leaving, store.lost = received_at[0], True, 1
    while directory.usable("llm"):
        follower.step()
        clock.sleep(READ_CHECK_SECONDS)
    assert clock.now - READ_CHECK_SECONDS - confirmed_at <= leave_seconds
