"""An upstream closes its connection, in order, before the head of its answer is complete."""

import socket
from http.client import HTTPException

import pytest
from redwingscale_daemon._internal.forwarding.upstream_connection import UpstreamConnection
from redwingscale_daemon._internal.forwarding.watch import Watch
from redwingscale_daemon._internal.leases.clock import lease_clock

from .conftest import WAIT_SECONDS, events, head, sized

BODY = b"0123456789"
FRAMINGS = {
    "length": (f"Content-Length: {len(BODY)}", BODY),
    "chunks": ("Transfer-Encoding: chunked", b"00a\r\n%s\r\n0\r\n\r\n" % BODY),
    "end of the connection": ("Connection: close", BODY),
}
# What is left out of the end of the head.
CUTS = {
    "after the status line": lambda data: data[: data.index(b"\r\n") + 2],
    "inside a name": lambda data: data[: data.index(b"Response-Seal")],
    "inside a value": lambda data: data[: data.index(b"seal") + 2],
    "after the seal": lambda data: data[: data.index(b"seal") + 6],
    "inside the framing": lambda data: data[:-5],
    "after the last line": lambda data: data[:-2],
    "inside the blank line": lambda data: data[:-1],
}


def begins(cut, *lines, before=b""):
    """Return a script that sends the begin of a head, and closes the connection."""

    def script(connection, received):
        connection.sendall(before + CUTS[cut](head(received, "200 OK", *lines)))
        return False

    return script


@pytest.mark.parametrize("framing", ["length", "chunks", "end of the connection"])
@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize(
    ("path", "service", "model", "answer", "body"),
    [
        ("/safe/", "plain", None, sized(b"ok"), b"ok"),
        ("/stream/", "llm", "m", events(1), b"id: 1\ndata: token1\n\n"),
    ],
)
def test_head_that_ends_early_is_no_answer(world, path, service, model, answer, body, cut, framing):
    """Guards against a caller that gets an empty body, or a part of one, as a whole answer."""
    world.add(service, begins(cut, FRAMINGS[framing][0]))
    world.add(service, answer)
    response = world.request(path, model=model)
    assert (response.status, response.body, response.whole) == (200, body, True)
    assert [received.upstream for received in world.log] == ["u0", "u1"]


@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("status", ["200 OK", "503 Full"])
def test_unsafe_request_whose_head_ends_early_has_an_unknown_outcome(world, cut, status):
    """Guards against a success, or a promise that it has not run, that nobody has made."""

    def script(connection, received):
        lines = ("X-Redwingscale-Not-Executed: 1", "Retry-After: 0.01", "Content-Length: 10")
        connection.sendall(CUTS[cut](head(received, status, *lines)))
        return False

    world.add("plain", script)
    world.add("plain", sized(b"ok"))
    response = world.request("/once/")
    assert (response.status, "Retry-After" in response.headers) == (502, False)
    assert len(world.log) == 1


@pytest.mark.parametrize("cut", CUTS)
def test_head_after_an_interim_answer_or_a_copy_may_end_early_as_well(world, cut):
    """Guards against the same where another head comes before it on the connection."""

    def copy_first(connection, received):
        copied = received._replace(head=received.head.replace("r2", "r1"))
        sized(b"first again")(connection, copied)
        return begins(cut, "Content-Length: 10")(connection, received)

    interim = begins(cut, "Content-Length: 10", before=b"HTTP/1.1 100 Continue\r\n\r\n")
    world.add("plain", sized(b"first"), copy_first, interim)
    assert world.request("/once/").body == b"first"
    assert world.request("/once/").status == 502
    assert world.request("/once/").status == 502


def test_interim_answer_that_ends_early_is_no_answer(world):
    """Guards against an interim head without an end that is skipped."""

    def script(connection, received):
        connection.sendall(b"HTTP/1.1 100 Continue\r\na: b\r\n")
        return False

    world.add("plain", script)
    assert world.request("/once/").status == 502


@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize(
    ("path", "service", "model"), [("/safe/", "plain", None), ("/stream/", "llm", "m")]
)
def test_head_of_a_peer_that_ends_early_is_no_answer(world, path, service, model, cut):
    """Guards against an answer cut by the end of an instance that looks whole."""
    world.add_peer(begins(cut, "Content-Length: 10"))
    world.add(service, sized(b"unreached"))
    world.lose_path()
    response = world.request(path, model=model)
    assert response.status in (502, 503)
    assert {received.upstream for received in world.log} == {"p0"}


@pytest.mark.parametrize("framing", FRAMINGS)
def test_no_begin_of_an_answer_looks_whole(framing):
    """Guards against an answer, cut at any byte by the end of its connection, that looks whole."""
    line, body = FRAMINGS[framing]
    answer = f"HTTP/1.1 200 OK\r\nX-Redwingscale-Request-Id: r1\r\n{line}\r\n\r\n".encode()
    # Only the end of the connection tells that such a body is whole.
    first_whole = {
        "length": len(answer) + len(BODY),
        "chunks": len(answer) + len(body) - 2,
        "end of the connection": len(answer),
    }[framing]
    answer += body
    looked_whole = [count for count in range(len(answer)) if reads_whole(answer[:count])]
    assert looked_whole == list(range(first_whole, len(answer)))


def reads_whole(data):
    """Return whether ``data``, followed by the end of the connection, is read without an error."""
    server = socket.create_server(("127.0.0.1", 0))
    caller, other_end = socket.socketpair()
    connection = UpstreamConnection("127.0.0.1", server.getsockname()[1])
    connection.connect()
    accepted, _ = server.accept()
    try:
        connection.send_request("GET", "/", (), b"")
        accepted.recv(1000)
        accepted.sendall(data)
        accepted.close()
        response = connection.receive_response(Watch(caller, lease_clock() + WAIT_SECONDS))
        response.read()
    except HTTPException:
        return False
    finally:
        connection.discard()
        for one in (server, caller, other_end):
            one.close()
    return True
