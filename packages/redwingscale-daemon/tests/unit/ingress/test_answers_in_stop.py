"""Answers that are delivered while their port stops."""

import http.client
import socket
import threading
import time

import pytest
from redwingscale_daemon._internal.ingress import request_threads
from redwingscale_daemon._internal.ingress.ingress_server import IngressServer, PortLimits

WAIT_SECONDS = 8.0
LONG_SECONDS = 60
# Less than a caller takes without reading, and more than that and the instance's socket hold.
SMALL_BODY, LARGE_BODY = b"x" * (40 << 10), b"x" * (600 << 10)
BUFFER_BYTES = 4096
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class AnsweringPort:
    """A port that begins an answer at once, and sends ``body`` once ``go_on`` is set."""

    def __init__(self, body):
        self.body = body
        self.go_on, self.arrived = threading.Event(), threading.Event()
        self.connection = None
        limits = PortLimits(8, 8 << 10, 8 << 10, LONG_SECONDS)
        self.server = IngressServer(self.handle, "127.0.0.1", 0, limits)
        self.server.start()
        self.caller = socket.socket()
        self.caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self.caller.settimeout(WAIT_SECONDS)
        self.caller.connect(("127.0.0.1", self.server.port))

    def handle(self, request, reply):
        self.connection = request.connection
        reply.set_delivery_limit(LONG_SECONDS)
        reply.begin(200, (), len(self.body))
        self.arrived.set()
        self.go_on.wait(WAIT_SECONDS)
        reply.write(self.body)

    def ask(self):
        self.caller.sendall(REQUEST)
        assert self.arrived.wait(WAIT_SECONDS)

    def stop(self, seconds):
        thread = threading.Thread(target=self.server.stop, args=(seconds,), daemon=True)
        thread.start()
        wait_until(lambda: self.server._threads._stopping)

    def read(self):
        response = http.client.HTTPResponse(self.caller)
        response.begin()
        return response.read()

    def end(self):
        self.go_on.set()
        self.caller.close()
        self.server.stop()


def wait_until(condition):
    end = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.01)


@pytest.fixture
def make_port():
    made = []

    def make(body):
        made.append(AnsweringPort(body))
        return made[-1]

    yield make
    for one in made:
        one.end()


def test_next_request_does_not_reset_an_answer_that_ends_after_the_port_has_closed(make_port):
    """Guards against a close with unread bytes, which drops what the caller has not taken."""
    port = make_port(SMALL_BODY)
    port.ask()
    port.caller.sendall(REQUEST)
    port.stop(LONG_SECONDS)
    port.go_on.set()
    # The answer is written, and its connection closed or kept, within this time.
    time.sleep(0.3)
    assert port.read() == SMALL_BODY


def test_answer_is_delivered_on_as_the_process_ends_its_connection(make_port, monkeypatch):
    """Guards against the process's own end of a connection that is taken for the caller's."""
    # The real time is too short for a test on a busy machine.
    monkeypatch.setattr(request_threads, "ENDING_SECONDS", WAIT_SECONDS)
    port = make_port(LARGE_BODY)
    port.ask()
    port.go_on.set()
    port.stop(0.3)
    wait_until(lambda: port.connection.ended)
    # The thread sees the end of the connection at once.
    time.sleep(0.1)
    assert port.read() == LARGE_BODY
