"""Which sendings of a request draw on the budget for repeats."""

import pytest

from .conftest import breaks, events, head, not_run


def another_process(connection, received):
    """Script of a process that has the address of the upstream that was meant."""
    lines = ("X-Redwingscale-Not-Executed: 1", "X-Redwingscale-Instance-Id: other")
    connection.sendall(head(received, "421 Other", *lines, "Content-Length: 0", signed=False))


def used(world):
    return world.budget.usage_by_service()["llm"].used


@pytest.mark.parametrize("script", [another_process, not_run, breaks])
def test_sending_after_one_that_arrived_is_counted(world, script):
    """Guards against arrivals that no budget bounds, as those at a replaced upstream were."""
    for _ in range(2):
        world.add("llm", script)
    assert world.request("/stream/x", model="m").status in (502, 503)
    assert used(world) == len(world.log) - 1 == 1


def test_sending_after_an_upstream_that_was_not_reached_is_free(world):
    """Guards against a budget that is spent on upstreams that received nothing."""
    world.add("llm", events(1)).close()
    world.add("llm", events(1))
    assert world.request("/stream/x", model="m").status == 200
    assert used(world) == 0


def test_nothing_is_sent_again_once_the_budget_is_empty(world):
    """Guards against a repeat that is decided on and sent after others have used the budget."""
    for _ in range(2):
        world.add("llm", not_run)
    while world.budget.take("llm"):
        pass
    response = world.request("/stream/x", model="m")
    assert (response.status, len(world.log)) == (503, 1)


def test_requests_are_counted_once_where_their_callers_send_them(world, peer):
    """Guards against a request that two instances count, which allows too many repeats."""
    peer.add("llm", events(1))
    world.add("llm", breaks)
    world.peers["p0"] = peer.take_requests_of_peers()
    world.lose_path()
    assert world.request("/stream/x", model="m").status == 200
    assert "llm" not in peer.budget.usage_by_service()
    assert used(world) == 0
