"""Upstreams that begin to leave, or are removed, after they were chosen for a request."""

import pytest

from .conftest import events, sized
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
