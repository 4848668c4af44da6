"""Streams taken up at an instance that is out of step while a new version joins."""

import pytest
from redwingscale_standins.versions.out_of_step import Way, play_out_of_step

# The users' rules ask for half; every stream is taken up at the instance first.
LEAST_WENT_ON = 0.5
WAYS = {
    "cut-from-instances": Way(instances=True),
    "cut-from-store": Way(store=True),
    "cut-from-both": Way(instances=True, store=True),
    "leader-cut-from-both": Way(instances=True, store=True, leader=True),
    "datagrams-lost": Way(lost=1.0),
    "half-of-the-datagrams-lost": Way(lost=0.5),
    "stopped-without-datagrams": Way(lost=1.0, stopped=True),
    "cut-from-both-and-a-worker-ends": Way(instances=True, store=True, worker_ends=True),
    "cut-from-store-and-the-beginner-killed": Way(lost=1.0, store=True, beginner_killed=True),
    "cut-while-the-version-comes-and-goes": Way(
        instances=True, store=True, lost=1.0, leaves_again=True
    ),
}


@pytest.mark.parametrize("way", WAYS.values(), ids=WAYS)
def test_instance_out_of_step_joins_no_two_versions(tmp_path, way):
    """Guards against an instance that takes its own list for the only version there is."""
    across = play_out_of_step(way, tmp_path)
    assert across.asked > 0, across.describe()
    result = across.result
    assert result.went_on >= LEAST_WENT_ON * result.taken_up > 0, across.describe()
    assert (result.mixed, result.gaps) == (0, 0), across.describe()
    print(across.describe())
