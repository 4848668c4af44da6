"""How long a connection stays open after a whole answer."""

import socket
import time

import pytest
from redwingscale_daemon._internal.ingress.caller_delivery import await_delivery
from redwingscale_daemon._internal.utils.sockets import unread_bytes

LONGEST_SECONDS = 20
# Time for the thread to be scheduled on a busy machine.
SLACK_SECONDS = 1.0
BUFFER_BYTES = 4096


@pytest.fixture
def ends():
    listener = socket.create_server(("127.0.0.1", 0))
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    caller.connect(listener.getsockname())
    server, _ = listener.accept()
    server.settimeout(1.0)
    yield server, caller
    for end in (server, caller, listener):
        end.close()


def fill(server):
    """Write more than a caller that does not read takes."""
    server.setblocking(False)
    try:
        while True:
            server.send(b"x" * BUFFER_BYTES)
    except BlockingIOError:
        server.settimeout(1.0)


def seconds_of_wait(server, longest_seconds=LONGEST_SECONDS):
    began = time.monotonic()
    await_delivery(server, began + longest_seconds)
    return time.monotonic() - began


def test_thread_is_free_once_the_caller_has_all(ends):
    """Guards against threads that wait for callers which keep their end open."""
    server, caller = ends
    server.sendall(b"answer")
    assert caller.recv(BUFFER_BYTES) == b"answer"
    assert seconds_of_wait(server) < SLACK_SECONDS


def test_next_request_stays_unread(ends):
    """Guards against a request that is read and then dropped with its connection."""
    server, caller = ends
    fill(server)
    caller.sendall(b"next")
    assert seconds_of_wait(server, 1) < 1 + SLACK_SECONDS
    assert unread_bytes(server) == len(b"next")


def test_caller_that_takes_nothing_is_not_waited_for(ends):
    """Guards against a thread that is held beyond the deadline of its request."""
    server, _ = ends
    fill(server)
    assert seconds_of_wait(server, 1) < 1 + SLACK_SECONDS


def test_wait_is_bounded_for_a_caller_that_takes_little(ends):
    """Guards against a thread that is held by a caller which takes a few bytes now and then."""
    server, caller = ends
    fill(server)
    caller.recv(BUFFER_BYTES)
    assert seconds_of_wait(server, 1) < 1 + SLACK_SECONDS


def test_wait_ends_when_the_caller_leaves(ends):
    """Guards against a thread that waits for a caller which has closed its connection."""
    server, caller = ends
    fill(server)
    caller.close()
    assert seconds_of_wait(server) < SLACK_SECONDS
