"""Streams of silent peers, and peers that are asked to go on with a silent stream."""

import time

import pytest
from redwingscale_daemon._internal.forwarding import answer_stream, peer_stream, stream_sender
from redwingscale_daemon._internal.routes.route import Route

from .conftest import WAIT_SECONDS, events, head, read_response, sized
from .test_bytes_held import wait_until
from .test_second_upstream import ASK_SECONDS, SILENCE_SECONDS, Pausing, sendings
from .test_silent_upstreams import after
from .test_streams import numbers


@pytest.fixture(autouse=True)
def short_silence(monkeypatch):
    monkeypatch.setattr(answer_stream, "STREAM_SILENCE_SECONDS", SILENCE_SECONDS)
    monkeypatch.setattr(peer_stream, "PEER_STREAM_SILENCE_SECONDS", SILENCE_SECONDS)
    monkeypatch.setattr(stream_sender, "FIRST_EVENT_SILENCE_SECONDS", SILENCE_SECONDS)


def test_same_peer_is_not_asked_to_go_on_with_its_own_stream(world):
    """Guards against a request that runs twice at the upstreams of one peer."""
    world.add("llm", events(1))
    world.add_peer(Pausing(ASK_SECONDS * 3, 1, 2, 3))
    world.lose_path()
    response = world.request("/long/x", model="m")
    assert (numbers(response), response.whole) == ([1, 2, 3], True)
    assert [upstream for upstream, _ in sendings(world)] == ["p0"]


def test_failure_of_a_second_peer_counts_as_a_possible_run(world):
    """Guards against more upstreams than the route allows, through peers."""
    world.add("llm", events(1))
    world.add_peer(Pausing(ASK_SECONDS * 6, 1, 2, 3))
    world.lose_path()
    caller = world.send("/long/x", model="m")
    wait_until(lambda: len(world.log) == 1)
    world.add_peer(sized(b"", "502 Failed"))
    response = read_response(caller)
    assert (numbers(response), response.whole) == ([1, 2, 3], True)
    assert [upstream for upstream, _ in sendings(world)] == ["p0", "p1"]


def test_silent_peer_that_is_given_up_before_its_answer_counts_as_a_possible_run(
    world, monkeypatch
):
    """Guards against more upstreams than the route allows, after a peer that sent no head."""
    monkeypatch.setattr(Route, "first_event_seconds", property(lambda route: SILENCE_SECONDS))
    world.add("llm", events(1))
    world.add_peer(after(WAIT_SECONDS, events(1, 2, 3)))
    world.lose_path()
    caller = world.send("/long/x", model="m")
    wait_until(lambda: len(world.log) == 1)
    world.add_peer(Pausing(ASK_SECONDS * 4, 1, 2, 3))
    wait_until(lambda: len(world.log) == 2)
    world.add_peer(events(2, 3))
    response = read_response(caller)
    assert (numbers(response), response.whole) == ([1, 2, 3], True)
    assert [upstream for upstream, _ in sendings(world)] == ["p0", "p1"]


def test_failure_of_a_peer_is_not_continued_by_a_stream(world, monkeypatch):
    """Guards against events in the middle of the body of a failure."""
    monkeypatch.setattr(Route, "first_event_seconds", property(lambda route: SILENCE_SECONDS))

    def fails_with_a_large_body(connection, received):
        connection.sendall(head(received, "500 Failed", "Content-Length: 900000"))
        connection.sendall(b"x" * 800000)
        time.sleep(WAIT_SECONDS)
        return False

    world.add("llm", events(1))
    world.add_peer(fails_with_a_large_body)
    world.lose_path()
    caller = world.send("/long/x", model="m")
    wait_until(lambda: len(world.log) == 1)
    world.add_peer(events(1, 2, 3))
    assert b"token" not in read_response(caller).body
