"""Instances whose store answers reads late while workers leave."""

import pytest
from redwingscale_standins.leaving.play import MODES, play
from redwingscale_standins.leaving.rule import BUSY_MACHINE_SECONDS, LEAVE_SECONDS

ANSWERED_FRACTION = 0.9


@pytest.mark.parametrize("mode", ["late-reads", "later-reads"])
def test_leaving_workers_receive_nothing_late_while_the_store_answers_late(tmp_path, mode):
    """Guards against requests sent to leaving workers for as long as the store answers late."""
    result = play(MODES[mode], tmp_path)
    late = [one for one in result.late if one.late_seconds > LEAVE_SECONDS + BUSY_MACHINE_SECONDS]
    assert not late
    assert result.answered >= ANSWERED_FRACTION * result.streams
