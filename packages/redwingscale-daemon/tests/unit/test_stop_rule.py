"""Which requests can still end before an instance does."""

import math

import pytest
from redwingscale_daemon._internal.lifecycle.open_requests import OpenRequests
from redwingscale_daemon._internal.lifecycle.run_times import LEAST_ANSWERS, RunTimes
from redwingscale_daemon._internal.lifecycle.stop_rule import (
    DELIVERY_SECONDS,
    LONGEST_FACTOR,
    StopRule,
)
from redwingscale_daemon._internal.routes.idempotency import Idempotency
from redwingscale_daemon._internal.routes.route import Route, WeightedService

CLOSES_AT, ENDS_AT = 102.4, 107.4
LONG_LIMIT = 20.0


def route(kind, *, resumable=False):
    services = (WeightedService("plain", 1.0),)
    return Route("r", "a.example", "/", kind, LONG_LIMIT, 0.5, 1, services, 2, resumable, 0.0)


SAFE = route(Idempotency.IDEMPOTENT)
UNSAFE = route(Idempotency.AT_MOST_ONCE)
STREAM = route(Idempotency.STREAM)
RESUMABLE = route(Idempotency.STREAM, resumable=True)


class Instance:
    """A rule whose time the test sets."""

    def __init__(self):
        self.now = 100.0
        self.open_requests, self.run_times = OpenRequests(), RunTimes(lambda: self.now)
        self.rule = StopRule(self.open_requests, self.run_times, lambda: self.now)

    def stop(self, now):
        self.open_requests.drain(CLOSES_AT, ENDS_AT)
        self.now = now

    def note_answers(self, seconds, count=LEAST_ANSWERS):
        for _ in range(count):
            self.run_times.note("r", seconds)


@pytest.fixture
def instance():
    return Instance()


@pytest.mark.parametrize("one", [SAFE, UNSAFE, STREAM, RESUMABLE])
def test_all_requests_are_taken_until_the_port_closes(instance, one):
    """Guards against refusals while callers are still sent to this instance."""
    assert instance.rule.can_end(one, math.inf)
    instance.stop(CLOSES_AT - 0.01)
    assert instance.rule.can_end(one, LONG_LIMIT)


@pytest.mark.parametrize("one", [SAFE, UNSAFE, STREAM, RESUMABLE])
def test_request_whose_deadline_comes_first_is_taken(instance, one):
    """Guards against refusals of what ends in time in any case."""
    instance.stop(CLOSES_AT + 1.0)
    left = ENDS_AT - instance.now
    assert instance.rule.can_end(one, left - DELIVERY_SECONDS - 0.01)
    assert not instance.rule.can_end(one, left - DELIVERY_SECONDS + 0.01)


@pytest.mark.parametrize(
    ("one", "is_taken"), [(SAFE, True), (RESUMABLE, True), (UNSAFE, False), (STREAM, False)]
)
def test_only_what_may_be_repeated_is_taken_by_what_others_took(instance, one, is_taken):
    """Guards against a request cut that nobody may send again, since others were short."""
    instance.note_answers(0.1)
    instance.stop(CLOSES_AT + 1.0)
    assert instance.rule.can_end(one, LONG_LIMIT) == is_taken


def test_resumed_stream_that_took_longer_lately_is_not_begun(instance):
    """Guards against a second upstream that goes on from 5 s and is cut at 7.4 s."""
    instance.note_answers(0.1)
    instance.note_answers(2.0, 1)
    instance.stop(105.0)
    assert ENDS_AT - instance.now < 2.0 * LONGEST_FACTOR + DELIVERY_SECONDS
    assert not instance.rule.can_end(RESUMABLE, LONG_LIMIT)
    assert instance.rule.can_end(RESUMABLE, 1.0)


def test_too_few_answers_say_nothing(instance):
    """Guards against a request taken by the time of a few short ones."""
    instance.note_answers(0.1, LEAST_ANSWERS - 1)
    instance.stop(CLOSES_AT)
    assert not instance.rule.can_end(SAFE, LONG_LIMIT)


def test_nothing_is_sent_at_the_end(instance):
    """Guards against requests begun as the process ends."""
    instance.note_answers(0.0)
    instance.stop(ENDS_AT)
    assert not instance.rule.can_end(SAFE, 0.0)
