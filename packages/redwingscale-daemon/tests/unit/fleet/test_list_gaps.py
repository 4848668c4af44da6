"""Upstreams that came and went while an instance had no current list."""

import pytest
from redwingscale_daemon._internal.exceptions import HistoryGone
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.list_gaps import GAP_SECONDS, ListGaps
from redwingscale_daemon._internal.fleet.removed_upstreams import RemovedUpstreams
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.store.rows import RowKey, Snapshot, StoredRow
from redwingscale_daemon._internal.store.store_version import StoreVersion

TABLE = "upstreams"
LISTED = Upstream(
    "u1", "llm", "127.0.0.1", 1, "z1", 64, False, None, {}, frozenset(), frozenset(),
    software="v1",
)  # fmt: skip


class ListStore:
    """A store that tells which names were removed after version 7."""

    def __init__(self):
        self.removed, self.failure, self.asked = [], None, []

    def changes(self, table, after, wait_seconds):
        self.asked.append(after)
        if self.failure is not None:
            raise self.failure
        rows = tuple(
            StoredRow(RowKey(table, "", name), StoreVersion(0, 8), None) for name in self.removed
        )
        return Snapshot(rows, StoreVersion(0, 8))


class Follower:
    """The list of an instance, ``age`` seconds old."""

    def __init__(self, store):
        self.age, self.missed = 0.1, 0
        self.directory = new_fleet().directory
        removed = RemovedUpstreams(store, TABLE)
        self.gaps = ListGaps(lambda: self.age, self.directory, removed, self._note)

    def _note(self):
        self.missed += 1

    def read(self, number):
        self.gaps.follow()
        self.directory.replace([LISTED], StoreVersion(0, number))
        self.age = 0.1
        self.gaps.end()


@pytest.fixture
def store():
    return ListStore()


@pytest.fixture
def follower(store):
    made = Follower(store)
    made.age = float("inf")
    made.read(7)
    assert (made.missed, store.asked) == (0, [])
    return made


def test_current_list_costs_no_call(follower, store):
    store.removed = ["u2"]
    follower.age = GAP_SECONDS
    follower.read(8)
    assert (follower.missed, store.asked) == (0, [])


def test_upstream_that_came_and_went_in_a_gap_is_noted_once(follower, store):
    """Guards against a version that nobody remembers after an instance was cut off."""
    store.removed = ["u2"]
    follower.age = GAP_SECONDS + 0.1
    follower.read(8)
    follower.read(9)
    assert (follower.missed, store.asked) == (1, [StoreVersion(0, 7)])


def test_upstream_that_was_listed_before_the_gap_is_known(follower, store):
    """Guards against streams refused after each cut during which an upstream has left."""
    store.removed = ["u1"]
    follower.age = GAP_SECONDS + 0.1
    follower.read(8)
    assert (follower.missed, len(store.asked)) == (0, 1)


def test_gap_whose_changes_are_not_known_counts_as_missed(follower, store):
    """Guards against a store that no longer has the changes taken for one without changes."""
    store.failure = HistoryGone("dropped")
    follower.age = GAP_SECONDS + 0.1
    follower.read(8)
    assert follower.missed == 1


def test_gap_counts_from_the_list_before_it(follower, store):
    """Guards against updates that make the list look current before the store was read."""
    store.removed = ["u2"]
    follower.age = GAP_SECONDS + 0.1
    follower.gaps.follow()
    follower.directory.update([], [], StoreVersion(0, 8))
    follower.age = 0.1
    follower.read(9)
    assert (follower.missed, store.asked) == (1, [StoreVersion(0, 7)])


def test_short_gap_is_looked_into(follower, store):
    """Guards against a version that served for 0.9 s while an instance was cut off for 1.5 s."""
    store.removed = ["u2"]
    follower.age = 1.5
    follower.read(8)
    assert follower.missed == 1


def test_list_that_is_as_old_as_usual_costs_no_call(follower, store):
    """Guards against a call with each own read, which come each 0.84 s and are due each 0.1 s."""
    follower.age = 1.0
    follower.read(8)
    assert store.asked == []
