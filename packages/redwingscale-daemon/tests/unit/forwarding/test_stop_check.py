"""Requests that an instance would have to send when it has little time left in a planned stop."""

import itertools
import socket
import threading
import time

import msgspec
import pytest
from redwingscale_daemon._internal.forwarding import answer_stream, envelope
from redwingscale_daemon._internal.ingress import request_threads
from redwingscale_daemon._internal.ingress.request_threads import RequestThreads
from redwingscale_daemon._internal.lifecycle.run_times import LEAST_ANSWERS
from redwingscale_daemon._internal.workspaces.keys import WorkspaceKeys, key_digest
from redwingscale_daemon._internal.workspaces.use_limiter import Drawn
from redwingscale_daemon._internal.workspaces.workspace import UseLimit, UseUnit, Workspace

from .conftest import HOST, WAIT_SECONDS, breaks, events, read_response, sized
from .test_bytes_held import wait_until
from .test_passed_on import declines
from .test_second_upstream import SILENCE_SECONDS, Pausing
from .test_streams import numbers

# Less than any route's limit in these tests.
LEFT_SECONDS = 1.0
BODY_BYTES = 900_000
# The time of a port to end its requests, more than those that are open get at the end.
STOP_SECONDS = 0.8


def drain(world, left_seconds=LEFT_SECONDS):
    """Let the port of ``world`` have closed, with ``left_seconds`` until the process ends."""
    now = time.monotonic()
    world.open_requests.drain(now, now + left_seconds)


def drains_then(script, world):
    """Return a script that lets the instance stop before it does as ``script``."""

    def run(connection, received):
        drain(world)
        return script(connection, received)

    return run


class Held:
    """A script of an upstream that answers once the test lets it."""

    def __init__(self):
        self.received, self.goes_on = threading.Event(), threading.Event()

    def __call__(self, connection, received):
        self.received.set()
        self.goes_on.wait(WAIT_SECONDS)
        return sized(b"late")(connection, received)


@pytest.fixture
def cut(world):
    """An instance that has lost its path."""
    world.add("llm", events(99))
    world.add("plain", sized(b"direct"))
    return world


def drains_as_it_takes(peer):
    """Return an answer to whether ``peer`` takes requests: it stops after one was taken."""
    asked = itertools.count(1)

    def may_take():
        # Asked when the head has come, and again with the body.
        if next(asked) == 2:
            drain(peer)
        return True

    return may_take


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
def test_request_that_cannot_end_is_refused_and_not_sent(world, path):
    """Guards against requests that are cut as the process ends."""
    world.add("plain", sized(b"answer"))
    drain(world)
    response = world.request(path)
    assert (response.status, float(response.headers["Retry-After"]) > 0) == (503, True)
    assert response.headers["Connection"] == "close"
    assert not world.log


@pytest.mark.parametrize(("status", "taken"), [("200 OK", 1), ("500 Failed", 0)])
def test_only_answers_of_the_service_tell_how_long_a_request_takes(world, status, taken):
    """Guards against a request taken, and cut, since others failed quickly."""
    world.add("plain", sized(b"answer", status=status))
    for _ in range(LEAST_ANSWERS):
        world.request("/safe/x")
    # Its caller has an answer before the instance has noted it.
    wait_until(lambda: len(world.ended) == LEAST_ANSWERS)
    drain(world)
    sent = len(world.log)
    world.request("/safe/x")
    assert len(world.log) - sent == taken


def test_lost_request_is_not_repeated_when_the_repeat_cannot_end(world):
    """Guards against second attempts that are cut, and against a 503 after a possible run."""
    world.add("plain", drains_then(breaks, world))
    world.add("plain", drains_then(breaks, world))
    assert world.request("/safe/x").status == 502
    assert len(world.log) == 1


def test_lost_stream_is_not_resumed_when_it_cannot_end(world):
    """Guards against a stream that goes on elsewhere only to be cut with the process."""
    for _ in range(2):
        world.add("llm", drains_then(events(1, 2, then="inside"), world))
    response = world.request("/stream/x", model="m")
    assert (numbers(response), response.whole) == ([1, 2], False)
    assert len(world.log) == 1


