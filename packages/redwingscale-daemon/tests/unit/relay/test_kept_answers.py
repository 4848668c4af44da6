"""Answers that may not be repeated are kept while their engine is silent."""

import signal
import threading
import time
from dataclasses import replace
from itertools import chain, islice

import pytest
from opentelemetry.trace import INVALID_SPAN
from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.relay.generation import GenerationRelay
from redwingscale_daemon._internal.relay.silence import SilenceBounds
from redwingscale_standins.engine.generation import answer_text
from redwingscale_standins.silent_relay import SilentRelay

from .conftest import UNIT, new_request, text_of

TOKENS = 2000
FIRST_TOKENS = 100
# More than one silence and one probe without an answer take.
CUT_SECONDS = 4.0
# A probe that began before the deadline ends so much later.
PROBE_SECONDS = 2.5
SHORT_SILENCE = SilenceBounds(0.1, 0.2)
# More silences than an answer that may be repeated is resumed after.
SILENT_SECONDS = 2.0


@pytest.fixture
def short_relay(make_relay):
    """Return a function that builds a relay which waits for short silences only."""

    def make(members):
        parts = make_relay(members)._parts
        return GenerationRelay(parts._replace(silence=SHORT_SILENCE))

    return make


@pytest.fixture
def middlebox(start_engines):
    """An engine behind a path that can be cut; returns both and the member to use."""
    [running] = start_engines(1)
    relay = SilentRelay(int(running.member.url.rpartition(":")[2]))
    yield running.engine, replace(running.member, url=relay.url.replace("tcp", "http")), relay
    relay.close()


@pytest.fixture
def begun(middlebox, short_relay):
    """Return a function that begins an answer and cuts the path in the middle of it."""
    _, member, relay = middlebox

    def begin(**changes):
        request = new_request("entry", TOKENS, idempotent=False, **changes)
        events = short_relay([member]).run(request, INVALID_SPAN)
        first = list(islice(events, FIRST_TOKENS))
        relay.cut()
        return chain(first, events)

    return begin


def test_answer_outlasts_the_loss_of_its_engines_path(begun, middlebox):
    """Guards against an answer that is cut after one probe although its run goes on."""
    engine, _, relay = middlebox
    events = begun()
    healed = threading.Timer(CUT_SECONDS, relay.heal)
    healed.start()
    assert text_of(events) == answer_text(str(UNIT), "entry", TOKENS)
    assert engine.streams.started == 1
    healed.join()


def test_answer_outlasts_many_silences_of_its_engine(start_engines, short_relay):
    """Guards against an answer that is cut since its engine pauses longer than some resumes."""
    [running] = start_engines(1, silent_after_tokens=FIRST_TOKENS)
    faults = running.engine.faults
    request = new_request("entry", TOKENS, idempotent=False)
    events = short_relay([running.member]).run(request, INVALID_SPAN)
    first = list(islice(events, FIRST_TOKENS))
    time.sleep(SHORT_SILENCE.min_seconds / 2)
    # The run is silent by now. Each run that is resumed stays so from its begin.
    faults.silent_after_tokens = 0
    goes_on = threading.Timer(SILENT_SECONDS, faults.update, [{"silent_after_tokens": -1}])
    goes_on.start()
    assert text_of(chain(first, events)) == answer_text(str(UNIT), "entry", TOKENS)
    assert running.engine.streams.started == 1
    goes_on.join()


def test_answer_of_an_unreachable_engine_ends_at_its_deadline(begun):
    """Guards against an answer that is given up early, and against one that is kept for ever."""
    deadline_at = time.monotonic() + CUT_SECONDS
    events = begun(deadline_at=deadline_at)
    with pytest.raises(Refusal) as caught:
        list(events)
    assert 0 <= time.monotonic() - deadline_at < PROBE_SECONDS
    assert caught.value.run is RunState.UNKNOWN


def test_answer_of_an_engine_that_ended_is_given_up_at_once(start_processes, short_relay):
    """Guards against a caller that waits for an answer which nobody can finish."""
    [running] = start_processes(1).values()
    request = new_request("entry", 10_000, idempotent=False)
    events = short_relay([running.member]).run(request, INVALID_SPAN)
    next(events)
    running.process.signal(signal.SIGKILL)
    begun_at = time.monotonic()
    with pytest.raises(Refusal):
        list(events)
    assert time.monotonic() - begun_at < PROBE_SECONDS


def test_work_goes_on_when_its_caller_leaves_an_unreachable_engine(begun, middlebox):
    """Guards against work that may not be repeated and is given up with its caller."""
    engine, _, relay = middlebox
    events = begun()
    # Closes the events of the relay, as the server does for a caller that has left.
    next(events)
    threading.Timer(CUT_SECONDS, relay.heal).start()
    del events
    for thread in threading.enumerate():
        if thread.name == "drain":
            thread.join(timeout=30.0)
    # A thread without processor time takes short silences for further ones and resumes again.
    assert engine.streams.resumed >= 1
    assert (engine.streams.started, engine.streams.cancelled) == (1, 0)
