"""Repeats that arrive at all workers of a service, from all instances together."""

import pytest
from redwingscale_standins.repeats.faults import FailedRequests, Kills, Replacements
from redwingscale_standins.repeats.play import Play, play

REPLACEMENTS = Replacements(0.5, 2.0)


def test_workers_replaced_at_their_address_receive_no_repeats_beyond_the_budget(tmp_path):
    """Guards against requests that each instance repeats for each worker that was replaced."""
    plan = Play(REPLACEMENTS)
    result = play(plan, tmp_path)
    assert result.window.excess <= 0
    replaced = plan.seconds / REPLACEMENTS.every_seconds
    assert result.elsewhere < 2 * replaced < plan.instances * replaced


@pytest.mark.parametrize(
    "plan",
    [
        Play(REPLACEMENTS, same_body=True),
        Play(FailedRequests(reset=True), Kills(1.5)),
    ],
    ids=["same-body", "killed-instances"],
)
def test_failing_workers_receive_no_repeats_beyond_the_budget(tmp_path, plan):
    """Guards against instances whose repeats add up to more than the budget of all."""
    assert play(plan, tmp_path).window.excess <= 0
