"""Upstreams that signal that they are leaving before the list says so."""

import pytest
from redwingscale_daemon._internal.fleet.backpressure import Backpressure
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.leaving_upstreams import (
    RETENTION_SECONDS,
    LeavingUpstreams,
)
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.store.store_version import StoreVersion

LEAVING = Backpressure(leaving=True)


def upstream(key, *, started_at_ms=None):
    name = key if started_at_ms is None else f"{key}@{started_at_ms}"
    return Upstream(
        name, "llm", "127.0.0.1", 1, "z", 8, False, None, {}, frozenset(), frozenset(),
        named=key, started_at_ms=started_at_ms,
    )  # fmt: skip


@pytest.fixture
def fleet():
    made = new_fleet()
    made.directory.replace([upstream("a"), upstream("b")], StoreVersion(0, 1))
    return made


def usable(fleet):
    return {one.id for one in fleet.directory.usable("llm")}


def test_list_does_not_end_the_leaving_that_an_answer_signals(fleet):
    # Guards against an upstream that is used again because its entry is older than its answer.
    fleet.backpressure.take("a", LEAVING, "answer")
    fleet.directory.replace([upstream("a"), upstream("b")], StoreVersion(0, 2))
    fleet.directory.update([upstream("a")], [], StoreVersion(0, 3))
    assert usable(fleet) == {"b"}


def test_entry_that_lapsed_and_returned_does_not_end_the_leaving(fleet):
    # Guards against an upstream that is used again after an outage of the store.
    fleet.backpressure.take("a", LEAVING, "answer")
    fleet.directory.replace([upstream("b")], StoreVersion(0, 2))
    fleet.directory.replace([upstream("a"), upstream("b")], StoreVersion(0, 3))
    assert usable(fleet) == {"b"}


def test_next_start_under_the_name_does_not_leave(fleet):
    # Guards against a restarted upstream that is never used.
    fleet.directory.replace([upstream("a", started_at_ms=1)], StoreVersion(0, 2))
    fleet.backpressure.take("a@1", LEAVING, "answer")
    fleet.directory.replace(
        [upstream("a", started_at_ms=2)._replace(row_number=2)], StoreVersion(0, 3)
    )
    assert usable(fleet) == {"a@2"}


def test_backpressure_of_an_unlisted_upstream_is_dropped(fleet):
    # Guards against memory that grows with each upstream that is gone.
    fleet.backpressure.take("c", LEAVING, "answer")
    assert fleet.directory.leaving_seconds("c") is None


def test_waiting_requests_are_woken_by_a_leaving_upstream(fleet):
    # Guards against requests that keep waiting for an upstream that takes no new work.
    seen = fleet.changes.count
    fleet.backpressure.take("a", LEAVING, "answer")
    assert fleet.changes.count > seen


def test_leaving_upstream_is_dropped_some_time_after_it_is_gone():
    # Guards against memory that grows with each upstream that has left.
    now = [0.0]
    leaving = LeavingUpstreams(lambda: now[0])
    assert leaving.note(["a"]) == {"a"}
    now[0] = RETENTION_SECONDS - 1
    leaving.follow(["a"])
    now[0] += RETENTION_SECONDS - 1
    leaving.follow([])
    assert "a" in leaving
    now[0] += 1
    leaving.follow([])
    assert "a" not in leaving
