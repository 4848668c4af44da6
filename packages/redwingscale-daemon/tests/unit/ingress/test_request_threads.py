"""A port's threads: as many as its callers need, never more than its bound."""

import http.client
import threading
import time

import pytest
from redwingscale_daemon._internal.ingress import request_threads
from redwingscale_daemon._internal.ingress.ingress_server import IngressServer, PortLimits

MOST, REFUSING = 8, 2
WAIT_SECONDS = 5.0


class Port:
    """Requests for /wait are open until ``release``; /now is answered or refused at once."""

    def __init__(self, most=MOST):
        self.release = threading.Event()
        self.arrived = threading.Semaphore(0)
        limits = PortLimits(most, 8 << 10, 8 << 10, 20, REFUSING, "test")
        self.server = IngressServer(self.handle, "127.0.0.1", 0, limits)
        self.server.start()

    def handle(self, request, reply):
        if self.server.crowded:
            reply.send(503, (), b"")
            return
        if request.target == "/wait":
            self.arrived.release()
            self.release.wait(WAIT_SECONDS)
        reply.send(200, (), b"whole")

    def send(self, target):
        connection = http.client.HTTPConnection("127.0.0.1", self.server.port, timeout=WAIT_SECONDS)
        connection.request("GET", target)
        return connection

    def wait_for(self, count):
        """Return connections whose requests have all been read and are open."""
        sent = [self.send("/wait") for _ in range(count)]
        assert all(self.arrived.acquire(timeout=WAIT_SECONDS) for _ in range(count))
        return sent

    def ask(self):
        return self.send("/now").getresponse().status


@pytest.fixture
def port():
    made = Port()
    yield made
    made.release.set()
    made.server.stop()


def threads():
    return sum(1 for thread in threading.enumerate() if thread.name.startswith("test-"))


def until(condition):
    end = time.monotonic() + WAIT_SECONDS
    while not condition() and time.monotonic() < end:
        time.sleep(0.01)
    return condition()


def test_a_burst_up_to_the_bound_is_answered_whole(port):
    sent = port.wait_for(MOST - REFUSING)
    port.release.set()
    assert [one.getresponse().read() for one in sent] == [b"whole"] * len(sent)


def test_beyond_the_bound_callers_are_refused_at_once(port):
    # Callers saw nothing at all: every thread carried a stream, their requests lay
    # unread in the queue, and they left without knowing whether they had run.
    sent = port.wait_for(MOST - REFUSING)
    assert [port.ask() for _ in range(20)] == [503] * 20
    port.release.set()
    assert [one.getresponse().status for one in sent] == [200] * len(sent)
    assert until(lambda: not port.server.crowded)
    assert port.ask() == 200


def test_a_port_that_has_just_started_is_not_crowded(monkeypatch):
    """Guards against refusals by a port whose threads have not begun to wait yet."""
    held = threading.Event()
    begin = request_threads.RequestThreads._next_connection

    def begin_late(threads):
        held.wait(WAIT_SECONDS)
        return begin(threads)

    monkeypatch.setattr(request_threads.RequestThreads, "_next_connection", begin_late)
    port = Port(most=3)
    assert not port.server.crowded
    held.set()
    assert port.ask() == 200
    port.server.stop()


def test_idle_threads_end(port, monkeypatch):
    monkeypatch.setattr(request_threads, "IDLE_SECONDS", 0.05)
    sent = port.wait_for(MOST - REFUSING)
    port.release.set()
    assert [one.getresponse().status for one in sent] == [200] * len(sent)
    # One more is the thread that accepts connections.
    assert until(lambda: threads() <= 3)
    assert port.ask() == 200


def test_a_port_without_room_for_a_thread_goes_on(port, monkeypatch):
    # The machine had no thread left: the error ended the port's accept loop, and the
    # instance answered nobody any more while it still counted as ready.
    held = port.wait_for(2)

    def refuse(_thread):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(request_threads.WorkerThread, "start", refuse)
    waiting = port.send("/now")
    port.release.set()
    assert [one.getresponse().status for one in held] == [200, 200]
    assert waiting.getresponse().status == 200


def test_stop_answers_what_waits_for_a_thread():
    port = Port(most=3)
    open_ = port.wait_for(1)
    threading.Timer(0.2, port.release.set).start()
    port.server.stop(WAIT_SECONDS)
    assert open_[0].getresponse().status == 200
