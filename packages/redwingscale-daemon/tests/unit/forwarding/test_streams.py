"""Streams arrive in order and without gaps, and look complete only if they are."""

import threading
import time

from redwingscale_daemon._internal.forwarding import answer_stream

from .conftest import breaks, events, head, not_run, read_response, sized


def numbers(response):
    lines = response.body.decode().splitlines()
    return [int(line.split(": ")[1]) for line in lines if line.startswith("id: ")]


def test_events_pass_in_order(world):
    world.add("llm", events(1, 2, 3))
    response = world.request("/stream/", model="m")
    assert (response.status, numbers(response), response.whole) == (200, [1, 2, 3], True)
    assert world.log[0].header("X-Redwingscale-Request-Priority") == "2"


def test_stream_continues_at_another_upstream(world):
    # The first upstream crashes in the middle of an event. The partial event must not reach
    # the caller, and the second upstream resumes after the last complete one.
    world.add("llm", events(1, 2, then="inside"))
    world.add("llm", events(3, 4))
    response = world.request("/stream/", model="m")
    assert (numbers(response), response.whole) == ([1, 2, 3, 4], True)
    assert b"hal" not in response.body
    assert world.log[1].header("Last-Event-Id") == "2"


def test_repeated_events_are_dropped(world):
    world.add("llm", events(1, 2, then="break"))
    world.add("llm", events(1, 2, 3))
    assert numbers(world.request("/stream/", model="m")) == [1, 2, 3]


def test_gap_is_never_passed_on(world):
    world.add("llm", events(1, 2, then="break"))
    world.add("llm", events(4, 5))
    response = world.request("/stream/", model="m")
    assert (numbers(response), response.whole) == ([1, 2], False)


def test_stream_that_may_not_be_repeated_is_cut(world):
    # A stream that cannot be resumed breaks off. Sent again it would run twice, and ended
    # properly it would look complete.
    world.add("llm", events(1, 2, then="break"))
    world.add("llm", events(3))
    response = world.request("/single/", model="m")
    assert (numbers(response), response.whole) == ([1, 2], False)
    assert len(world.log) == 1


def test_silent_stream_continues_elsewhere(world, monkeypatch):
    # The connection to the upstream goes silent without a reset, which only a bound on
    # the silence detects.
    monkeypatch.setattr(answer_stream, "STREAM_SILENCE_SECONDS", 0.2)
    world.add("llm", events(1, then="silent"))
    world.add("llm", events(2))
    assert numbers(world.request("/stream/", model="m")) == [1, 2]


def test_caller_that_resumes_gets_the_rest(world):
    world.add("llm", events(6, 7))
    response = world.request("/stream/", model="m", headers=("Last-Event-Id: 5",))
    assert numbers(response) == [6, 7]
    assert world.log[0].header("Last-Event-Id") == "5"


def test_failure_of_an_upstream_is_passed_on_unchanged(world):
    world.add("llm", sized(b"no", "400 Bad"))
    response = world.request("/stream/", model="m")
    assert (response.status, response.body) == (400, b"no")


def test_upstream_that_crashes_before_the_first_event_is_not_noticed_by_the_caller(world):
    world.add("llm", breaks)
    world.add("llm", events(1))
    assert numbers(world.request("/stream/", model="m")) == [1]


def test_stream_that_no_upstream_has_run_is_refused_as_not_run(world):
    world.add("llm", not_run)
    response = world.request("/single/", model="m")
    assert (response.status, "Retry-After" in response.headers) == (503, True)


def test_request_waits_until_its_model_is_resident(world):
    world.add("llm", events(1))
    caller = world.send("/stream/", model="late")

    def make_resident():
        time.sleep(0.2)
        world.residency.replace({"u0": {"late": frozenset()}}, {})
        world.changes.notify()

    threading.Thread(target=make_resident).start()
    assert numbers(read_response(caller)) == [1]
    assert world.local_demand.drain()[0].waiting == 0


def test_request_that_cannot_be_served_in_time_is_refused_at_once(world):
    # The model is being loaded, but will be resident only after the caller's deadline. A
    # wait until then would only keep the caller from trying another instance.
    world.add("llm", events(1))
    world.residency.replace({"u0": {"m": frozenset()}}, {"late": 60.0})
    started = time.monotonic()
    response = world.request("/stream/", model="late")
    assert response.status == 503
    assert float(response.headers["Retry-After"]) > 50
    assert time.monotonic() - started < 2.0


def test_load_is_released_after_a_failed_stream(world):
    world.add("llm", events(1, then="break"))
    world.request("/single/", model="m")
    assert world.load_tracker.own() == {}


def test_waiting_request_is_refused_before_the_process_ends(world):
    # An instance is stopped while a request waits for a model. At the end of the grace
    # period its connection would be closed without a response, and the caller could not
    # know that the request has not run.
    world.add("llm", events(1))
    caller = world.send("/stream/", model="late")
    world.open_requests.drain(time.monotonic(), time.monotonic() + 1.0)
    response = read_response(caller)
    assert (response.status, "Retry-After" in response.headers) == (503, True)


def test_request_that_may_have_run_is_never_refused_as_not_run(world):
    # The only holder crashes after it accepted the request, and there is no other one. A
    # refusal would promise that the request has not run, which is unknown.
    world.add("llm", breaks)
    response = world.request("/brief-stream/", model="m")
    assert response.status == 502
    assert "Retry-After" not in response.headers


def test_wait_in_mid_stream_counts_from_the_last_event(world):
    # A stream loses its upstream after more time than callers wait for the first event.
    # The time that they wait for the next event counts from the last one.
    world.add("llm", events(*range(1, 6), then="break", gap=0.8))
    caller = world.send("/long/", model="m")
    time.sleep(3.6)
    world.residency.replace({"u0": {}}, {})
    time.sleep(0.8)
    world.add("llm", events(6, 7), models=())
    world.residency.replace({"u1": {"m": frozenset()}}, {})
    world.changes.notify()
    response = read_response(caller)
    assert (numbers(response), response.whole) == ([1, 2, 3, 4, 5, 6, 7], True)


def test_large_request_is_not_refused_for_its_own_size(world):
    # Guards against refusing the largest prompts most often under load, which happens if
    # the time to read a request's own prompt counts as queue: no retry and no other
    # upstream makes that time shorter.
    world.add("llm", events(1))
    assert world.request("/stream/", model="m", tokens="40000,10").status == 200
    ticket = world.load_tracker.open_ticket("u0", None, 40_000)
    small = world.request("/stream/", model="m")
    assert (small.status, b"overloaded" in small.body) == (503, True)
    ticket.close()


def test_upstream_that_lacks_the_model_is_reported_to_the_leader(world):
    # The leader believes that the model is resident there, and would plan no load for it.
    def misdirected(connection, received):
        connection.sendall(head(received, "421 Misdirected", "Content-Length: 0", signed=False))

    world.add("llm", misdirected)
    world.add("llm", events(1))
    assert numbers(world.request("/stream/", model="m")) == [1]
    assert world.outcomes.drain_misdirected() == ["u0"]
