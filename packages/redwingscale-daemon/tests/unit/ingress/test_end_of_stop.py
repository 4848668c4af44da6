"""When a planned stop ends the connections that are still open, and closes the ports."""

import http.client
import signal
import threading
import time

import pytest
from redwingscale_daemon._internal.ingress.ingress_server import IngressServer, PortLimits
from redwingscale_daemon._internal.lifecycle import ingress_instance
from redwingscale_daemon._internal.lifecycle.ingress_instance import IngressInstance, IngressParts
from redwingscale_daemon._internal.lifecycle.open_requests import OpenRequests

WAIT_SECONDS = 8.0
GRACE_SECONDS = 0.8
STEP_SECONDS = 3600.0
THREADS = 12


class Port:
    """Requests for /hang are open until ``release``, others until their connection is ended."""

    def __init__(self):
        self.release = threading.Event()
        self.arrived = threading.Semaphore(0)
        self.ended = threading.Semaphore(0)
        limits = PortLimits(THREADS, 8 << 10, 8 << 10, 20, 2)
        self.server = IngressServer(self.handle, "127.0.0.1", 0, limits)
        self.server.start()

    def handle(self, request, reply):
        self.arrived.release()
        if request.target == "/hang":
            self.release.wait(WAIT_SECONDS)
        else:
            wait_for(lambda: request.connection.ended)
            if request.connection.ended:
                self.ended.release()
        reply.send(200, (), b"ended" if request.connection.ended else b"whole")

    def open(self, target, count):
        sent = []
        for _ in range(count):
            sent.append(
                http.client.HTTPConnection("127.0.0.1", self.server.port, timeout=WAIT_SECONDS)
            )
            sent[-1].request("GET", target)
            assert self.arrived.acquire(timeout=WAIT_SECONDS)
        return sent

    def stop(self, seconds):
        thread = threading.Thread(target=self.server.stop, args=(seconds,), daemon=True)
        thread.start()
        return thread


def wait_for(condition):
    end = time.monotonic() + WAIT_SECONDS
    while not condition() and time.monotonic() < end:
        time.sleep(0.01)


@pytest.fixture
def port():
    made = Port()
    yield made
    made.release.set()
    made.server.stop()


def test_all_connections_are_ended_although_one_thread_does_not_end(port):
    """Guards against connections that are ended one after the other, each when its turn comes.

    The process is killed then while callers could still have got an answer.
    """
    # As many as the threads that a port starts with, which are waited for first.
    port.open("/hang", 2)
    others = port.open("/", 4)
    stop = port.stop(0.3)
    assert all(port.ended.acquire(timeout=WAIT_SECONDS / 2) for _ in others)
    assert [one.getresponse().read() for one in others] == [b"ended"] * 4
    stop.join(WAIT_SECONDS / 2)
    assert not stop.is_alive()
    assert not port.release.is_set()


def test_connection_that_gets_no_thread_is_closed_as_the_port_closes(port):
    """Guards against a caller that waits until the process ends for a request that is not read."""
    port.open("/hang", THREADS)
    waiting = http.client.HTTPConnection("127.0.0.1", port.server.port, timeout=WAIT_SECONDS / 2)
    waiting.request("GET", "/")
    wait_for(lambda: port.server._threads.qsize)
    port.stop(WAIT_SECONDS)
    with pytest.raises(ConnectionError):
        waiting.getresponse()
    assert not port.release.is_set()


@pytest.fixture
def stepping_clock(monkeypatch):
    """Make each look at the time of day a step after the one before."""

    def begin(step):
        now, shift = time.time, iter(range(1, 1 << 30))
        monkeypatch.setattr(time, "time", lambda: now() + step * next(shift))

    return begin


def test_clock_that_steps_forward_does_not_end_requests_early(port, stepping_clock):
    """Guards against a grace period by the time of day, which a step of it shortens."""
    sent = port.open("/hang", 1)
    stepping_clock(STEP_SECONDS)
    port.stop(WAIT_SECONDS)
    wait_for(lambda: port.server._threads._stopping)
    threading.Timer(0.3, port.release.set).start()
    assert sent[0].getresponse().read() == b"whole"


def test_clock_that_steps_back_does_not_keep_requests_open(port, stepping_clock):
    """Guards against a grace period that a step back prolongs: the process would be killed."""
    port.open("/", 1)
    stepping_clock(-STEP_SECONDS)
    port.stop(0.3)
    assert port.ended.acquire(timeout=WAIT_SECONDS / 2)


class Signals:
    """A queue in which SIGTERM has come."""

    def __init__(self, _numbers):
        pass

    def next(self):
        return signal.SIGTERM


class FakePort:
    """Notes when it is stopped, and stops only together with ``both``."""

    port = 1

    def __init__(self, both):
        self.stopped_at, self._both = None, both

    def start(self):
        pass

    def stop(self, timeout_seconds=1.0):
        self._both.wait(WAIT_SECONDS / 2)
        self.stopped_at = time.monotonic()


def run_instance(monkeypatch, release, parties):
    """Run an instance until it has stopped, and return its two ports."""
    monkeypatch.setattr(ingress_instance, "SignalQueue", Signals)
    monkeypatch.setattr(ingress_instance, "BALANCER_REMOVAL_SECONDS", 0.1)
    both = threading.Barrier(parties)
    callers, peers = FakePort(both), FakePort(both)
    parts = IngressParts(callers, peers, (), (), OpenRequests(), release)
    run = threading.Thread(
        target=IngressInstance(parts, GRACE_SECONDS, lambda: None).run, daemon=True
    )
    run.start()
    run.join(WAIT_SECONDS / 2)
    assert not run.is_alive()
    return callers, peers


def test_store_that_does_not_answer_the_release_keeps_no_port_open(monkeypatch):
    """Guards against a stop whose times begin only once the store has answered."""
    answer = threading.Event()
    ports = run_instance(monkeypatch, lambda: answer.wait(WAIT_SECONDS), parties=1)
    assert not answer.is_set()
    assert [one.stopped_at is not None for one in ports] == [True, True]
    answer.set()


def test_ports_of_callers_and_peers_close_together(monkeypatch):
    """Guards against peers that send requests until the last caller's request has ended."""
    callers, peers = run_instance(monkeypatch, lambda: None, parties=2)
    assert callers.stopped_at is not None
    assert peers.stopped_at is not None
