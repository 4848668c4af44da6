"""How often many instances read the list after the store came back from an older copy."""

import random
import time

import pytest
from redwingscale_daemon._internal.exceptions import PlatformUnavailable
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.list_follower import ListFollower
from redwingscale_daemon._internal.fleet.list_reads import READ_CHECK_SECONDS, ListReads
from redwingscale_daemon._internal.fleet.list_update_tracker import ListUpdateTracker
from redwingscale_daemon._internal.store.link_state import LinkState
from redwingscale_daemon._internal.store.rows import Snapshot
from redwingscale_daemon._internal.store.store_eras import StoreEras
from redwingscale_daemon._internal.store.store_version import StoreVersion

# What the users' store takes of all instances together, of which the list is one of three parts.
READS_PER_SECOND = 2000
LIST_PART = 1 / 3
AWAY_SECONDS, WATCHED_SECONDS = 3.0, 6.0


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class Store:
    def __init__(self, clock):
        self._clock = clock
        self.version = StoreVersion(0, 100)
        self.away = False
        self.reads = []

    def read(self, table, partition):
        self.reads.append(self._clock.now)
        if self.away:
            raise PlatformUnavailable("away")
        return Snapshot((), self.version)


def instance(store):
    directory, state, eras = new_fleet().directory, LinkState("upstreams"), StoreEras()
    tracker = ListUpdateTracker(directory, eras=eras)
    reads = ListReads(
        lambda: False,
        tracker.replaces_read,
        lambda: True,
        outdated=lambda: directory.copy.version.era < eras.newest,
    )

    class Client:
        def read(self, table, partition):
            snapshot = store.read(table, partition)
            eras.note(snapshot.version.era, "store")
            return snapshot

    return ListFollower(Client(), "servers", None, directory, state, reads.not_due)


@pytest.mark.parametrize("instances", [60, 300])
def test_reads_without_a_leader_stay_within_the_rate_of_the_store(monkeypatch, instances):
    """Guards against reads by all instances at once, over and over, after a copy."""
    clock = Clock()
    monkeypatch.setattr(time, "monotonic", clock)
    store, drawn = Store(clock), random.Random(instances)
    followers = [(instance(store), drawn.random() * READ_CHECK_SECONDS) for _ in range(instances)]

    def run(seconds):
        for _ in range(round(seconds / READ_CHECK_SECONDS)):
            begun_at = clock.now
            for follower, offset in sorted(followers, key=lambda one: one[1]):
                clock.now = begun_at + offset
                follower.step()
            clock.now = begun_at + READ_CHECK_SECONDS

    run(2.0)
    store.away = True
    run(AWAY_SECONDS)
    store.away, store.version = False, StoreVersion(1, 40)
    back_at = clock.now
    run(WATCHED_SECONDS)
    worst = max(
        sum(begin <= at < begin + 1.0 for at in store.reads)
        for begin in (back_at + number / 10 for number in range(int(WATCHED_SECONDS - 1) * 10))
    )
    assert worst <= READS_PER_SECOND * LIST_PART
