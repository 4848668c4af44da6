"""Connections that are established, or bring a request, as their port closes."""

import errno
import http.client
import socket
import threading
import time

import pytest
from redwingscale_daemon._internal.ingress.ingress_server import IngressServer, PortLimits
from redwingscale_daemon._internal.utils.sockets import RESET_ON_CLOSE

WAIT_SECONDS = 8.0
# For open requests, and for a connection to bring one: no test waits for it.
LONG_SECONDS = 60
# Beyond the time in which the accept loop ends (0.5 s) and open requests end (0.3 s).
SHORT_SECONDS = 2.0
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class HeldPort:
    """A port that answers each request at once, and whose accept loop can be held."""

    def __init__(self, monkeypatch):
        limits = PortLimits(8, 8 << 10, 8 << 10, LONG_SECONDS)
        self.server = IngressServer(
            lambda request, reply: reply.send(200, (), b"whole"), "127.0.0.1", 0, limits
        )
        self.server.start()
        self._connections = self.server._server._connections
        self._select = self._connections._selector.select
        self._hold, self._held, self._go_on = (threading.Event() for _ in range(3))
        monkeypatch.setattr(self._connections._selector, "select", self._select_or_wait)

    def _select_or_wait(self, timeout):
        if not self._hold.is_set():
            return self._select(timeout)
        self._held.set()
        self._go_on.wait(WAIT_SECONDS)
        return ()

    def connect(self):
        return socket.create_connection(("127.0.0.1", self.server.port), WAIT_SECONDS)

    def ask(self):
        """Return an idle connection on which one request was answered."""
        kept = self.connect()
        kept.sendall(REQUEST)
        assert read_status(kept) == 200
        # Idle only once its thread has handed it back to the loop.
        wait_until(lambda: self._connections._num_connections == 1)
        return kept

    def hold(self):
        """Return once the loop accepts and reads nothing."""
        self._hold.set()
        assert self._held.wait(WAIT_SECONDS)

    def stop(self):
        """Stop the port, and let its loop see only that it must end."""
        stop = threading.Thread(target=self.server.stop, args=(LONG_SECONDS,), daemon=True)
        stop.start()
        wait_until(lambda: self._connections._stop_requested)
        self._go_on.set()
        stop.join(WAIT_SECONDS)

    def end(self):
        self._go_on.set()
        self.server.stop()


def read_status(connection):
    response = http.client.HTTPResponse(connection)
    response.begin()
    assert response.read() == b"whole"
    return response.status


def wait_until(condition):
    end = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.01)


@pytest.fixture
def port(monkeypatch):
    made = HeldPort(monkeypatch)
    yield made
    made.end()


def test_connections_in_the_accept_queue_are_answered_as_the_port_closes(port):
    """Guards against connections that are reset, whose callers have sent a request."""
    port.hold()
    waiting = [port.connect() for _ in range(3)]
    for one in waiting:
        one.sendall(REQUEST)
    port.stop()
    assert [read_status(one) for one in waiting] == [200] * 3


def test_next_request_on_an_idle_connection_is_answered_as_the_port_closes(port):
    """Guards against a kept connection that is closed with a request unread."""
    kept = port.ask()
    port.hold()
    kept.sendall(REQUEST)
    port.stop()
    assert read_status(kept) == 200


def test_connections_without_a_request_are_closed_as_the_port_closes(port):
    """Guards against connections that stay open, and bring a request when it is too late."""
    idle, read = port.ask(), port.connect()
    wait_until(lambda: port.server._threads.busy)
    port.hold()
    unread = port.connect()
    port.stop()
    assert [one.recv(1) for one in (idle, read, unread)] == [b""] * 3


def test_connections_in_the_queue_are_answered_although_no_descriptor_is_left_at_first(
    port, monkeypatch
):
    """Guards against a port that closes at the first connection it has no descriptor for."""
    port.hold()
    waiting = [port.connect() for _ in range(3)]
    for one in waiting:
        one.sendall(REQUEST)
    accept, refused = socket.socket.accept, []

    def accept_second_time(listener):
        if not refused:
            refused.append(listener)
            raise OSError(errno.EMFILE, "no descriptor is left")
        return accept(listener)

    monkeypatch.setattr(socket.socket, "accept", accept_second_time)
    port.stop()
    assert refused
    assert [read_status(one) for one in waiting] == [200] * 3


def test_connections_behind_one_that_was_reset_are_answered_as_the_port_closes(port):
    """Guards against a reset in the accept queue that ends the connections behind it."""
    port.hold()
    gone = port.connect()
    waiting = [port.connect() for _ in range(3)]
    for one in waiting:
        one.sendall(REQUEST)
    gone.setsockopt(*RESET_ON_CLOSE)
    gone.close()
    port.stop()
    assert [read_status(one) for one in waiting] == [200] * 3


def test_next_request_that_has_begun_beside_another_one_is_late_as_its_port_closes(port):
    """Guards against 400 for a proper request whose first bytes came with the one before it."""
    caller = port.connect()
    caller.sendall(REQUEST + REQUEST[:9])
    assert read_status(caller) == 200
    # Read on by a thread, not by the loop.
    wait_until(lambda: port.server._threads.busy)
    stop = threading.Thread(target=port.server.stop, args=(SHORT_SECONDS,), daemon=True)
    stop.start()
    response = http.client.HTTPResponse(caller)
    response.begin()
    stop.join(WAIT_SECONDS)
    assert response.status == 408, response.read()
