"""A silent stream that another upstream may go on with, while its own one stays connected."""

import contextlib
import socket
import threading
import time

import pytest
from redwingscale_daemon._internal.exceptions import UpstreamSilent
from redwingscale_daemon._internal.forwarding import answer_stream, stream_sender
from redwingscale_daemon._internal.forwarding.watch import Watch
from redwingscale_daemon._internal.ingress.byte_budget import ByteBudget, ByteLimits
from redwingscale_daemon._internal.leases.clock import lease_clock
from urllib3.exceptions import ConnectTimeoutError

from .conftest import WAIT_SECONDS, World, events, head, not_run, read_response, sized
from .test_bytes_held import send_slow, wait_until
from .test_silent_upstreams import after
from .test_streams import numbers

SILENCE_SECONDS = 0.2
ASK_SECONDS = 0.3


@pytest.fixture(autouse=True)
def short_silence(monkeypatch):
    monkeypatch.setattr(answer_stream, "STREAM_SILENCE_SECONDS", SILENCE_SECONDS)
    monkeypatch.setattr(stream_sender, "FIRST_EVENT_SILENCE_SECONDS", SILENCE_SECONDS)


class Pausing:
    """Script of a stream that pauses after its first event; tells when it was given up."""

    def __init__(self, pause, *numbers):
        self.given_up = threading.Event()
        self._pause, self._numbers = pause, numbers

    def __call__(self, connection, received):
        connection.sendall(head(received, "200 OK", "Transfer-Encoding: chunked"))
        for place, number in enumerate(self._numbers):
            if place == 1 and self._is_closed_within(connection):
                self.given_up.set()
                return False
            event = f"id: {number}\ndata: token{number}\n\n".encode()
            connection.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        connection.sendall(b"0\r\n\r\n")
        return True

    def _is_closed_within(self, connection):
        connection.settimeout(self._pause)
        try:
            return not connection.recv(1, socket.MSG_PEEK)
        except TimeoutError:
            connection.settimeout(None)
            return False
        except OSError:
            return True


def sendings(world):
    return [(one.upstream, one.header("Last-Event-Id")) for one in world.log]


def test_first_upstream_is_reset_when_the_second_one_goes_on(world):
    """Guards against a run that goes on at two upstreams."""
    first = Pausing(WAIT_SECONDS, 1, 2, 3)
    world.add("llm", first)
    world.add("llm", events(2, 3))
    response = world.request("/long/x", model="m")
    assert (numbers(response), response.whole) == ([1, 2, 3], True)
    assert first.given_up.wait(WAIT_SECONDS)
    assert sendings(world) == [("u0", None), ("u1", "1")]


def test_second_upstream_is_reset_when_the_first_one_goes_on(world):
    """Guards against an answer that is given up for a queue at another upstream."""
    second = Pausing(WAIT_SECONDS, 2, 3)
    world.add("llm", Pausing(ASK_SECONDS * 3, 1, 2, 3))
    world.add("llm", after(WAIT_SECONDS / 2, second))
    response = world.request("/long/x", model="m")
    assert (numbers(response), response.whole) == ([1, 2, 3], True)
    assert world.cuts == []


@pytest.mark.parametrize(
    "second", [not_run, sized(b"", "500 Failed"), events(then="break"), events(9)]
)
def test_silent_stream_is_kept_when_the_second_upstream_fails(world, second):
    """Guards against an answer that ends with the failure of an upstream that it does not need."""
    world.add("llm", Pausing(ASK_SECONDS * 3, 1, 2, 3))
    world.add("llm", second)
    response = world.request("/long/x", model="m")
    assert (numbers(response), response.whole) == ([1, 2, 3], True)


def test_silent_stream_without_a_second_upstream_is_kept(world):
    """Guards against an upstream that is given up with nothing to go on."""
    world.add("llm", Pausing(ASK_SECONDS * 3, 1, 2, 3))
    response = world.request("/long/x", model="m")
    assert (numbers(response), response.whole) == ([1, 2, 3], True)
    assert len(world.log) == 1


def test_upstream_that_is_slow_to_begin_is_kept_while_a_second_one_is_slower(world):
    """Guards against a request that is given up for a longer queue at another upstream."""
    world.add("llm", after(1.8, events(1, 2)))
    world.add("llm", after(WAIT_SECONDS, events(1, 2)))
    response = world.request("/long/x", model="m")
    assert (numbers(response), response.whole) == ([1, 2], True)


def test_request_without_an_answer_is_failed_when_nobody_can_go_on(world):
    """Guards against a caller that is kept from trying another instance."""
    world.add("llm", after(WAIT_SECONDS / 2, events(1, 2)))
    assert world.request("/long/x", model="m").status == 502
    assert world.cuts == []


def test_silent_first_upstream_that_breaks_leaves_the_stream_to_the_second(world):
    """Guards against a second upstream that is given up for the end of the first one."""
    begun = events(1, then="break")

    def breaks_while_silent(connection, received):
        begun(connection, received)
        time.sleep(ASK_SECONDS * 2)
        return False

    world.add("llm", breaks_while_silent)
    world.add("llm", after(ASK_SECONDS * 3, events(2, 3)))
    response = world.request("/long/x", model="m")
    assert (numbers(response), response.whole) == ([1, 2, 3], True)
    assert sendings(world) == [("u0", None), ("u1", "1")]


