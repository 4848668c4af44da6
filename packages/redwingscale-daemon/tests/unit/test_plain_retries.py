"""Calls to plain services are retried only if that cannot run them twice."""

import time

import pytest
from opentelemetry import trace
from redwingscale_daemon._internal.exceptions import Refusal, UpstreamError
from redwingscale_daemon._internal.models.member import PlainMember
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.relay.plain import PlainRelay, PlainRequest
from redwingscale_daemon._internal.relay.retry_budget import RetryBudget
from redwingscale_daemon._internal.telemetry.metrics import Metrics
from redwingscale_daemon._internal.telemetry.tracing import Tracing
from redwingscale_daemon._internal.upstreams.in_flight import InFlight
from redwingscale_daemon._internal.upstreams.plain_client import PlainAnswer

NAMES = ("p1", "p2", "p3")
REQUESTS = 300


class Upstreams:
    """Three upstreams; ``ends`` lists how attempts end, the last entry for all further ones."""

    def __init__(self, *ends):
        self.tried = []
        self._ends = list(ends)

    def choose_plain(self, service, excluded):
        free = [n for n in NAMES if n not in excluded]
        return PlainMember(free[0], "a", False, "", service) if free else None

    def call(self, member, call, timeout_seconds):
        self.tried.append(member.id)
        end = self._ends.pop(0) if len(self._ends) > 1 else self._ends[0]
        if isinstance(end, RunState):
            raise UpstreamError(member.id, "broken", run=end)
        return end


@pytest.fixture(scope="module")
def metrics():
    value = Metrics("")
    yield value
    value.close()


class NoStates:
    def leaving(self, service):
        return []


@pytest.fixture
def send(metrics):
    budget = RetryBudget()

    def run(upstreams, *, idempotent):
        relay = PlainRelay(
            upstreams, upstreams, InFlight(), NoStates(), None, budget, Tracing("t", ""), metrics
        )
        request = PlainRequest(
            "r", "c", "s", "POST", "/x", {}, b"", idempotent, "", time.monotonic() + 60
        )
        return relay.run(request, trace.INVALID_SPAN)

    return run


ANSWER = PlainAnswer(200, "text/plain", b"done")


def test_refused_connection_is_retried_at_another_upstream(send):
    upstreams = Upstreams(RunState.NOT_RUN, ANSWER)
    assert send(upstreams, idempotent=False) == ANSWER
    assert upstreams.tried == ["p1", "p2"]


def test_call_that_may_have_run_is_sent_once(send):
    """The answer broke off after the service may have run the call: neither a retry nor a
    caller that is told to retry may run it twice."""
    upstreams = Upstreams(RunState.UNKNOWN, ANSWER)
    with pytest.raises(Refusal) as caught:
        send(upstreams, idempotent=False)
    assert (caught.value.run, caught.value.retry_after_seconds) == ("unknown", None)
    assert upstreams.tried == ["p1"]


def test_failed_connection_after_an_unknown_outcome_stays_unknown(send):
    """The first upstream may have run the call and the others were not reached: the refusal
    must not be based on the last failure alone, which says `not_run`."""
    with pytest.raises(Refusal) as caught:
        send(Upstreams(RunState.UNKNOWN, RunState.NOT_RUN), idempotent=True)
    assert caught.value.run == "unknown"


def test_retries_stop_when_every_upstream_fails(send):
    upstreams = Upstreams(RunState.NOT_RUN)
    for _ in range(REQUESTS):
        with pytest.raises(Refusal):
            send(upstreams, idempotent=True)
    assert len(upstreams.tried) <= 1.2 * REQUESTS
