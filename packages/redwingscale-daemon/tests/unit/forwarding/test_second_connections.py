"""A second attempt that waits for its connection, while the first upstream stays connected."""

import contextlib
import select
import socket
import threading
import time

import pytest
from redwingscale_daemon._internal.forwarding import (
    answer_stream,
    connection_pool,
    stream_sender,
    watch,
)
from redwingscale_daemon._internal.leases.clock import lease_clock

from .conftest import WAIT_SECONDS, events, head, read_response
from .test_bytes_held import wait_until
from .test_second_upstream import SILENCE_SECONDS, Pausing, sendings
from .test_streams import numbers

# The first upstream goes on this long after the second one is asked.
GOES_ON_SECONDS = 0.05
# Longer than the tests wait for anything else.
CONNECT_SECONDS = 4 * WAIT_SECONDS
CONNECT_LIMIT_SECONDS = 0.1


@pytest.fixture(autouse=True)
def short_silence(monkeypatch):
    monkeypatch.setattr(answer_stream, "STREAM_SILENCE_SECONDS", SILENCE_SECONDS)
    monkeypatch.setattr(stream_sender, "FIRST_EVENT_SILENCE_SECONDS", SILENCE_SECONDS)


@pytest.fixture
def patient(monkeypatch):
    monkeypatch.setattr(connection_pool, "SECOND_CONNECT_SECONDS", CONNECT_SECONDS)


@pytest.fixture
def unreached(world):
    """Return a function that lists a second upstream whose connections hang."""
    server = socket.create_server(("127.0.0.1", 0), backlog=0)
    # One connection that nobody accepts fills the queue: the packets of others are dropped.
    waiting = [socket.create_connection(server.getsockname())]

    def add():
        scripted = world.add("llm", events(2, 3))
        scripted.close()
        listed = world.upstreams[-1][1]._replace(port=server.getsockname()[1])
        world.upstreams[-1] = scripted, listed
        world.directory.replace([upstream for _, upstream in world.upstreams])

    yield add
    for one in (*waiting, server):
        one.close()


def test_event_is_passed_on_while_a_second_upstream_is_connected(world, unreached, patient):
    """Guards against a stream that stands still for a connection that it does not need."""
    world.add("llm", Pausing(SILENCE_SECONDS + GOES_ON_SECONDS, 1, 2))
    unreached()
    caller = world.send("/long/x", model="m")
    stream = caller.makefile("rb")
    while b"token2" not in stream.readline():
        pass


def test_caller_that_leaves_while_a_second_upstream_is_connected_is_noticed(
    world, unreached, patient
):
    """Guards against a first upstream that works on for nobody."""
    closed = threading.Event()

    def waits(connection, received):
        connection.sendall(head(received, "200 OK", "Transfer-Encoding: chunked"))
        event = b"id: 1\ndata: token1\n\n"
        connection.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        connection.settimeout(2 * WAIT_SECONDS)
        with contextlib.suppress(ConnectionResetError):
            connection.recv(1)
        closed.set()
        return False

    world.add("llm", waits)
    unreached()
    caller = world.send("/long/x", model="m")
    stream = caller.makefile("rb")
    while b"token1" not in stream.readline():
        pass
    time.sleep(SILENCE_SECONDS + GOES_ON_SECONDS)
    caller.shutdown(socket.SHUT_RDWR)
    assert closed.wait(WAIT_SECONDS)


def test_connection_that_is_given_up_before_it_is_used_is_no_run(world, unreached):
    """Guards against a stream that may not go on elsewhere since an unused connection counts."""

    def pauses_twice(connection, received):
        connection.sendall(head(received, "200 OK", "Transfer-Encoding: chunked"))
        for number, pause in ((1, SILENCE_SECONDS + GOES_ON_SECONDS), (2, WAIT_SECONDS)):
            event = f"id: {number}\ndata: token{number}\n\n".encode()
            connection.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            time.sleep(pause)
        return False

    world.add("llm", pauses_twice)
    unreached()
    caller = world.send("/long/x", model="m")
    wait_until(lambda: world.log)
    time.sleep(2 * SILENCE_SECONDS + GOES_ON_SECONDS)
    world.add("llm", events(3))
    response = read_response(caller)
    assert (numbers(response), response.whole) == ([1, 2, 3], True)
    assert sendings(world) == [("u0", None), ("u2", "2")]


class LatePoller:
    """Returns the caller's event once the time to connect is over, and then the connection."""

    def __init__(self, caller, upstream):
        self._found = iter([[(caller.fileno(), select.POLLIN)], [(upstream.fileno(), 0)]])

    def poll(self, milliseconds):
        time.sleep(milliseconds / 1000)
        return next(self._found)


def test_connection_that_opens_while_the_thread_stands_still_is_used(monkeypatch):
    """Guards against upstreams that seem unreachable to a thread without processor time."""
    caller, sent = socket.socketpair()
    upstream, other_end = socket.socketpair()
    sent.sendall(b"the next request")
    poller = LatePoller(caller, upstream)
    monkeypatch.setattr(watch.Watch, "_poller", lambda *_: poller)
    watched = watch.Watch(caller, lease_clock() + WAIT_SECONDS)
    assert watched.wait_until_connected(upstream, CONNECT_LIMIT_SECONDS)
    for one in (caller, sent, upstream, other_end):
        one.close()
