"""Repeats that arrive at all workers of a service, from all instances together."""

from redwingscale_standins.repeats.faults import Replacements
from redwingscale_standins.repeats.play import Play, play


def test_workers_replaced_at_their_address_receive_no_repeats_beyond_the_budget(tmp_path):
    """Guards against requests that each instance repeats for each worker that was replaced."""
    assert play(Play(Replacements(0.5, 2.0)), tmp_path).window.excess <= 0
