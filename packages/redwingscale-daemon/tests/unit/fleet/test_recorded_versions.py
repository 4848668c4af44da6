"""Versions that served between the last writing of the leader's row and the end of all instances."""

import msgspec
import pytest
from redwingscale_daemon._internal.exceptions import HistoryGone
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.recorded_versions import RecordedVersions
from redwingscale_daemon._internal.fleet.software_versions import SoftwareVersions
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.store.rows import RowKey, Snapshot, StoredRow
from redwingscale_daemon._internal.store.store_version import StoreVersion

STREAM_SECONDS = 40.0
TABLE = "upstreams"
LIST_NUMBER = 7
# The rows of one answer of the store.
PAGE_ROWS = 500
LISTED = [
    Upstream(
        "u1", "llm", "127.0.0.1", 1, "z1", 64, False, None, {}, frozenset(), frozenset(),
        software="v1",
    )
]  # fmt: skip


class ListStore:
    """A store whose list has changed since the row was written."""

    def __init__(self):
        self.changed = []
        self.history_gone = False

    def changes(self, table, after, wait_seconds):
        assert (table, wait_seconds) == (TABLE, 0.0)
        if self.history_gone:
            raise HistoryGone("dropped")
        rows = [row for row in self.changed if row.version > after][:PAGE_ROWS]
        return Snapshot(tuple(rows), rows[-1].version if rows else after)

    def note(self, name, value):
        version = StoreVersion(0, 10 + len(self.changed))
        self.changed.append(StoredRow(RowKey(TABLE, "", name), version, value))


class Process:
    """What one process knows of versions; ``number`` is that of its list."""

    def __init__(self, store, era=0):
        fleet = new_fleet()
        self.directory = fleet.directory
        self.versions = SoftwareVersions(lambda: STREAM_SECONDS, lambda: 0.1)
        fleet.directory.on_list(self.versions.follow)
        self.rows = RecordedVersions(self.versions, fleet.directory, store, TABLE)
        fleet.directory.replace(LISTED, StoreVersion(era, LIST_NUMBER))

    def written(self, era=0):
        value = msgspec.json.encode(self.rows.record())
        return StoredRow(RowKey("t", "", "k"), StoreVersion(era, 9), value)


@pytest.fixture
def store():
    return ListStore()


@pytest.fixture
def row(store):
    """The row of the first leader."""
    leader = Process(store)
    leader.rows.take_row(None, 0)
    return leader.written()


def sole(store, row, era=0):
    """Return the only version, as known to a process that starts and reads ``row``."""
    started = Process(store, era)
    started.rows.take_row(row, era)
    return started.versions.sole("llm")


def test_row_is_complete_if_only_known_upstreams_have_left(store, row):
    """Guards against streams that are given up after each end of all instances."""
    store.note("u1", None)
    store.note("u2", b"listed")
    assert sole(store, row) == "v1"


def test_upstream_that_came_and_went_may_have_begun_streams(store, row):
    """Guards against a stream that goes on at another version than that of such an upstream."""
    store.note("u2", None)
    assert sole(store, row) is None


def test_changes_that_the_store_has_dropped_may_be_such_upstreams(store, row):
    """Guards against a row that is taken for complete as nothing is known to be missing."""
    store.history_gone = True
    assert sole(store, row) is None


def test_row_of_an_earlier_era_may_lack_versions(store, row):
    """Guards against a copy of the row from before a version began to serve."""
    assert sole(store, row, era=1) is None


@pytest.mark.parametrize(("era", "known"), [(0, "v1"), (1, None)])
def test_row_that_is_missing_means_no_former_leader_in_the_first_era_only(store, era, known):
    """Guards against a copy of the store from before the first leader."""
    assert sole(store, None, era) == known


@pytest.mark.parametrize("value", [None, b'{"instance": "one", "host": "h"}', b"no JSON"])
def test_row_without_versions_says_nothing(store, row, value):
    """Guards against a row of the former release, or a deleted one, that is taken for complete."""
    assert sole(store, row._replace(value=value)) is None


@pytest.mark.parametrize("changes", [PAGE_ROWS + 10, 9 * PAGE_ROWS])
def test_upstream_that_came_and_went_is_found_among_many_changes(store, row, changes):
    """Guards against an answer of the store with some of the changes that is taken for all."""
    for number in range(changes):
        store.note(f"n{number}", b"listed")
    assert sole(store, row) == ("v1" if changes < 8 * PAGE_ROWS else None)
    store.note("u2", None)
    assert sole(store, row) is None


def test_row_has_no_names_that_it_has_no_room_for(store):
    """Guards against a leader that cannot write its row, and loses its lease."""
    leader = Process(store)
    many = [LISTED[0]._replace(id=f"upstream-{n:050d}") for n in range(1000)]
    leader.directory.replace(many, StoreVersion(0, LIST_NUMBER + 1))
    record = leader.rows.record()
    assert (record.software_upstreams, record.software) == ([], {"llm": {"v1": 0.0}})
