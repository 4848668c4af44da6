"""What callers get from an instance that is cut off from the others."""

from .conftest import events


def test_request_that_nobody_hears_of_is_refused_at_once(world):
    # The instance is cut off and no upstream within its reach holds the model. It kept
    # the request for 0.6 s, and told the caller to come back when its time was over.
    world.add("llm", events(1, 2))
    world.caller_retry_seconds = 0.05
    answer = world.ask("/stream/", model="missing")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) == 0.05
    assert b"cut_off" in answer.body


def test_request_for_what_is_within_reach_is_served(world):
    world.add("llm", events(1, 2))
    world.caller_retry_seconds = 0.05
    assert world.ask("/stream/", model="m").status == 200
