"""What the leader tells processes that have just started."""

import pytest
from redwingscale_daemon._internal.swaps.repeat_history import (
    LAST_REPORT_SECONDS,
    MAX_TOLD_PER_UPDATE,
    RepeatHistory,
)

WINDOW_SECONDS = 10.0


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def history(clock):
    """The history of the first leader of a deployment."""
    made = RepeatHistory(WINDOW_SECONDS, clock)
    made.begin(succeeds_another=False)
    return made


def test_first_process_of_an_instance_has_no_former_repeats(history):
    history.receive("one", "a", {})
    assert history.next_starts() == {"a": {}}


def test_repeats_of_all_former_processes_in_the_window_are_told(history, clock):
    for start, repeats in (("a", 3), ("b", 2), ("c", 0)):
        history.receive("one", start, {"llm": repeats})
        clock.now += 1.0
    assert history.next_starts()["c"] == {"llm": 5}
    clock.now += WINDOW_SECONDS - 2.0
    history.receive("one", "c", {"llm": 0})
    history.receive("one", "d", {})
    assert history.next_starts()["d"] == {}


def test_process_after_one_that_was_silent_is_told_nothing(history, clock):
    """Guards against repeats that a process cut off from the leader could not report."""
    history.receive("one", "a", {})
    history.next_starts()
    clock.now += LAST_REPORT_SECONDS + 0.1
    history.receive("one", "b", {})
    assert "b" not in history.next_starts()


def test_new_leader_tells_nothing_for_a_window(history, clock):
    """Guards against repeats of processes that ended before the leader began."""
    history.begin(succeeds_another=True)
    history.receive("one", "a", {})
    assert history.next_starts() == {}
    clock.now += WINDOW_SECONDS
    history.receive("two", "b", {})
    assert history.next_starts() == {"b": {}}


def test_many_starts_are_told_some_at_a_time(history):
    """Guards against updates that grow with the instances which start at once."""
    for number in range(2 * MAX_TOLD_PER_UPDATE):
        history.receive(f"n{number}", f"start {number}", {})
    first, second = history.next_starts(), history.next_starts()
    assert len(first) == len(second) == MAX_TOLD_PER_UPDATE
    assert not first.keys() & second.keys()
