"""Ports of a process that has no descriptors left, or few."""

import errno
import http.client
import resource
import socket
import threading
import time

import pytest
from redwingscale_daemon._internal.forwarding.connection_pool import ConnectionPool
from redwingscale_daemon._internal.ingress.descriptor_limits import (
    MAX_IDLE_CONNECTIONS,
    RESERVED_DESCRIPTORS,
    idle_limits,
)
from redwingscale_daemon._internal.ingress.ingress_server import IngressServer, PortLimits

WAIT_SECONDS = 8.0
IDLE_SECONDS = 1


@pytest.fixture
def make_port():
    """Start ports that answer each request at once."""
    started = []

    def make(idle_seconds=IDLE_SECONDS, **limits):
        bounds = PortLimits(8, 8 << 10, 8 << 10, idle_seconds, **limits)
        server = IngressServer(
            lambda request, reply: reply.send(200, (), b"whole"), "127.0.0.1", 0, bounds
        )
        server.start()
        started.append(server)
        return server

    yield make
    for server in started:
        server.stop()


def ask(server):
    """Return a connection on which one request was answered, and that answer."""
    connection = http.client.HTTPConnection("127.0.0.1", server.port, timeout=WAIT_SECONDS)
    connection.request("GET", "/")
    response = connection.getresponse()
    assert response.read() == b"whole"
    return connection, response


def test_port_without_descriptors_closes_expired_connections(make_port, monkeypatch):
    """Guards against a process that hangs for good once it can accept no connection."""
    server = make_port()
    idle, _ = ask(server)
    listener = server._server.socket

    class Full:
        refused = 0

        def accept(self):
            self.refused += 1
            raise OSError(errno.EMFILE, "Too many open files")

        def __getattr__(self, name):
            return getattr(listener, name)

    full = Full()
    server._server.socket = full
    waiting = socket.create_connection(("127.0.0.1", server.port), WAIT_SECONDS)
    idle.sock.settimeout(WAIT_SECONDS)
    assert idle.sock.recv(1) == b""
    # Guards against a loop without a pause.
    assert 0 < full.refused < WAIT_SECONDS / 0.04
    server._server.socket = listener
    waiting.settimeout(WAIT_SECONDS)
    waiting.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert waiting.recv(12) == b"HTTP/1.1 200"


def test_request_that_comes_as_its_connection_expires_is_answered(make_port, monkeypatch):
    """Guards against a request that is closed unread: its caller cannot know if it has run."""
    server = make_port()
    selector = server._server._connections._selector
    select, held, sent = selector.select, threading.Event(), threading.Event()

    def select_before_the_request(timeout):
        if not held.is_set():
            return select(timeout)
        sent.wait(WAIT_SECONDS)
        held.clear()
        return ()

    monkeypatch.setattr(selector, "select", select_before_the_request)
    connection, _ = ask(server)
    held.set()
    time.sleep(IDLE_SECONDS * 1.5)
    connection.request("GET", "/")
    sent.set()

    assert connection.getresponse().read() == b"whole"


def test_connections_beyond_the_idle_ones_are_answered_and_closed(make_port):
    """Guards against idle connections that use up all descriptors."""
    server = make_port(30, idle_connections=2)
    answers = [ask(server) for _ in range(4)]
    closing = [response.will_close for _, response in answers]
    assert closing == [False, False, True, True]


@pytest.mark.parametrize("descriptors", [1638, 4100, 10_250])
def test_idle_connections_leave_room_for_open_requests(monkeypatch, descriptors):
    """Guards against limits that together exceed what the process may have."""
    monkeypatch.setattr(resource, "getrlimit", lambda kind: (1 << 20, 1 << 20))
    limits = idle_limits(descriptors)
    open_requests = 2 * 160
    assert sum(limits) + open_requests <= descriptors - RESERVED_DESCRIPTORS
    assert max(limits) <= MAX_IDLE_CONNECTIONS


@pytest.mark.parametrize(
    ("given", "own", "callers"), [(None, 1200, 400), (700, 1200, 200), (2200, 1200, 400)]
)
def test_lower_limit_of_descriptors_holds(monkeypatch, given, own, callers):
    monkeypatch.setattr(resource, "getrlimit", lambda kind: (own, own))
    assert idle_limits(given).callers == callers


def test_idle_connections_to_all_upstreams_are_bounded_together():
    """Guards against idle connections to many upstreams that use up all descriptors."""
    servers = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
    pool = ConnectionPool(max_idle=2)
    upstreams = [_Endpoint(f"u{n}", server.getsockname()[1]) for n, server in enumerate(servers)]
    connections = [pool.open(one) for one in upstreams]
    for one, connection in zip(upstreams, connections, strict=True):
        pool.put_back(one, connection, 10.0)
    assert [pool.has_idle(one.id) for one in upstreams] == [True, True, False]
    pool.forget({"u0"})
    pool.put_back(upstreams[2], pool.open(upstreams[2]), 10.0)
    assert pool.has_idle("u2")
    pool.forget({"u1", "u2"})
    for server in servers:
        server.close()


class _Endpoint:
    def __init__(self, name, port):
        self.id, self.host, self.port = name, "127.0.0.1", port
