"""Requests for upstreams whose responses say that they are leaving or reject requests."""

import threading
import time

import pytest

from .conftest import events, head, sized

RETRY_SECONDS = 0.6
LONG_RETRY_SECONDS = 30.0
PATHS = [("/safe/", None, "plain"), ("/stream/", "m", "llm")]
KINDS = pytest.mark.parametrize(("path", "model", "service"), PATHS, ids=["plain", "model"])


def responding_with(*lines, status="200 OK", signed=True):
    """Return a script that sends a complete response with these header lines.

    A signed one has a stream of one event as its body.
    """

    def script(connection, received):
        body = b"id: 1\ndata: token\n\n" if signed else b""
        lengths = (f"Content-Length: {len(body)}", *lines)
        connection.sendall(head(received, status, *lengths, signed=signed) + body)

    return script


def rejecting(seconds):
    return responding_with(
        "X-Redwingscale-Not-Executed: 1",
        f"Retry-After: {seconds}",
        status="503 Full",
        signed=False,
    )


def healthy(service):
    return sized(b"ok") if service == "plain" else events(1, 2)


def reached(world):
    return [received.upstream for received in world.log]


@KINDS
def test_leaving_upstream_gets_no_request_after_its_response_says_so(world, path, model, service):
    # Guards against requests that are lost with an upstream that announces only in its
    # responses that it is leaving.
    world.add(service, responding_with("Server-Leaving: 1"))
    assert world.request(path, model=model).headers["Server-Leaving"] == "1"
    world.add(service, healthy(service))
    assert [world.request(path, model=model).status for _ in range(5)] == [200] * 5
    assert reached(world) == ["u0"] + ["u1"] * 5


@KINDS
def test_leaving_state_is_read_from_failure_responses(world, path, model, service):
    # Guards against a leaving state that is read from successful responses only.
    world.add(service, responding_with("Server-Leaving: 1", status="404 Not Found"))
    world.request(path, model=model)
    world.add(service, healthy(service))
    assert world.request(path, model=model).status == 200
    assert reached(world)[1:] == ["u1"]


@pytest.mark.parametrize("value", ["0", "yes", ""])
def test_malformed_leaving_state_is_ignored(world, value):
    # Guards against a header that takes an upstream out of use forever.
    world.add("plain", responding_with(f"Server-Leaving: {value}"))
    assert [world.request("/safe/").status for _ in range(3)] == [200] * 3


@KINDS
def test_rejecting_upstream_gets_no_request_before_its_retry_time(world, path, model, service):
    # Guards against retries that pile up at an upstream that named a retry time.
    world.add(service, rejecting(LONG_RETRY_SECONDS))
    world.add(service, healthy(service))
    assert [world.request(path, model=model).status for _ in range(6)] == [200] * 6
    assert reached(world).count("u0") <= 1


@KINDS
def test_rejecting_upstream_gets_requests_again_after_its_retry_time(world, path, model, service):
    # Guards against an upstream that is never used again.
    world.add(service, rejecting(RETRY_SECONDS), healthy(service))
    world.request(path, model=model)
    time.sleep(RETRY_SECONDS)
    assert world.request(path, model=model).status == 200
    assert reached(world)[1:]
    assert set(reached(world)) == {"u0"}


@KINDS
def test_request_without_another_upstream_waits_for_the_retry_time(world, path, model, service):
    # Guards against refusing requests that their upstream accepts again in time.
    world.add(service, rejecting(RETRY_SECONDS), healthy(service))
    started = time.monotonic()
    responses = [world.request(path, model=model) for _ in range(2)]
    assert [one.status for one in responses] == [200, 200]
    assert time.monotonic() - started > RETRY_SECONDS / 2
    assert reached(world) == ["u0"] * 3


@KINDS
def test_request_that_cannot_wait_for_the_retry_time_is_refused_at_once(
    world, path, model, service
):
    # Guards against requests that wait until their deadline and are then refused.
    world.add(service, rejecting(LONG_RETRY_SECONDS))
    world.request(path, model=model)
    started = time.monotonic()
    response = world.request(path, model=model)
    assert response.status == 503
    # A model may be resident at another upstream before that.
    soonest, latest = (LONG_RETRY_SECONDS / 2, LONG_RETRY_SECONDS) if model is None else (1.0, 5.0)
    assert soonest < float(response.headers["Retry-After"]) <= latest
    assert time.monotonic() - started < LONG_RETRY_SECONDS / 10
    assert reached(world) == ["u0"]


def test_refusal_names_a_retry_time_at_which_an_upstream_accepts_requests(world):
    # Guards against a retry time at which no upstream can serve the caller.
    world.add("plain", rejecting(LONG_RETRY_SECONDS))
    response = world.request("/safe/")
    assert response.status == 503
    assert float(response.headers["Retry-After"]) > LONG_RETRY_SECONDS / 2


def test_retry_time_of_zero_sends_no_second_request_to_the_upstream(world):
    # Guards against a full upstream that receives each request up to the maximum of attempts.
    world.add("plain", rejecting(0))
    assert world.request("/safe/").status == 503
    assert reached(world) == ["u0"]


@pytest.mark.parametrize("value", ["soon", "-1", "nan", "inf"])
def test_malformed_retry_time_is_ignored(world, value):
    # Guards against a header that takes an upstream out of use forever.
    world.add("plain", rejecting(value), sized(b"ok"))
    world.request("/safe/")
    started = time.monotonic()
    assert world.request("/safe/").status == 200
    assert time.monotonic() - started < LONG_RETRY_SECONDS / 10


def test_shorter_retry_time_does_not_replace_a_longer_one(world):
    # Guards against two rejections of which the second, shorter one ends the first.
    both = threading.Barrier(2)

    def rejects_together(seconds):
        def script(connection, received):
            both.wait(5.0)
            return rejecting(seconds)(connection, received)

        return script

    world.add("plain", rejects_together(LONG_RETRY_SECONDS), rejects_together(0.1), sized(b"ok"))
    callers = [threading.Thread(target=world.request, args=("/safe/",)) for _ in range(2)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    time.sleep(0.2)
    assert world.request("/safe/").status == 503
    assert len(world.log) == 2


def test_backpressure_of_another_process_at_the_address_is_ignored(world):
    # Guards against applying what a new process at the address says to the former upstream.
    other = ("X-Redwingscale-Instance-Id: other", "Server-Leaving: 1")
    world.add("plain", responding_with(*other, status="421 Misdirected", signed=False))
    world.request("/safe/")
    assert world.backpressure.state("u0").leaving_seconds is None
