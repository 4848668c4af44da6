"""Streams taken up at an instance that is out of step while a new version joins."""

import pytest
from redwingscale_standins.versions.out_of_step import Way, play_out_of_step

WAYS = {
    "cut-from-instances": Way(instances=True),
    "cut-from-store": Way(store=True),
    "cut-from-both": Way(instances=True, store=True),
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
    assert across.result.went_on > 0, across.describe()
    assert (across.result.mixed, across.result.gaps) == (0, 0), across.describe()
    print(across.describe())
