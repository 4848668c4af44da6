"""How streams began is kept in the store while several versions serve."""

import pytest
from redwingscale_daemon._internal.exceptions import EraChanged, PlatformUnavailable
from redwingscale_daemon._internal.fleet.software_versions import SoftwareVersions
from redwingscale_daemon._internal.forwarding import origin_rows
from redwingscale_daemon._internal.forwarding.origin_rows import OriginRows
from redwingscale_daemon._internal.forwarding.stream_origins import OriginEntry, StreamOrigins
from redwingscale_daemon._internal.store.rows import Snapshot, StoredRow
from redwingscale_daemon._internal.store.store_version import NO_ROW_NUMBER, StoreVersion

STREAM_SECONDS = 40.0


class Table:
    """The rows of the store, with faults to inject."""

    def __init__(self):
        self.row_by_key = {}
        self.number = 5
        self.era = 0
        self.fail = None

    def read(self, table, partition):
        if self.fail:
            raise self.fail
        return Snapshot(tuple(self.row_by_key.values()), StoreVersion(self.era, self.number))

    def write(self, key, value, expected):
        if self.fail:
            raise self.fail
        if expected.era != self.era:
            raise EraChanged("another era")
        known = self.row_by_key.get(key)
        if expected.number != (known.version.number if known else NO_ROW_NUMBER):
            return None
        self.number += 1
        self.row_by_key[key] = StoredRow(key, StoreVersion(self.era, self.number), value)
        return self.row_by_key[key].version


class Alone:
    """No other instances."""

    def tell(self, entry):
        pass

    def ask(self, key):
        return None


class Instance:
    """What one instance knows; ``leads`` may be changed."""

    def __init__(self, table, software=("v1", "v1.1")):
        self.versions = SoftwareVersions(lambda: STREAM_SECONDS, lambda: 0.1)
        for one in software:
            self.versions.note("llm", one)
        self.origins = StreamOrigins(Alone(), lambda: STREAM_SECONDS)
        self.leads = True
        self.rows = OriginRows(table, self.origins, self.versions, lambda: self.leads)

    def begin(self, *names, software="v1"):
        for name in names:
            self.origins.note("", name, "llm", software, tell=True)

    def known(self, *names):
        return [found and found.software for found in (self.origins.known("", n) for n in names)]


@pytest.fixture
def table():
    return Table()


def started(table, software=("v1", "v1.1")):
    made = Instance(table, software)
    made.rows.load()
    return made


def test_process_that_starts_knows_what_the_leader_has_written(table):
    """Guards against streams that are given up after the end of all instances."""
    leader = Instance(table)
    leader.begin("r1", "r2")
    leader.begin("r3", software="v1.1")
    leader.rows.step()
    leader.begin("r4")
    leader.rows.step()
    leader.begin("r5")
    assert started(table).known("r1", "r2", "r3", "r4", "r5") == ["v1", "v1", "v1.1", "v1", None]


def test_nothing_is_written_while_one_version_serves(table):
    """Guards against writes for each stream of a deployment."""
    leader = Instance(table, software=("v1",))
    leader.begin("r1")
    leader.rows.step()
    assert not table.row_by_key
    leader.versions.note("llm", "v1.1")
    leader.rows.step()
    assert started(table).known("r1") == ["v1"]


def test_nothing_is_searched_while_there_is_nothing_to_write(table, monkeypatch):
    """Guards against a leader that goes through all streams four times a second."""
    leader = Instance(table, software=("v1",))
    numbers, since = [], leader.origins.since
    monkeypatch.setattr(
        leader.origins, "since", lambda number: numbers.append(number) or since(number)
    )
    leader.begin("r1")
    leader.rows.step()
    assert numbers == []
    leader.versions.note("other", "v1")
    leader.versions.note("other", "v2")
    leader.rows.step()
    leader.rows.step()
    assert numbers == [0, 1]


def test_streams_of_a_version_that_is_forgotten_are_not_read(table):
    """Guards against rows of an earlier release that keep a version in mind."""
    leader = Instance(table)
    leader.begin("r1")
    leader.begin("r2", software="v1.1")
    leader.rows.step()
    later = started(table, software=("v1.1", "v2"))
    assert later.known("r1", "r2") == [None, "v1.1"]


def test_new_leader_goes_on_after_the_rows_of_the_former_one(table):
    """Guards against a leader that writes over the newest begins, or not at all."""
    former, new = Instance(table), Instance(table)
    former.begin("r1")
    former.rows.step()
    former.leads = False
    new.begin("r2")
    new.rows.step()
    former.rows.step()
    assert started(table).known("r1", "r2") == ["v1", "v1"]
    assert [key.key for key in table.row_by_key] == ["000", "001"]


def test_failed_write_is_made_again(table, monkeypatch):
    """Guards against begins that are lost as the store was away for a moment."""
    leader = Instance(table)
    leader.begin("r1")
    table.fail = PlatformUnavailable("down")
    leader.rows.step()
    table.fail = None
    monkeypatch.setattr(type(leader.rows._retry), "due", property(lambda _: True))
    leader.rows.step()
    assert started(table).known("r1") == ["v1"]


def test_begins_that_a_copy_of_the_store_lacks_are_written_again(table, monkeypatch):
    """Guards against begins that are lost with the store's newest writes."""
    leader = Instance(table)
    leader.begin("r1")
    leader.rows.step()
    table.row_by_key, table.number, table.era = {}, 5, 1
    monkeypatch.setattr(type(leader.rows._retry), "due", property(lambda _: True))
    leader.begin("r2")
    leader.rows.step()
    leader.rows.step()
    assert started(table).known("r1", "r2") == ["v1", "v1"]


def test_rows_are_written_in_turn(table, monkeypatch):
    """Guards against a table that grows without end."""
    monkeypatch.setattr(origin_rows, "ROWS", 3)
    leader = Instance(table)
    for number in range(5):
        leader.begin(f"r{number}")
        leader.rows.step()
    names = [f"r{number}" for number in range(5)]
    assert len(table.row_by_key) == 3
    assert started(table).known(*names) == [None, None, "v1", "v1", "v1"]


def test_many_begins_are_divided_among_rows(table, monkeypatch):
    """Guards against a row that is larger than the store takes."""
    monkeypatch.setattr(origin_rows, "MAX_KEYS", 10)
    leader = Instance(table)
    leader.begin(*map(str, range(25)))
    leader.rows.step()
    assert len(table.row_by_key) == 3
    assert started(table).known(*map(str, range(25))) == ["v1"] * 25


def test_entries_of_other_instances_are_written_as_well(table):
    leader = Instance(table)
    other = Instance(table)
    other.begin("r1")
    entries, _ = other.origins.since(0)
    leader.origins.receive([OriginEntry(one.key, one.service, one.software) for one in entries])
    leader.rows.step()
    assert started(table).known("r1") == ["v1"]
