"""Faulty streams: the caller gets its own complete answer or an error."""

import pytest
from opentelemetry.trace import INVALID_SPAN
from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_standins.engine.generation import answer_text

from .conftest import UNIT, new_request, text_of

FAULTS = {
    "another attempt's id": {"wrong_attempt": True},
    "a token twice": {"double_token": 3},
    "a token left out": {"swap_token": 3},
    "cut after tokens": {"truncate_after_tokens": 3},
    "reset": {"reset_after_tokens": 2},
    "silent after tokens": {"silent_after_tokens": 5},
    "silent before tokens": {"silent_after_tokens": 0},
}

# The stand-in answers 500 before its first token, so there is no stream to resume.
FAULTS_FROM_THE_START = FAULTS | {"cut before tokens": {"truncate_after_tokens": 0}}


@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS)
def test_faulty_stream_is_resumed_without_lost_tokens(start_engines, answer, fault):
    """An engine's first stream is faulty, and the caller still gets one complete answer.

    The relay closes the connection and resumes by position on a new one, without
    losing or repeating a token.
    """
    engines = start_engines(1, **fault, disturbances=1)
    request = new_request("lot 1", 20)
    if fault == {"silent_after_tokens": 0}:
        request = request._replace(deadline_at=request.deadline_at - 58.0)

    assert answer(engines, request) == answer_text(str(UNIT), "lot 1", 20)
    assert engines[0].engine.streams.started == 1


@pytest.mark.parametrize("fault", FAULTS_FROM_THE_START.values(), ids=FAULTS_FROM_THE_START)
def test_request_of_a_faulty_engine_is_run_on_another(start_engines, answer, fault):
    """One of two engines always fails, and the caller still gets one complete answer."""
    engines = start_engines(2)
    engines[0].engine.faults.update(fault)
    request = new_request("lot 2", 20)
    if fault == {"silent_after_tokens": 0}:
        request = request._replace(deadline_at=request.deadline_at - 57.0)

    assert answer(engines, request) == answer_text(str(UNIT), "lot 2", 20)


def test_answer_that_nothing_can_continue_ends_in_an_error(start_engines, make_relay):
    """A caller must get an error, not a short answer that looks complete.

    From the fourth token on, the only engine always sends events of another attempt,
    so resumes make no progress and no other engine can continue.
    """
    engines = start_engines(1, wrong_attempt=True)
    relay = make_relay([e.member for e in engines])

    with pytest.raises(Refusal) as caught:
        text_of(relay.run(new_request("lot 3", 20), INVALID_SPAN))

    assert caught.value.run is RunState.UNKNOWN
    assert caught.value.retry_after_seconds is not None
