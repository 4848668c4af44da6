"""How an instance that is isolated from the others serves callers."""

from .conftest import events


def test_request_whose_demand_reaches_no_leader_is_refused_at_once(world):
    # The instance is isolated and the model is resident at no upstream that it reaches.
    # Guards against a request that waits 0.6 s, and a caller whose retry comes too late.
    world.add("llm", events(1, 2))
    world.caller_retry_seconds = 0.05
    response = world.request("/stream/", model="missing")
    assert response.status == 503
    assert float(response.headers["Retry-After"]) == 0.05
    assert b"cut_off" in response.body


def test_request_for_a_model_within_reach_is_served(world):
    world.add("llm", events(1, 2))
    world.caller_retry_seconds = 0.05
    assert world.request("/stream/", model="m").status == 200
