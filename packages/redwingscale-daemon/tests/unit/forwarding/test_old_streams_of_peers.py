"""Streams that go on through another peer long after they began."""

import pytest
from redwingscale_daemon._internal.forwarding import stream_sender
from redwingscale_daemon._internal.routes.route import Route

from .conftest import events, read_response, sized
from .test_bytes_held import wait_until
from .test_silent_upstreams import after
from .test_streams import numbers

# How long callers wait for the first event, and for each further one.
PATIENCE_SECONDS = 0.8
GAP_SECONDS = 0.4
# How long an instance waits for the first event of an upstream.
SILENCE_SECONDS = 0.3


@pytest.fixture(autouse=True)
def short_patience(monkeypatch):
    monkeypatch.setattr(Route, "first_event_seconds", property(lambda route: PATIENCE_SECONDS))


def test_stream_older_than_the_patience_of_its_caller_goes_on(world, peer):
    """Guards against a stream that is cut with its peer, since its age counts as a wait."""
    world.add("llm", events(99))
    world.add_peer(events(1, 2, 3, 4, then="break", gap=GAP_SECONDS))
    world.lose_path()
    caller = world.send("/long/x", model="m")
    wait_until(lambda: world.log)
    peer.add("llm", events(5, 6))
    world.peers["p1"] = peer.take_requests_of_peers("p1")
    response = read_response(caller)
    assert (numbers(response), response.whole) == ([1, 2, 3, 4, 5, 6], True)


def test_peer_keeps_a_slow_upstream_for_a_stream_that_has_begun(world, peer, monkeypatch):
    """Guards against a stream that is cut since its next upstream begins late at another instance."""
    monkeypatch.setattr(
        stream_sender, "_first_event_silence_seconds", lambda call, candidate: SILENCE_SECONDS
    )
    world.add("llm", events(99))
    world.add_peer(events(1, 2, then="break", gap=GAP_SECONDS))
    world.lose_path()
    caller = world.send("/long/x", model="m")
    wait_until(lambda: world.log)
    peer.add("llm", after(2 * SILENCE_SECONDS, events(3, 4)))
    world.peers["p1"] = peer.take_requests_of_peers("p1")
    response = read_response(caller)
    assert (numbers(response), response.whole) == ([1, 2, 3, 4], True)


def test_stream_that_a_peer_refuses_goes_on_through_another(world):
    """Guards against a stream that is cut since one of several peers cannot go on with it."""
    scripts = iter([events(1, 2, then="break"), sized(b"", "503 Refused"), events(3, 4)])
    world.add("llm", events(99))
    for _ in range(3):
        world.add_peer(lambda connection, received: next(scripts)(connection, received))
    world.lose_path()
    response = world.request("/long/x", model="m")
    assert (numbers(response), response.whole) == ([1, 2, 3, 4], True)
