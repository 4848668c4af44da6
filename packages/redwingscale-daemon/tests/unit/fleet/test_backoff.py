"""Pauses between calls to an unavailable store: longer with time, but bounded."""

import itertools
import time

import pytest
from redwingscale_daemon._internal.store.backoff import MAX_PAUSE_SECONDS, Backoff


@pytest.fixture
def later(monkeypatch):
    """Return a function that advances the clock by some seconds."""
    real, offset = time.monotonic, [0.0]
    monkeypatch.setattr(time, "monotonic", lambda: real() + offset[0])

    def move(seconds):
        offset[0] += seconds

    return move


def test_outage_costs_few_calls_and_its_end_is_seen_within_a_second(later):
    # Guards against hundreds of instances that each call an unavailable store four times a
    # second: every refused call counts against the deployment.
    backoff = Backoff()
    pauses = [backoff.note_failure() for _ in range(20)]
    assert len([*itertools.takewhile(lambda end: end < 4.5, itertools.accumulate(pauses))]) <= 9
    assert max(pauses) <= MAX_PAUSE_SECONDS
    assert not backoff.due
    later(MAX_PAUSE_SECONDS)
    assert backoff.due


def test_answer_resets_the_pauses(later):
    backoff = Backoff()
    for _ in range(5):
        backoff.note_failure()
    backoff.note_answer()
    assert backoff.due
    assert backoff.note_failure() <= 0.25


def test_instances_do_not_retry_at_the_same_time():
    pauses = {round(Backoff().note_failure(), 6) for _ in range(20)}
    assert len(pauses) > 10
