"""What is known of new connections while open ones live on."""

import pytest
from redwingscale_daemon._internal.fleet.new_connection_watch import NewConnectionWatch
from redwingscale_daemon._internal.fleet.new_connections import EVIDENCE_SECONDS, NewConnections


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class Upstream:
    def __init__(self, upstream_id):
        self.id = upstream_id
        self.models_by_name = {"m1": set()}


class Directory:
    def __init__(self, *ids):
        self._upstreams = [Upstream(one) for one in ids]

    def all(self):
        return self._upstreams


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def connections(clock):
    made = NewConnections(clock)
    made.has_idle = lambda upstream_id: upstream_id == "idle"
    return made


def break_all(connections, *ids):
    for one in ids:
        connections.note_broken(one)


def test_one_upstream_that_ends_closes_nothing(connections):
    """Guards against requests that go through a peer because one worker has ended."""
    break_all(connections, "a", "a")
    assert connections.may_open("a")
    assert connections.broken() == []


def test_upstream_is_usable_on_an_idle_connection(connections):
    """Guards against open connections that stay unused."""
    break_all(connections, "a", "idle")
    assert connections.is_closed("a")
    assert not connections.is_closed("idle")
    assert not connections.may_open("idle")


def test_upstream_without_a_failure_stays_open(connections):
    """Guards against sound upstreams that are avoided because others failed."""
    break_all(connections, "a", "b")
    assert connections.may_open("c")


def test_connection_opened_before_the_break_is_no_proof(connections, clock):
    """Guards against answers on open connections that hide that new ones break."""
    break_all(connections, "a", "b")
    connections.note_opened("c", clock.now - 0.1)
    assert connections.is_closed("a")


def test_new_connection_that_works_ends_the_break(connections, clock):
    """Guards against requests that go through a peer when the path works again."""
    break_all(connections, "a", "b")
    connections.note_opened("b", clock.now + 0.1)
    assert connections.may_open("a")
    assert connections.broken_since("a") is None


def test_failures_far_apart_are_no_break(connections, clock):
    """Guards against two workers that end at different times and are taken for a lost path."""
    connections.note_broken("a")
    clock.now += EVIDENCE_SECONDS
    connections.note_broken("b")
    assert connections.broken() == []


def test_upstreams_that_leave_the_list_end_the_break(connections):
    """Guards against a break that outlasts the upstreams it was seen at."""
    break_all(connections, "a", "b")
    connections.forget({"a", "b"})
    assert connections.broken() == []


def test_untried_upstreams_are_probed_first(connections):
    """Guards against requests that have to find out that more upstreams are affected."""
    break_all(connections, "a", "b")
    probed = []
    watch = NewConnectionWatch(
        connections, Directory("a", "b", "c", "d"), lambda one: bool(probed.append(one.id))
    )
    assert watch.step()
    assert not watch.step()
    assert sorted(probed) == ["c", "d"]
    assert connections.broken() == ["a", "b", "c", "d"]


def test_probe_that_fails_unexpectedly_is_repeated(connections, monkeypatch):
    """Guards against a break that never ends because its thread has ended."""
    break_all(connections, "a", "b")
    answers = iter([False, True])

    def probe(upstream):
        if not next(answers):
            raise ValueError("unexpected")
        return True

    watch = NewConnectionWatch(connections, Directory("a", "b"), probe)
    monkeypatch.setattr(connections, "_clock", lambda: 0.0)
    watch._run()
    assert connections.broken() == []
