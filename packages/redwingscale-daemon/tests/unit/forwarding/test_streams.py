"""Streams: in order, without a seam, and never whole unless they are."""

import threading
import time

from redwingscale_daemon._internal.forwarding import stream_relay

from .conftest import breaks, events, not_run, read_answer, sized


def numbers(answer):
    lines = answer.body.decode().splitlines()
    return [int(line.split(": ")[1]) for line in lines if line.startswith("id: ")]


def test_events_pass_in_order(world):
    world.add("llm", events(1, 2, 3))
    answer = world.ask("/stream/", model="m")
    assert (answer.status, numbers(answer), answer.whole) == (200, [1, 2, 3], True)
    assert world.log[0].header("X-Redwingscale-Request-Priority") == "2"


def test_stream_continues_at_another_upstream(world):
    # The first upstream dies in the middle of an event: what had come of it must
    # not reach the caller, and the second one goes on after the last whole one.
    world.add("llm", events(1, 2, then="inside"))
    world.add("llm", events(3, 4))
    answer = world.ask("/stream/", model="m")
    assert (numbers(answer), answer.whole) == ([1, 2, 3, 4], True)
    assert b"hal" not in answer.body
    assert world.log[1].header("Last-Event-Id") == "2"


def test_events_that_come_again_are_left_out(world):
    world.add("llm", events(1, 2, then="break"))
    world.add("llm", events(1, 2, 3))
    assert numbers(world.ask("/stream/", model="m")) == [1, 2, 3]


def test_gap_is_never_passed_on(world):
    world.add("llm", events(1, 2, then="break"))
    world.add("llm", events(4, 5))
    answer = world.ask("/stream/", model="m")
    assert (numbers(answer), answer.whole) == ([1, 2], False)


def test_stream_that_may_not_be_repeated_is_cut(world):
    # A stream without resumption is broken off: sent again it would run twice,
    # and ended properly it would look whole.
    world.add("llm", events(1, 2, then="break"))
    world.add("llm", events(3))
    answer = world.ask("/single/", model="m")
    assert (numbers(answer), answer.whole) == ([1, 2], False)
    assert len(world.log) == 1


def test_silent_stream_continues_elsewhere(world, monkeypatch):
    # The connection to the upstream goes silent without a reset; only a bound of
    # our own can notice it.
    monkeypatch.setattr(stream_relay, "STREAM_SILENCE_SECONDS", 0.2)
    world.add("llm", events(1, then="silent"))
    world.add("llm", events(2))
    assert numbers(world.ask("/stream/", model="m")) == [1, 2]


def test_caller_that_resumes_gets_the_rest(world):
    world.add("llm", events(6, 7))
    answer = world.ask("/stream/", model="m", headers=("Last-Event-Id: 5",))
    assert numbers(answer) == [6, 7]
    assert world.log[0].header("Last-Event-Id") == "5"


def test_failure_of_an_upstream_is_passed_on_unchanged(world):
    world.add("llm", sized(b"no", "400 Bad"))
    answer = world.ask("/stream/", model="m")
    assert (answer.status, answer.body) == (400, b"no")


def test_first_upstream_that_dies_before_an_event_leaves_no_trace(world):
    world.add("llm", breaks)
    world.add("llm", events(1))
    assert numbers(world.ask("/stream/", model="m")) == [1]


def test_stream_that_no_upstream_has_run_is_refused_as_not_run(world):
    world.add("llm", not_run)
    answer = world.ask("/single/", model="m")
    assert (answer.status, "Retry-After" in answer.headers) == (503, True)


def test_request_waits_for_a_model_that_comes(world):
    world.add("llm", events(1))
    caller = world.send("/stream/", model="late")

    def arrives():
        time.sleep(0.2)
        world.residency.replace({"u0": {"late": frozenset()}}, {})
        world.changes.notify()

    threading.Thread(target=arrives).start()
    assert numbers(read_answer(caller)) == [1]
    assert world.local_demand.drain()[0].waiting == 0


def test_request_that_cannot_be_served_in_time_is_refused_at_once(world):
    # The model is being loaded, but will be there after the caller's deadline: to
    # hold the request until then would only keep the caller from going elsewhere.
    world.add("llm", events(1))
    world.residency.replace({"u0": {"m": frozenset()}}, {"late": 60.0})
    started = time.monotonic()
    answer = world.ask("/stream/", model="late")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 50
    assert time.monotonic() - started < 2.0


def test_load_is_given_back(world):
    world.add("llm", events(1, then="break"))
    world.ask("/single/", model="m")
    assert world.load_tracker.own() == {}


def test_waiting_request_is_refused_before_the_process_ends(world):
    # An instance is told to stop while a request waits for a model. At the end of
    # the grace period its connection would be closed without a word, and the
    # caller could not know that the request has not run.
    world.add("llm", events(1))
    caller = world.send("/stream/", model="late")
    world.open_requests.drain(time.monotonic() + 1.0)
    answer = read_answer(caller)
    assert (answer.status, "Retry-After" in answer.headers) == (503, True)


def test_request_that_may_have_run_is_never_refused_as_not_run(world):
    # The only holder dies after it has taken the request, and no other one comes. A
    # refusal would promise that the request has not run, which nobody can know.
    world.add("llm", breaks)
    answer = world.ask("/brief-stream/", model="m")
    assert answer.status == 502
    assert "Retry-After" not in answer.headers


def test_wait_in_mid_stream_counts_from_the_last_event(world):
    # A long stream loses its upstream after more time than callers wait for a first
    # event: they have events, and wait for the next one as long again.
    world.add("llm", events(*range(1, 6), then="break", gap=0.8))
    caller = world.send("/long/", model="m")
    time.sleep(3.6)
    world.residency.replace({"u0": {}}, {})
    time.sleep(0.8)
    world.add("llm", events(6, 7), models=())
    world.residency.replace({"u1": {"m": frozenset()}}, {})
    world.changes.notify()
    answer = read_answer(caller)
    assert (numbers(answer), answer.whole) == ([1, 2, 3, 4, 5, 6, 7], True)


def test_large_request_is_not_refused_for_its_own_size(world):
    # Under load the largest prompts were refused more often than the others of
    # their kind: the time to read their own prompt counted as a queue, though no
    # other moment and no other upstream would make it shorter.
    world.add("llm", events(1))
    assert world.ask("/stream/", model="m", tokens="40000,10").status == 200
    ticket = world.load_tracker.open_ticket("u0", None, 40_000)
    small = world.ask("/stream/", model="m")
    assert (small.status, b"overloaded" in small.body) == (503, True)
    ticket.close()
