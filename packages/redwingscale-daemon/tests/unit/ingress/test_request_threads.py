"""The threads of a port follow its load, up to a bound."""

import http.client
import threading
import time

import pytest
from redwingscale_daemon._internal.ingress import request_threads
from redwingscale_daemon._internal.ingress.ingress_server import IngressServer, PortLimits

MOST, REFUSING = 8, 2
WAIT_SECONDS = 5.0


class Port:
    """A port: requests for /wait are open until ``release``, /now is answered at once."""

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

    def open_requests(self, count):
        """Return connections whose requests were all read and are still open."""
        sent = [self.send("/wait") for _ in range(count)]
        assert all(self.arrived.acquire(timeout=WAIT_SECONDS) for _ in range(count))
        return sent

    def request_status(self):
        return self.send("/now").getresponse().status


@pytest.fixture
def port():
    made = Port()
    yield made
    made.release.set()
    made.server.stop()


def count_threads():
    return sum(1 for thread in threading.enumerate() if thread.name.startswith("test-"))


def wait_until(condition):
    end = time.monotonic() + WAIT_SECONDS
    while not condition() and time.monotonic() < end:
        time.sleep(0.01)
    return condition()


def test_burst_up_to_the_bound_is_answered(port):
    sent = port.open_requests(MOST - REFUSING)
    port.release.set()
    assert [one.getresponse().read() for one in sent] == [b"whole"] * len(sent)


def test_requests_beyond_the_bound_are_refused_at_once(port):
    """Guards against requests that stay unread in the queue while all threads serve streams.

    Their callers time out without knowing whether the request has run.
    """
    sent = port.open_requests(MOST - REFUSING)
    assert [port.request_status() for _ in range(20)] == [503] * 20
    port.release.set()
    assert [one.getresponse().status for one in sent] == [200] * len(sent)
    # A thread serves its connection until some time after its caller has the answer.
    assert wait_until(lambda: not port.server._threads.busy)
    assert not port.server.crowded
    assert port.request_status() == 200


def test_port_that_has_just_started_is_not_crowded(monkeypatch):
    """Guards against refusals by a port whose threads do not wait for connections yet."""
    release = threading.Event()
    begin = request_threads.RequestThreads._next_connection

    def begin_late(threads):
        release.wait(WAIT_SECONDS)
        return begin(threads)

    monkeypatch.setattr(request_threads.RequestThreads, "_next_connection", begin_late)
    port = Port(most=3)
    assert not port.server.crowded
    release.set()
    assert port.request_status() == 200
    port.server.stop()


def test_idle_threads_end(port, monkeypatch):
    monkeypatch.setattr(request_threads, "IDLE_SECONDS", 0.05)
    sent = port.open_requests(MOST - REFUSING)
    port.release.set()
    assert [one.getresponse().status for one in sent] == [200] * len(sent)
    # Two of the pool, and the thread that accepts connections.
    assert wait_until(lambda: count_threads() <= 3)
    assert port.request_status() == 200


def test_port_that_cannot_start_a_thread_keeps_serving(port, monkeypatch):
    """Guards against an accept loop that ends when the machine has no thread left.

    The instance would answer no request and still report that it is ready.
    """
    sent = port.open_requests(2)

    def refuse(_thread):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(request_threads.WorkerThread, "start", refuse)
    waiting = port.send("/now")
    port.release.set()
    assert [one.getresponse().status for one in sent] == [200, 200]
    assert waiting.getresponse().status == 200


def test_stop_answers_open_requests():
    port = Port(most=3)
    open_ = port.open_requests(1)
    threading.Timer(0.2, port.release.set).start()
    port.server.stop(WAIT_SECONDS)
    assert open_[0].getresponse().status == 200
