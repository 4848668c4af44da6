"""Seeds of the fault soak: real instances, faults from outside, promises checked throughout."""

import pytest
from redwingscale_standins.soak.soak import play

SECONDS = 5.0
INSTANCES = 3


# One of planned work only, where nothing may be cut, and two of all faults.
@pytest.mark.parametrize("seed", [1, 2, 4])
def test_no_promise_is_broken(seed, tmp_path):
    outcome = play(seed, SECONDS, INSTANCES, tmp_path)
    assert outcome.findings == []
    assert outcome.answered > outcome.requests / 2
