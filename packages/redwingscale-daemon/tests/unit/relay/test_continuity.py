"""Answers that outlive their engine, and the bounds of what is tried for them."""

import signal
import threading
from concurrent.futures import ThreadPoolExecutor
from itertools import islice

import pytest
from opentelemetry.trace import INVALID_SPAN
from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.relay.retry_budget import INITIAL_RETRIES
from redwingscale_standins.engine.generation import answer_text

from .conftest import UNIT, engine_member, new_request, text_of

STREAMS = 210
TOKENS = 40


def test_no_answer_shows_that_an_engine_was_killed(start_processes, make_relay):
    """Callers read 210 streams while one of three engines is killed (kill -9).

    Each answer must be byte for byte the undisturbed one: the broken third is
    continued elsewhere from the text that its caller already has.
    """
    engines = start_processes(3)
    relay = make_relay([e.member for e in engines.values()])
    begun = threading.Semaphore(0)

    def ask(number: int) -> str:
        events = relay.run(new_request(f"lot {number}", TOKENS), INVALID_SPAN)
        begun.release()
        return text_of(events)

    with ThreadPoolExecutor(STREAMS) as pool:
        answers = pool.map(ask, range(STREAMS))
        for _ in range(STREAMS // 2):
            assert begun.acquire(timeout=60.0)
        engines["engine-0"].process.signal(signal.SIGKILL)
        assert list(answers) == [answer_text(str(UNIT), f"lot {n}", TOKENS) for n in range(STREAMS)]


def test_attempts_stay_near_the_requests_when_every_engine_fails(start_engines, make_relay):
    """Every engine cuts every stream before its first token, for 200 requests.

    Callers are refused; the engines must not meet a multiple of the load.
    """
    engines = start_engines(3, truncate_after_tokens=0)
    relay = make_relay([e.member for e in engines])

    for number in range(200):
        with pytest.raises(Refusal):
            relay.run(new_request(f"lot {number}", 5), INVALID_SPAN)

    streams = [e.engine.streams for e in engines]
    assert 200 < sum(s.started + s.resumed for s in streams) <= 200 + INITIAL_RETRIES < 240


def test_request_that_may_not_run_twice_is_not_started_again(start_engines, make_relay):
    """A register entry's first engine fails it after it may have acted.

    The caller is told that the run is unknown; a second engine stands ready,
    but must not run it.
    """
    engines = start_engines(2, truncate_after_tokens=0)
    relay = make_relay([e.member for e in engines])

    with pytest.raises(Refusal) as caught:
        relay.run(new_request("entry", 5, idempotent=False), INVALID_SPAN)

    assert caught.value.run is RunState.UNKNOWN
    assert sum(e.engine.streams.started for e in engines) == 1


@pytest.mark.parametrize("idempotent", [True, False])
def test_request_that_was_surely_not_run_is_retried(start_engines, make_relay, idempotent):
    """One engine refuses, another's port is closed: neither has run anything."""
    engines = start_engines(2)
    engines[0].engine.faults.update({"refuse": True})
    closed = engine_member(9, "alder", 1)
    relay = make_relay([closed, *(e.member for e in engines)])

    for number in range(5):
        request = new_request(f"lot {number}", 5, idempotent=idempotent)
        text = text_of(relay.run(request, INVALID_SPAN))
        assert text == answer_text(str(UNIT), f"lot {number}", 5)


def test_engine_is_told_when_the_caller_goes_away(start_engines, make_relay):
    """A caller hangs up after three tokens; the engine's work is cancelled."""
    engines = start_engines(1)
    relay = make_relay([engines[0].member])
    events = relay.run(new_request("lot 1", 10_000), INVALID_SPAN)

    assert len(list(islice(events, 3))) == 3
    events.close()

    assert engines[0].engine.streams.cancelled == 1


def test_work_that_may_not_run_twice_is_let_finish(start_engines, make_relay):
    """A caller hangs up while its register entry is written; the entry is finished."""
    engines = start_engines(1)
    relay = make_relay([engines[0].member])
    events = relay.run(new_request("entry", 200, idempotent=False), INVALID_SPAN)
    next(events)

    events.close()
    for thread in threading.enumerate():
        if thread.name == "drain":
            thread.join(timeout=30.0)

    assert engines[0].engine.streams.cancelled == 0
    assert engines[0].engine.streams.finished == 1
