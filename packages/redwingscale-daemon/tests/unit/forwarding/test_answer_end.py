"""An answer that is ended early names its reason."""

import time

import pytest

from .conftest import WAIT_SECONDS, events, read_response
from .test_bytes_held import wait_until


@pytest.mark.parametrize(
    ("path", "then", "reason"),
    [
        ("/single/x", "break", "upstream_broke"),
        ("/single/x", "inside", "upstream_broke"),
        ("/brief-stream/x", "silent", "deadline"),
    ],
)
def test_reason_of_a_cut_answer_is_told(world, path, then, reason):
    """Guards against a cut that looks like any other in logs and metrics."""
    world.add("llm", events(1, 2, then=then))
    assert not world.request(path, model="m").whole
    wait_until(lambda: world.cuts == [reason])


def test_answer_that_its_caller_leaves_is_told_apart(world):
    """Guards against a caller's own end that counts as a fault of the system."""
    world.add("llm", events(1, 2, then="silent"))
    caller = world.send("/single/x", model="m")
    caller.settimeout(WAIT_SECONDS)
    assert caller.recv(12) == b"HTTP/1.1 200"
    caller.close()
    wait_until(lambda: world.cuts == ["caller_left"])


def test_close_at_the_end_of_the_process_is_told_from_a_caller_that_leaves(world):
    """Guards against cuts by the end of the grace that count as callers that left."""
    world.add("llm", events(1, 2, then="silent"))
    world.open_requests.drain(time.monotonic() + WAIT_SECONDS, time.monotonic() + WAIT_SECONDS)
    callers = [world.send("/single/x", model="m") for _ in range(2)]
    for caller in callers:
        caller.settimeout(WAIT_SECONDS)
        assert caller.recv(12) == b"HTTP/1.1 200"
    callers[0].close()
    wait_until(lambda: world.cuts == ["caller_left"])
    world.server.stop(0.1)
    wait_until(lambda: world.cuts == ["caller_left", "process_ends"])


def test_whole_answers_and_failures_before_the_answer_are_no_cuts(world):
    """Guards against a count that rises without a caller that has lost anything."""
    world.add("llm", events(1, 2))
    assert read_response(world.send("/single/x", model="m")).whole
    assert world.request("/once/x").status == 503
    assert world.cuts == []
