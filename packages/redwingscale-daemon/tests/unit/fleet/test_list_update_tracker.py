"""The order giver reads the list for all: what the others may rely on."""

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
    """Move the clock on by some seconds."""
    real, offset = time.monotonic, [0.0]
    monkeypatch.setattr(time, "monotonic", lambda: real() + offset[0])

    def move(seconds):
        offset[0] += seconds

    return move


def unchanged(directory, age):
    """News of a giver that knows the same list."""
    return ListUpdate([], [], age, directory.copy.digest, 0)


def ids(directory):
    return {one.id for one in directory.usable("llm")}


def test_upstream_that_the_giver_saw_leaving_gets_no_new_work(tracker, directory):
    tracker.take(1, ListUpdate([upstream("u0", leaving=True)], [], 0.1, 0, 0))
    assert ids(directory) == {"u1"}


def test_upstream_that_the_giver_saw_go_is_forgotten(tracker, directory):
    tracker.take(1, ListUpdate([upstream("u2")], ["u0"], 0.1, 0, 0))
    assert ids(directory) == {"u1", "u2"}


def test_news_stand_in_only_after_an_own_read_under_this_giver(tracker, directory, later):
    # The giver before knew an upstream that has gone in between. The new giver never
    # saw it and tells nothing of it: without an own read it would be used for ever.
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


def test_news_stand_in_only_for_a_copy_that_is_the_givers(tracker, directory, later):
    # The instance knows an upstream that the giver doesn't, from whatever cause: told
    # of changes only, it would use that one until its next whole read.
    tracker.take(1, unchanged(directory, 0.1))
    later(0.1)
    read_at = time.monotonic()
    assert tracker.replaces_read(read_at)
    directory.replace([*directory.all(), upstream("u3")])
    assert not tracker.replaces_read(read_at)
    without = list_digest([upstream("u0"), upstream("u1")])
    tracker.take(1, ListUpdate([], ["u3"], 0.1, without, 0))
    assert tracker.replaces_read(read_at)


def test_digest_tells_lists_apart_and_knows_no_order():
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


def test_giver_that_no_longer_reads_does_not_stand_in(tracker, directory, later):
    # The giver is cut off from the store and still tells its news: an upstream that
    # leaves now would get new work until somebody else reads the list.
    tracker.take(1, unchanged(directory, 0.1))
    later(0.1)
    read_at = time.monotonic()
    assert tracker.replaces_read(read_at)
    later(0.5)
    tracker.take(1, unchanged(directory, 1.3))
    assert not tracker.replaces_read(read_at)


def test_whole_list_is_read_now_and_then(tracker, directory, later):
    tracker.take(1, unchanged(directory, 0.1))
    later(0.1)
    read_at = time.monotonic()
    later(21.0)
    tracker.take(1, unchanged(directory, 0.1))
    assert not tracker.replaces_read(read_at)


def test_changes_are_told_for_some_seconds(later):
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
