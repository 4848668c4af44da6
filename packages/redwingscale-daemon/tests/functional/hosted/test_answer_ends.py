"""Answers that were written whole reach callers that take a while to read them."""

import signal
import time

import pytest
from redwingscale_standins.hosted.model_worker import WorkerTiming
from redwingscale_standins.hosted.raw_caller import RawCaller, stream_request
from redwingscale_standins.hosted.waiting import until

EVENTS = 1500
# Most of the answer waits at the instance while the caller does not read.
CALLER_BUFFER_BYTES = 8192
NEXT_REQUEST = stream_request("next", 3)
SENT_NEXT = {"nothing": b"", "part": NEXT_REQUEST[:60], "whole": NEXT_REQUEST}
PAUSE_SECONDS = 1.5
PATH_DELAY_SECONDS = 1.0


@pytest.fixture
def instance(deployment):
    deployment.worker("w1", "m1", timing=WorkerTiming(gap=0.0002))
    made = deployment.instance("one")
    assert made.request_stream() == (200, [1, 2, 3])
    return made


def begin_draining(instance):
    instance.process.send_signal(signal.SIGTERM)
    until(lambda: b"event=draining" in instance.log.read_bytes(), "the drain")


def ended(instance, request):
    name = f"event=request_ended instance={instance.name} request={request} "
    return name.encode() in instance.log.read_bytes()


@pytest.mark.parametrize("sent_next", SENT_NEXT)
def test_end_reaches_a_caller_that_reads_late(instance, sent_next):
    """Guards against a close that resets the connection while the end is still to be sent."""
    begin_draining(instance)
    caller = RawCaller(instance.ports[0], CALLER_BUFFER_BYTES)
    caller.send(stream_request("first", EVENTS))
    assert caller.socket.recv(1)
    caller.send(SENT_NEXT[sent_next])
    until(lambda: ended(instance, "first"), "the end of the answer at the instance")
    time.sleep(PAUSE_SECONDS)
    answer = caller.read_answer()
    caller.close()
    assert (answer.whole, answer.ids, answer.error) == (True, [*range(1, EVENTS + 1)], "")


def test_end_reaches_a_caller_that_sends_on_after_the_close(instance):
    """Guards against a reset for bytes that arrive after the close, before the end was sent."""
    begin_draining(instance)
    caller = RawCaller(instance.ports[0], CALLER_BUFFER_BYTES)
    caller.send(stream_request("first", EVENTS))
    assert caller.socket.recv(1)
    until(lambda: ended(instance, "first"), "the end of the answer at the instance")
    time.sleep(PAUSE_SECONDS / 2)
    caller.send(NEXT_REQUEST)
    time.sleep(PAUSE_SECONDS / 2)
    answer = caller.read_answer()
    caller.close()
    assert (answer.whole, answer.ids, answer.error) == (True, [*range(1, EVENTS + 1)], "")


@pytest.mark.parametrize("drains", [False, True])
@pytest.mark.parametrize("sent_next", SENT_NEXT)
def test_end_reaches_a_caller_on_a_delayed_path(deployment, instance, sent_next, drains):
    """Guards against a close that does not wait for bytes which are on a slow path."""
    if drains:
        begin_draining(instance)
    port = deployment.link(instance.ports[0])
    deployment.links[-1].delay_seconds = PATH_DELAY_SECONDS
    caller = RawCaller(port)
    caller.send(stream_request("first", EVENTS))
    assert caller.socket.recv(1)
    caller.send(SENT_NEXT[sent_next])
    answer = caller.read_answer()
    caller.close()
    assert answer.whole
    assert answer.ids[:EVENTS] == [*range(1, EVENTS + 1)]


def test_refusal_of_an_unread_body_reaches_a_caller_that_sends_on(instance):
    """Guards against a reset that overtakes the refusal of a request with an unread body."""
    caller = RawCaller(instance.ports[0])
    head = stream_request("large", 1).replace(b"Length: 0", b"Length: 900000000")
    caller.send(head + b"x" * 100_000)
    time.sleep(PAUSE_SECONDS / 2)
    assert caller.socket.recv(65536).startswith(b"HTTP/1.1 413 ")
    caller.close()
