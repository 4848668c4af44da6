"""Requests behind upstreams that say in their answers that they leave or reject."""

import threading
import time

import pytest

from .conftest import events, head, sized

RETRY_SECONDS = 0.6
LONG_RETRY_SECONDS = 30.0
PATHS = [("/safe/", None, "plain"), ("/stream/", "m", "llm")]
KINDS = pytest.mark.parametrize(("path", "model", "service"), PATHS, ids=["plain", "model"])


def saying(*lines, status="200 OK", signed=True):
    """A script: a whole answer with these header lines; a stream of one event."""

    def script(connection, received):
        body = b"id: 1\ndata: token\n\n" if signed else b""
        lengths = (f"Content-Length: {len(body)}", *lines)
        connection.sendall(head(received, status, *lengths, signed=signed) + body)

    return script


def rejecting(seconds):
    return saying(
        "X-Redwingscale-Not-Executed: 1",
        f"Retry-After: {seconds}",
        status="503 Full",
        signed=False,
    )


def sound(service):
    return sized(b"ok") if service == "plain" else events(1, 2)


def reached(world):
    return [received.upstream for received in world.log]


@KINDS
def test_leaving_upstream_gets_no_request_after_an_answer_that_says_so(world, path, model, service):
    # Guards against requests that are lost with an upstream whose leaving only its answers tell.
    world.add(service, saying("Server-Leaving: 1"))
    assert world.ask(path, model=model).headers["Server-Leaving"] == "1"
    world.add(service, sound(service))
    assert [world.ask(path, model=model).status for _ in range(5)] == [200] * 5
    assert reached(world) == ["u0"] + ["u1"] * 5


@KINDS
def test_failure_of_a_leaving_upstream_says_that_it_leaves(world, path, model, service):
    # Guards against leaving that is read from answers of success only.
    world.add(service, saying("Server-Leaving: 1", status="404 Not Found"))
    world.ask(path, model=model)
    world.add(service, sound(service))
    assert world.ask(path, model=model).status == 200
    assert reached(world)[1:] == ["u1"]


@pytest.mark.parametrize("value", ["0", "yes", ""])
def test_malformed_leaving_is_none(world, value):
    # Guards against a header that takes an upstream out of use for ever.
    world.add("plain", saying(f"Server-Leaving: {value}"))
    assert [world.ask("/safe/").status for _ in range(3)] == [200] * 3


@KINDS
def test_rejecting_upstream_gets_no_request_before_its_retry_time(world, path, model, service):
    # Guards against repeats that pile up at an upstream that has asked for a pause.
    world.add(service, rejecting(LONG_RETRY_SECONDS))
    world.add(service, sound(service))
    assert [world.ask(path, model=model).status for _ in range(6)] == [200] * 6
    assert reached(world).count("u0") <= 1


@KINDS
def test_rejecting_upstream_is_asked_again_after_its_retry_time(world, path, model, service):
    # Guards against an upstream that is never used again.
    world.add(service, rejecting(RETRY_SECONDS), sound(service))
    world.ask(path, model=model)
    time.sleep(RETRY_SECONDS)
    assert world.ask(path, model=model).status == 200
    assert reached(world)[1:]
    assert set(reached(world)) == {"u0"}


@KINDS
def test_request_without_another_upstream_waits_for_the_retry_time(world, path, model, service):
    # Guards against callers that are refused although their upstream takes them again in time.
    world.add(service, rejecting(RETRY_SECONDS), sound(service))
    begun = time.monotonic()
    answers = [world.ask(path, model=model) for _ in range(2)]
    assert [one.status for one in answers] == [200, 200]
    assert time.monotonic() - begun > RETRY_SECONDS / 2
    assert reached(world) == ["u0"] * 3


@KINDS
def test_request_that_cannot_wait_for_the_retry_time_is_refused_at_once(
    world, path, model, service
):
    # Guards against callers that are held until their deadline and then refused.
    world.add(service, rejecting(LONG_RETRY_SECONDS))
    world.ask(path, model=model)
    begun = time.monotonic()
    answer = world.ask(path, model=model)
    assert answer.status == 503
    # Another upstream may hold a model by then.
    soonest, latest = (LONG_RETRY_SECONDS / 2, LONG_RETRY_SECONDS) if model is None else (1.0, 5.0)
    assert soonest < float(answer.headers["Retry-After"]) <= latest
    assert time.monotonic() - begun < LONG_RETRY_SECONDS / 10
    assert reached(world) == ["u0"]


def test_rejected_request_comes_back_no_sooner_than_all_of_its_upstreams_take_it(world):
    # Guards against callers that are told to come back before anything can serve them.
    world.add("plain", rejecting(LONG_RETRY_SECONDS))
    answer = world.ask("/safe/")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > LONG_RETRY_SECONDS / 2


def test_retry_time_of_nothing_sends_the_request_no_second_time_to_the_upstream(world):
    # Guards against a full upstream that gets each request as often as an instance may send it.
    world.add("plain", rejecting(0))
    assert world.ask("/safe/").status == 503
    assert reached(world) == ["u0"]


@pytest.mark.parametrize("value", ["soon", "-1", "nan", "inf"])
def test_malformed_retry_time_is_none(world, value):
    # Guards against a header that takes an upstream out of use for ever.
    world.add("plain", rejecting(value), sized(b"ok"))
    world.ask("/safe/")
    begun = time.monotonic()
    assert world.ask("/safe/").status == 200
    assert time.monotonic() - begun < LONG_RETRY_SECONDS / 10


def test_later_and_shorter_retry_time_does_not_end_an_earlier_one(world):
    # Guards against two rejections of which the second one lets requests through again.
    both = threading.Barrier(2)

    def rejects_together(seconds):
        def script(connection, received):
            both.wait(5.0)
            return rejecting(seconds)(connection, received)

        return script

    world.add("plain", rejects_together(LONG_RETRY_SECONDS), rejects_together(0.1), sized(b"ok"))
    callers = [threading.Thread(target=world.ask, args=("/safe/",)) for _ in range(2)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    time.sleep(0.2)
    assert world.ask("/safe/").status == 503
    assert len(world.log) == 2


def test_notices_of_another_process_at_the_address_are_not_taken(world):
    # Guards against an upstream that pays for what its successor at the address says.
    other = ("X-Redwingscale-Instance-Id: other", "Server-Leaving: 1")
    world.add("plain", saying(*other, status="421 Misdirected", signed=False))
    world.ask("/safe/")
    assert world.backpressure.state("u0").leaving_seconds is None
