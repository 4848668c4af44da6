"""Upstreams that begin to leave, or are removed, after they were chosen for a request."""

import threading

import pytest

from .conftest import events, read_response, sized
from .test_suspended_instance import before_sending

PATHS = pytest.mark.parametrize(
    ("path", "service", "model"), [("/once/", "plain", None), ("/stream/", "llm", "m")]
)


@pytest.fixture
def two_upstreams(world):
    def start(service):
        script = sized(b"yes") if service == "plain" else events(1)
        for _ in range(2):
            world.add(service, script)

    return start


OLD_SECONDS = 10.0


@PATHS
def test_upstream_that_leaves_after_it_was_chosen_gets_no_request(
    world, monkeypatch, two_upstreams, path, service, model
):
    """Guards against a request that reaches a leaving upstream since its thread ran late."""
    two_upstreams(service)
    before_sending(world, monkeypatch, lambda: world.directory.note_leaving(["u0"], "test"))
    assert world.request(path, model=model).status == 200
    assert [received.upstream for received in world.log] == ["u1"]


@PATHS
def test_upstream_that_is_removed_after_it_was_chosen_gets_no_request(
    world, monkeypatch, two_upstreams, path, service, model
):
    """Guards against a request that reaches an upstream after its entry was removed."""
    two_upstreams(service)
    before_sending(world, monkeypatch, lambda: world.directory.update([], ["u0"]))
    assert world.request(path, model=model).status == 200
    assert [received.upstream for received in world.log] == ["u1"]


@PATHS
def test_request_with_an_old_list_waits_for_the_next_one(
    world, two_upstreams, path, service, model
):
    """Guards against requests sent by a list that an instance without processor time has read."""
    two_upstreams(service)
    world.list_age = OLD_SECONDS

    def read_list():
        world.directory.update([], ["u0"])
        world.list_age = 0.0

    caller = world.connect()
    world.send(path, model=model, caller=caller)
    timer = threading.Timer(0.3, read_list)
    timer.start()
    assert read_response(caller).status == 200
    timer.join()
    assert [received.upstream for received in world.log] == ["u1"]


@PATHS
def test_request_is_sent_by_an_old_list_while_the_store_is_lost(
    world, two_upstreams, path, service, model
):
    """Guards against an outage of the store that ends all requests."""
    two_upstreams(service)
    world.list_age, world.store_lost = OLD_SECONDS, True
    assert world.request(path, model=model).status == 200


def test_request_whose_time_ends_before_a_newer_list_is_not_sent(world, two_upstreams):
    """Guards against a request that waits for a list longer than its caller."""
    two_upstreams("plain")
    world.list_age = OLD_SECONDS
    response = world.request("/brief/")
    assert world.log == []
    assert (response.status, world.ended) == (503, ["time_limit"])