def test_second_upstream_that_is_slow_to_begin_is_kept_if_no_third_may_be_asked(world):
    """Guards against a stream left to a frozen upstream since the second one had a queue."""
    world.add("llm", Pausing(WAIT_SECONDS, 1, 2, 3))
    world.add("llm", after(1.6, events(2, 3)))
    response = world.request("/long/x", model="m")
    assert (numbers(response), response.whole) == ([1, 2, 3], True)


def test_stream_passed_on_to_a_peer_is_kept_while_the_peer_is_silent(world, monkeypatch):
    """Guards against a peer that is given up though it goes on."""
    monkeypatch.setattr(
        "redwingscale_daemon._internal.forwarding.peer_stream.PEER_STREAM_SILENCE_SECONDS",
        SILENCE_SECONDS,
    )
    world.add("llm", events(1))
    world.add_peer(Pausing(ASK_SECONDS * 3, 1, 2, 3))
    world.lose_path()
    response = world.request("/long/x", model="m")
    assert (numbers(response), response.whole) == ([1, 2, 3], True)


def test_bytes_that_came_before_the_silence_is_judged_count():
    """Guards against a thread without processor time that takes its own delay for a silence."""
    (caller, _caller_end), (upstream, far) = socket.socketpair(), socket.socketpair()
    watch = Watch(caller, lease_clock() + WAIT_SECONDS)

    def delayed(began_at):
        far.sendall(b"x")
        time.sleep(1.0)
        return False

    watch.expect(0.8, None, delayed)
    watch.wait_until_readable(upstream)
    for one in (caller, _caller_end, upstream, far):
        one.close()


def test_silent_upstream_is_given_up_without_a_way_to_ask_another():
    """Guards against a wait without a bound where nothing decides about the silence."""
    (caller, _caller_end), (upstream, far) = socket.socketpair(), socket.socketpair()
    watch = Watch(caller, lease_clock() + WAIT_SECONDS)
    watch.expect(SILENCE_SECONDS)
    with pytest.raises(UpstreamSilent):
        watch.wait_until_readable(upstream)
    for one in (caller, _caller_end, upstream, far):
        one.close()


def test_upstream_that_goes_on_is_not_counted_as_failed(world):
    """Guards against other instances that avoid an upstream for a pause."""
    world.add("llm", Pausing(ASK_SECONDS * 3, 1, 2, 3))
    assert world.request("/long/x", model="m").whole
    wait_until(lambda: world.ended == ["answered"])
    assert world.outcomes.drain() == [("u0", 1, 0)]


def test_first_upstream_is_reset_while_its_caller_does_not_read():
    """Guards against two runs of a stream for as long as its caller stalls."""
    budget = ByteBudget(ByteLimits(8 << 20, 2 << 20))
    world = World(held=budget)
    world.start()
    given_up = threading.Event()
    burst = b"".join(b"id: %d\ndata: %s\n\n" % (one, b"x" * 1000) for one in range(1, 401))

    def falls_silent(connection, received):
        connection.sendall(head(received, "200 OK", "Transfer-Encoding: chunked"))
        connection.sendall(b"%x\r\n%s\r\n" % (len(burst), burst))
        time.sleep(SILENCE_SECONDS / 2)
        connection.sendall(b"11\r\nid: 401\ndata: x\n\n\r\n")
        connection.settimeout(WAIT_SECONDS)
        with contextlib.suppress(OSError):
            connection.recv(1)
        given_up.set()
        return False

    world.add("llm", falls_silent)
    world.add("llm", events(402, 403))
    caller = send_slow(world)
    wait_until(lambda: budget.held > len(burst) / 4)
    time.sleep(SILENCE_SECONDS)
    # Answers to other callers leave no room.
    budget.add_answer(8 << 20)
    wait_until(lambda: len(world.log) == 2)
    assert given_up.wait(SILENCE_SECONDS)
    caller.close()
    world.stop()


def test_upstreams_that_were_not_reached_leave_the_attempts_for_others(world):
    """Guards against an answer that ends with its upstream after connections that did not open."""
    world.add("llm", Pausing(ASK_SECONDS * 8, 1, 2, 3))
    for _ in range(3):
        world.add("llm", not_run).close()
    caller = world.send("/long/x", model="m")
    wait_until(lambda: len(world.health._unreachable_since) == 3)
    world.add("llm", events(2, 3))
    wait_until(lambda: len(world.log) == 2)
    response = read_response(caller)
    assert (numbers(response), response.whole) == ([1, 2, 3], True)


def test_slow_path_of_the_second_attempt_leaves_its_upstream_in_use(world, monkeypatch):
    """Guards against new requests that avoid upstreams for the short limit of second attempts."""

    def time_out(upstream, watch):
        raise ConnectTimeoutError from TimeoutError()

    monkeypatch.setattr(world.pool, "open_second", time_out)
    world.add("llm", Pausing(ASK_SECONDS * 3, 1, 2, 3))
    world.add("llm", events(2, 3))
    caller = world.send("/long/x", model="m")
    wait_until(lambda: world.health.is_avoided("u0"))
    time.sleep(ASK_SECONDS / 3)
    unreachable = world.health.is_unreachable("u1")
    response = read_response(caller)
    assert (numbers(response), response.whole, unreachable) == ([1, 2, 3], True, False)
