"""The rule that plays and the soak judge repeats by."""

import pytest
from redwingscale_standins.repeats.rule import Arrival, RepeatRule, worst_window

RULE = RepeatRule(ratio=0.2, slack=2.0, window_seconds=10.0)


def arrivals(*times):
    """Return arrivals of one request at ``times``."""
    return [Arrival("r", at) for at in times]


@pytest.mark.parametrize(
    ("times", "requested_at", "repeats", "allowed"),
    [
        ([0.0], [0.0], 0, 2.0),
        ([0.0, 1.0, 2.0, 3.0], [0.0], 3, 2.2),
        # The first arrival stays the first one after it has left the window.
        ([0.0, 20.0, 21.0, 31.5], [0.0], 2, 2.0),
        # Requests of the window before count, until they have left it as well.
        ([0.0, *[16.0] * 10], [1.0] * 9 + [6.0] * 10, 10, 4.0),
        # All repeats were allowed as they came; then requests left, and the window before lacks them.
        ([0.0, *[10.0] * 4], range(1, 11), 4, 3.6),
    ],
)
def test_worst_window(times, requested_at, repeats, allowed):
    window = worst_window(arrivals(*times), requested_at, RULE)
    assert (window.repeats, window.allowed) == (repeats, pytest.approx(allowed))


def test_arrivals_of_all_workers_are_added_up():
    """Guards against a sum over one worker or one instance."""
    seen = [Arrival(f"r{number}", at) for number in range(4) for at in (0.0, 1.0)]
    assert worst_window(seen, [0.0] * 4, RULE).repeats == 4
