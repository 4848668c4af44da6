"""What callers are told of requests that are open as the process ends."""

from types import SimpleNamespace

import pytest
from redwingscale_daemon._internal.exceptions import ProcessEnds
from redwingscale_daemon._internal.forwarding.attempts import Attempts
from redwingscale_daemon._internal.forwarding.stop_check import end_refusal
from redwingscale_daemon._internal.lifecycle.stop_rule import STOPPING
from redwingscale_daemon._internal.models.run_state import RunState

from .conftest import HOST


def nothing(attempts):
    """Not even chosen an upstream."""


def chosen(attempts):
    attempts.count = 1
    attempts.arrivals.note_attempt()


def sent(attempts):
    chosen(attempts)
    assert attempts.arrivals.take_sending()


def at_a_peer(attempts):
    attempts.note_passed_on("p0")
    attempts.arrivals.note_instance("p0")


def declined(attempts):
    at_a_peer(attempts)
    attempts.arrivals.note_declined("p0")


def taken_over(attempts):
    attempts.take_over(1, 0, ["u0"], "one")


def taken_over_after_a_loss(attempts):
    attempts.take_over(1, 1, ["u0"], "one")


@pytest.mark.parametrize(
    ("before", "status"),
    [
        (nothing, 503),
        (chosen, 503),
        (sent, 502),
        (at_a_peer, 502),
        (declined, 503),
        (taken_over, 503),
        (taken_over_after_a_loss, 502),
    ],
)
def test_request_that_is_open_at_the_end_is_promised_not_to_have_run_only_if_so(
    world, before, status
):
    """Guards against a 503 for what may run, and a 502 for what was not sent."""
    attempts = Attempts(world.routes.get().find(HOST, "/once/x"), "plain", world.budget)
    before(attempts)
    refusal = end_refusal(SimpleNamespace(attempts=attempts), ProcessEnds("ends"))
    assert (refusal.status, refusal.code) == (status, STOPPING)
    assert (refusal.run is RunState.NOT_RUN) == (status == 503)
    assert (refusal.retry_after_seconds is None) == (status == 502)
