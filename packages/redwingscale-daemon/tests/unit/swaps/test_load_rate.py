"""Loads from the weight store stay within its rate, also across a change of leader."""

import time

import pytest
from redwingscale_daemon._internal.swaps.load_rate import LoadCeiling, LoadRate

CEILING = LoadCeiling(per_second=2.0, window_seconds=5.0)


@pytest.fixture
def clock(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    return now


def start_all(rate):
    started = 0
    while rate.allows_load(CEILING):
        rate.count_load()
        started += 1
    return started


def test_window_allows_no_more_loads_than_its_rate(clock):
    rate = LoadRate()
    assert start_all(rate) == 10
    clock[0] += 4.9
    assert start_all(rate) == 0
    clock[0] += 0.2
    assert start_all(rate) == 10


def test_successor_assumes_a_full_window_of_the_former_leader(clock):
    # The former leader may have started a full window of loads just before it ended, three seconds
    # ago: no load may start until those have left the window.
    rate = LoadRate()
    rate.assume_full_window(CEILING, handover_pause_seconds=3.0)
    assert start_all(rate) == 0
    clock[0] += 2.1
    assert start_all(rate) == 10