def test_request_is_not_passed_on_when_its_answer_cannot_end(cut):
    """Guards against requests that a stopping instance passes on and then cuts."""
    cut.add_peer(drains_then(declines, cut))
    cut.add_peer(drains_then(declines, cut))
    cut.lose_path()
    response = cut.request("/once/x")
    assert (response.status, len(cut.log)) == (503, 1)


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
def test_request_declined_by_a_stopping_peer_goes_elsewhere(cut, peer, path):
    """Guards against a decline before the body is read that the sender takes for a loss."""
    cut.peers["p0"] = peer.take_requests_of_peers(may_take=lambda: False)
    cut.add_peer(sized(b"answer"), domain="z2")
    cut.lose_path()
    assert cut.request(path, b"b" * BODY_BYTES).body == b"answer"


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
def test_request_that_a_stopping_peer_has_taken_too_late_goes_elsewhere(cut, peer, path):
    """Guards against a refusal of the peer that ends as the answer to the caller."""
    peer.add("plain", sized(b"late"))
    cut.peers["p0"] = peer.take_requests_of_peers(may_take=drains_as_it_takes(peer))
    cut.add_peer(sized(b"answer"), domain="z2")
    cut.lose_path()
    assert cut.request(path).body == b"answer"
    assert [one.upstream for one in cut.log + peer.log] == ["p1"]


def test_request_that_may_have_run_goes_on_elsewhere_than_at_a_stopping_peer(cut, peer):
    """Guards against a 502 of a peer that has not sent the request, as the final answer."""
    peer.add("plain", sized(b"late"))
    cut.add_peer(breaks)
    taken = peer.take_requests_of_peers("p1", may_take=drains_as_it_takes(peer))
    # Chosen after the first one, and before the last one.
    cut.peers["p1"] = msgspec.structs.replace(taken, busy=0.3)
    cut.add_peer(sized(b"answer"), domain="z2")
    cut.peers["p2"] = msgspec.structs.replace(cut.peers["p2"], busy=0.5)
    cut.lose_path()
    response = cut.request("/safe/x")
    assert (peer.ended, peer.log) == (["stopping"], [])
    assert (response.status, response.body) == (200, b"answer")


def test_request_whose_body_a_stopping_peer_has_not_read_is_declined(peer):
    """Guards against a refusal of an unread request that ends as the answer to the caller."""
    offer = peer.take_requests_of_peers()
    carried = envelope.Envelope(offer.token, "one", "plain", 0.0, 0, 0, [])
    name, value = envelope.encode(carried)
    caller = socket.create_connection(("127.0.0.1", offer.port))
    caller.settimeout(WAIT_SECONDS)
    headers = [f"{name}: {value}", "Content-Length: 9"]
    lines = ["POST /once/x HTTP/1.1", f"Host: {HOST}", "X-Redwingscale-Request-Id: r1", *headers]
    caller.sendall("\r\n".join([*lines, "", "half"]).encode())
    stops = threading.Thread(target=peer.peer_port.stop, args=(STOP_SECONDS,))
    stops.start()
    response = read_response(caller)
    stops.join()
    assert (response.status, response.headers.get(envelope.DECLINED_HEADER)) == (503, "1")


@pytest.mark.parametrize(("path", "status", "asked"), [("/safe/x", 200, 1), ("/once/x", 502, 0)])
def test_request_that_runs_as_the_process_of_its_peer_ends(cut, peer, path, status, asked):
    """Guards against a final failure of what may be repeated, and against two runs of the rest."""
    held = Held()
    peer.add("plain", held)
    cut.peers["p0"] = peer.take_requests_of_peers()
    cut.add_peer(sized(b"answer"), domain="z2")
    cut.lose_path()
    caller = cut.send(path)
    assert held.received.wait(WAIT_SECONDS)
    drain(peer, STOP_SECONDS)
    peer.peer_port.stop(STOP_SECONDS)
    response = read_response(caller)
    held.goes_on.set()
    assert (response.status, len(cut.log)) == (status, asked)


