"""The leader reads the list for all instances: when the others may rely on its updates."""

import time

import pytest
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.list_digest import list_digest
from redwingscale_daemon._internal.fleet.list_update import ListUpdate
from redwingscale_daemon._internal.fleet.list_update_tracker import ListUpdateTracker
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.swaps.list_changes import ListChanges


def upstream(name, *, leaving=False, port=1):
    return Upstream(
        name, "llm", "127.0.0.1", port, "z1", 64, leaving, None, {}, frozenset(), frozenset()
    )


@pytest.fixture
def directory():
    made = new_fleet().directory
    made.replace([upstream("u0"), upstream("u1")])
    return made


@pytest.fixture
def tracker(directory):
    return ListUpdateTracker(directory)


@pytest.fixture
def later(monkeypatch):
    """Return a function that advances the clock by some seconds."""
    real, offset = time.monotonic, [0.0]
    monkeypatch.setattr(time, "monotonic", lambda: real() + offset[0])

    def move(seconds):
        offset[0] += seconds

    return move


def unchanged(directory, age):
    """Return the update of a leader whose list is the same."""
    return ListUpdate([], [], age, directory.copy.digest, 0)


def ids(directory):
    return {one.id for one in directory.usable("llm")}


def test_upstream_that_the_leader_saw_leaving_gets_no_new_work(tracker, directory):
    tracker.take(1, ListUpdate([upstream("u0", leaving=True)], [], 0.1, 0, 0))
    assert ids(directory) == {"u1"}


def test_upstream_that_is_gone_for_the_leader_is_dropped(tracker, directory):
    tracker.take(1, ListUpdate([upstream("u2")], ["u0"], 0.1, 0, 0))
    assert ids(directory) == {"u1", "u2"}


def test_updates_replace_reads_only_after_an_own_read_under_this_leader(tracker, directory, later):
    # Guards against an upstream that is used forever: it was listed under the former
    # leader and went before the new leader's first read, which therefore never announces
    # that it is gone.
    read_at = time.monotonic()
    later(0.1)
    tracker.take(1, unchanged(directory, 0.1))
    assert not tracker.replaces_read(read_at)
    later(0.1)
    assert tracker.replaces_read(time.monotonic())
    read_at = time.monotonic()
    later(0.1)
    tracker.take(2, unchanged(directory, 0.1))
    assert not tracker.replaces_read(read_at)


def test_updates_replace_reads_only_for_the_same_list(tracker, directory, later):
    # Guards against an instance that has an upstream which the leader's list lacks, from
    # whatever cause: with changes alone it would use it until its next full read.
    tracker.take(1, unchanged(directory, 0.1))
    later(0.1)
    read_at = time.monotonic()
    assert tracker.replaces_read(read_at)
    directory.replace([*directory.all(), upstream("u3")])
    assert not tracker.replaces_read(read_at)
    without = list_digest([upstream("u0"), upstream("u1")])
    tracker.take(1, ListUpdate([], ["u3"], 0.1, without, 0))
    assert tracker.replaces_read(read_at)


def test_digest_depends_on_all_listed_fields_but_not_on_the_order():
    first, other = upstream("u0"), upstream("u1")
    assert list_digest([first, other]) == list_digest([other, first])
    changed = [
        upstream("u0", leaving=True),
        upstream("u0", port=2),
        first._replace(slots=1),
        first._replace(service="other"),
        first._replace(failure_domain="z2"),
        first._replace(host="127.0.0.2"),
    ]
    digests = {list_digest([one, other]) for one in (first, *changed)}
    assert len(digests | {list_digest([first])}) == len(changed) + 2


def test_updates_of_a_leader_that_no_longer_reads_replace_no_reads(tracker, directory, later):
    # Guards against a leader that is cut off from the store and still sends updates: an
    # upstream that leaves then would get new work until another instance reads the list.
    tracker.take(1, unchanged(directory, 0.1))
    later(0.1)
    read_at = time.monotonic()
    assert tracker.replaces_read(read_at)
    later(0.5)
    tracker.take(1, unchanged(directory, 1.3))
    assert not tracker.replaces_read(read_at)


def test_full_list_is_read_periodically(tracker, directory, later):
    tracker.take(1, unchanged(directory, 0.1))
    later(0.1)
    read_at = time.monotonic()
    later(21.0)
    tracker.take(1, unchanged(directory, 0.1))
    assert not tracker.replaces_read(read_at)


def test_changes_are_announced_for_some_seconds(later):
    changes = ListChanges()
    first = [upstream("u0"), upstream("u1")]
    assert changes.of(first) == (first, [])
    later(4.0)
    assert changes.of(first) == ([], [])
    left = upstream("u0", leaving=True)
    assert changes.of([left]) == ([left], ["u1"])
    later(2.0)
    assert changes.of([left]) == ([left], ["u1"])
    later(2.0)
    assert changes.of([left]) == ([], [])
    assert changes.of([left, upstream("u1", port=2)]) == ([upstream("u1", port=2)], [])
