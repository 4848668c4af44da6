"""Prompts that would break streams are held, within their latency target."""

import time
from types import SimpleNamespace

import pytest
from redwingscale_daemon._internal.exceptions import CallerLeft
from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.fleet.pause_cost import PauseCost
from redwingscale_daemon._internal.forwarding.prompt_pacing import hold

BREAKS = Candidate(0.0, SimpleNamespace(id="u0"), pauses=PauseCost(0.0, 5.0, 0.2))
BREAKS_ALONE = Candidate(0.0, SimpleNamespace(id="u0"), pauses=PauseCost(0.0, 5.0, 5.0))
SAFE = Candidate(0.0, SimpleNamespace(id="u1"), pauses=PauseCost(0.0, 0.1, 0.1))


@pytest.fixture
def clock(monkeypatch):
    now = [1000.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    monkeypatch.setattr(time, "sleep", lambda seconds: now.__setitem__(0, now[0] + seconds))
    return now


def make_call(target, remaining=15.0, check=lambda: None):
    return SimpleNamespace(
        attempts=SimpleNamespace(count=0),
        route=SimpleNamespace(longest_gap_seconds=0.4, latency_target_seconds=target),
        request=SimpleNamespace(arrived_at=time.monotonic()),
        watch=SimpleNamespace(remaining=lambda: remaining, check_caller=check),
        terms=SimpleNamespace(request_id="r1"),
    )


def held(call, clock, found, choose, draining=lambda: False):
    """Return the chosen holder, how long the prompt was held, and how often that counts."""
    started, counts = clock[0], []
    chosen = hold(call, found, choose, draining, lambda: counts.append(1))
    return chosen, clock[0] - started, len(counts)


@pytest.mark.parametrize(
    ("target", "remaining", "longest"),
    [(0.8, 15.0, 0.5), (1.2, 15.0, 0.75), (10.0, 15.0, 2.1), (10.0, 0.5, 0.35)],
)
def test_prompt_is_sent_while_its_target_leaves_room(target, remaining, longest, clock):
    # Guards against a first event that is late, or a refusal, because the holders' streams
    # are never out of danger.
    chosen, seconds, count = held(make_call(target, remaining), clock, BREAKS, lambda: BREAKS)
    assert chosen is BREAKS
    assert longest / 2 < seconds < longest
    assert count == 1


def test_prompt_is_sent_once_it_breaks_nothing(clock):
    choices = iter([BREAKS, BREAKS, SAFE])
    chosen, seconds, _ = held(make_call(10.0), clock, BREAKS, lambda: next(choices))
    assert chosen is SAFE
    assert seconds < 0.2


def test_prompt_is_not_held_in_vain(clock):
    # One that breaks streams alone would break them later as well, and an instance that
    # drains has little time left. Without a holder, the request waits for one as usual.
    assert held(make_call(10.0), clock, BREAKS_ALONE, lambda: BREAKS) == (BREAKS_ALONE, 0.0, 0)
    assert held(make_call(10.0), clock, BREAKS, lambda: BREAKS, lambda: True) == (BREAKS, 0.0, 0)
    assert held(make_call(10.0), clock, BREAKS, lambda: None)[0] is BREAKS


def test_caller_that_leaves_ends_the_wait(clock):
    def check():
        raise CallerLeft

    with pytest.raises(CallerLeft):
        held(make_call(10.0, check=check), clock, BREAKS, lambda: BREAKS)
