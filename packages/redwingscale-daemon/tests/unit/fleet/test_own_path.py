"""When failed exchanges are evidence that the instance has lost its own path."""

import pytest
from redwingscale_daemon._internal.fleet.own_path import EVIDENCE_SECONDS, OVERDUE_SECONDS, OwnPath


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        self.now += 0.001
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def path(clock):
    return OwnPath(lambda: 5, clock)


def test_failures_at_one_upstream_leave_the_path_sound(path):
    """Guards against an upstream that has crashed and is taken for a lost path."""
    for _ in range(5):
        path.note_failed("a", "no connection")
    assert not path.doubtful


def test_failures_at_two_upstreams_make_the_path_suspect(path):
    path.note_failed("a", "no connection")
    path.note_failed("b", "no connection")
    assert path.doubtful
    assert path.evidence().upstreams == {"a", "b"}


def test_answer_between_two_failures_leaves_the_path_sound(path):
    """Guards against two upstreams that crash one after the other while others answer."""
    path.note_failed("a", "no connection")
    path.note_heard("c")
    path.note_failed("b", "no connection")
    assert not path.doubtful


def test_answer_ends_the_suspicion(path):
    path.note_failed("a", "no connection")
    path.note_failed("b", "no connection")
    path.note_heard("b")
    assert not path.doubtful
    assert path.evidence() is None


def test_event_of_an_open_stream_counts_as_heard(path, clock):
    """Guards against a path that is suspect while streams go on and only new connections fail."""
    path.note_failed("a", "no connection")
    path.heard_at = clock()
    path.note_failed("b", "no connection")
    assert not path.doubtful


def test_old_failure_is_no_evidence(path, clock):
    path.note_failed("a", "no connection")
    clock.now += EVIDENCE_SECONDS
    path.note_failed("b", "no connection")
    assert not path.doubtful


def test_only_upstream_of_a_deployment_is_evidence(clock):
    path = OwnPath(lambda: 1, clock)
    path.note_failed("a", "no connection")
    assert path.doubtful


def test_evidence_of_silence_alone_is_marked(path):
    path.note_failed("a", "overdue", silent=True)
    path.note_failed("b", "overdue", silent=True)
    assert path.evidence().silent
    path.note_failed("b", "no connection")
    assert path.evidence().silent
    path.note_failed("a", "no connection")
    assert not path.evidence().silent


def test_waits_that_began_before_the_last_byte_are_evidence_once_all_are_overdue(path, clock):
    """Guards against a cut that is found only when new requests are sent."""
    began_at = clock()
    path.heard_at = clock()
    path.note_overdue("a", began_at)
    assert not path.doubtful
    clock.now += OVERDUE_SECONDS
    path.note_overdue("a", began_at)
    path.note_overdue("b", began_at)
    assert path.doubtful


def test_failure_of_an_exchange_that_began_before_an_answer_is_no_evidence(path, clock):
    """Guards against two upstreams that time out together while the others answer."""
    began_at = clock()
    path.note_heard("c")
    path.note_failed("a", "no connection", began_at)
    path.note_failed("b", "no connection", began_at)
    assert not path.doubtful