def test_answer_to_a_request_of_before_the_stop_closes_its_connection(world):
    """Guards against a next request on a connection that is closed as the port closes."""
    held = Held()
    world.add("plain", held)
    caller = world.send("/safe/x")
    assert held.received.wait(WAIT_SECONDS)
    now = time.monotonic()
    world.open_requests.drain(now + WAIT_SECONDS, now + 2 * WAIT_SECONDS)
    held.goes_on.set()
    response = read_response(caller)
    assert (response.status, response.headers.get("Connection")) == (200, "close")


def test_answer_that_was_read_whole_is_delivered_on_as_the_process_ends(world, monkeypatch):
    """Guards against an answer that ends with its connection although all of it is there."""
    ended, end = threading.Event(), RequestThreads._end

    def end_and_note(threads, connection):
        end(threads, connection)
        ended.set()

    monkeypatch.setattr(RequestThreads, "_end", end_and_note)
    # The real time is too short for a test on a busy machine.
    monkeypatch.setattr(request_threads, "ENDING_SECONDS", WAIT_SECONDS)
    body = b"x" * BODY_BYTES
    world.add("plain", sized(body))
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.settimeout(WAIT_SECONDS)
    caller.connect(("127.0.0.1", world.server.port))
    world.send("/safe/x", caller=caller)
    assert caller.recv(1, socket.MSG_PEEK)
    stops = threading.Thread(target=world.server.stop, args=(STOP_SECONDS,))
    stops.start()
    assert ended.wait(WAIT_SECONDS)
    # The thread of the request sees the end of its connection at once.
    time.sleep(0.1)
    response = read_response(caller)
    stops.join()
    assert (response.status, response.body == body) == (200, True)


def test_units_are_not_refunded_when_the_caller_leaves_a_request_at_a_peer(cut, monkeypatch):
    """Guards against requests that run at another instance's upstream for nothing."""
    clerks = Workspace("clerks", 1, UseLimit(UseUnit.REQUESTS, 10.0, 1000.0))
    cut.configure(2, WorkspaceKeys({key_digest("k"): clerks}))
    held = Held()
    cut.add_peer(held)
    cut.lose_path()
    refunded = []
    monkeypatch.setattr(cut.limiter, "draw", lambda workspace, tokens: Drawn(1.0))
    monkeypatch.setattr(cut.limiter, "refund", lambda workspace, units: refunded.append(units))
    caller = cut.send("/safe/x", headers=["Authorization: Bearer k"])
    assert held.received.wait(WAIT_SECONDS)
    caller.close()
    wait_until(lambda: cut.ended)
    held.goes_on.set()
    assert (cut.ended, refunded) == (["caller_left"], [])


def test_second_upstream_is_not_asked_when_the_stream_cannot_end(world, monkeypatch):
    """Guards against a run that is begun beside a silent one, and cut with the process."""
    monkeypatch.setattr(answer_stream, "STREAM_SILENCE_SECONDS", SILENCE_SECONDS)
    first = Pausing(3 * SILENCE_SECONDS, 1, 2, 3)
    world.add("llm", drains_then(first, world))
    world.add("llm", events(2, 3))
    response = world.request("/long/x", model="m")
    assert (numbers(response), response.whole) == ([1, 2, 3], True)
    assert len(world.log) == 1


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
def test_request_that_waits_for_the_turn_of_a_suspect_is_refused(world, path, monkeypatch):
    """Guards against a suspect that runs late since the wait for its turn asks nothing."""
    world.add("plain", sized(b"answer"))

    def wait_for_turn(*given):
        drain(world)
        given[-1]()

    monkeypatch.setattr(type(world.quarantine), "active", True)
    monkeypatch.setattr(world.quarantine, "wait_for_turn", wait_for_turn)
    assert (world.request(path).status, world.ended, world.log) == (503, ["stopping"], [])
