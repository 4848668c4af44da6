"""Streams beside workers of two software versions, judged by what callers hold."""

import pytest
from redwingscale_standins.versions.caller import Habits
from redwingscale_standins.versions.faults import (
    CutPaths,
    Kills,
    Resets,
    RollingUpdate,
    RowLoss,
    Silences,
    VersionForgotten,
    VersionGone,
    WorkerEnds,
)
from redwingscale_standins.versions.play import Play, play
from redwingscale_standins.versions.world import FIRST, OTHER

# Allowed over a whole run, and the part of the streams taken up that has to go on.
MOST_MIXED = 2
LEAST_WENT_ON = 0.9
# The same where the last begins are lost with all instances.
LEAST_KNOWN = 0.5
ONE_VERSION = (FIRST,) * 6
SOFTWARE = (FIRST, FIRST, FIRST, OTHER, OTHER, OTHER)
LEAVES = Habits(leave_after=6)
SECONDS = 8.0

PLAYS = {
    "callers-take-up": Play((), LEAVES, seconds=SECONDS),
    "within-an-answer": Play((Resets(),), seconds=SECONDS),
    "beside-silent-workers": Play((Silences(),), seconds=SECONDS),
    "instances-killed": Play((Kills(),), LEAVES, seconds=SECONDS),
    "workers-updated-and-back": Play(
        (RollingUpdate(0.8, back=True),), LEAVES, ONE_VERSION, seconds=SECONDS
    ),
    "list-that-lags": Play(
        (RollingUpdate(0.8, listed_late_seconds=2.0),), LEAVES, ONE_VERSION, seconds=SECONDS
    ),
}


@pytest.mark.parametrize("plan", PLAYS.values(), ids=PLAYS)
def test_streams_go_on_only_at_the_version_that_began_them(tmp_path, plan):
    """Guards against streams that hold events of two software versions."""
    result = play(plan, tmp_path)
    assert result.begun
    assert result.gaps == 0
    assert result.mixed <= MOST_MIXED, result.describe()


@pytest.mark.parametrize(
    "plan", [PLAYS["callers-take-up"], PLAYS["instances-killed"]], ids=["calm", "instances-killed"]
)
def test_streams_whose_version_serves_go_on(tmp_path, plan):
    """Guards against streams that are given up since nobody knows the version that began them."""
    result = play(plan, tmp_path)
    assert result.went_on >= LEAST_WENT_ON * result.taken_up > 0, result.describe()


def test_streams_of_a_version_that_is_gone_are_rejected_at_once(tmp_path):
    """Guards against callers that wait until their deadline for a version that is gone."""
    result = play(Play((VersionGone(3.0),), LEAVES, seconds=SECONDS), tmp_path)
    assert result.mixed <= MOST_MIXED, result.describe()
    rejected = [one for held in result.held for one in held.tries if one.status == 503]
    assert rejected
    assert max(one.seconds for one in rejected) < 1.0


@pytest.mark.parametrize("loss", RowLoss, ids=lambda loss: loss.name)
def test_streams_of_a_version_that_nobody_remembers_do_not_go_on_at_another(tmp_path, loss):
    """Guards against streams of two versions after all instances and the last writes are lost."""
    plan = Play((VersionForgotten(loss),), software=SOFTWARE, unlisted=(FIRST,), seconds=SECONDS)
    result = play(plan, tmp_path)
    assert any(one.pieces[0].software == FIRST for one in result.begun)
    assert (result.mixed, result.gaps) == (0, 0), result.describe()


def test_streams_go_on_at_the_only_version_after_all_instances_were_killed(tmp_path):
    """Guards against streams that are given up although one version alone has served."""
    plan = Play((Kills(3.0, at_once=6),), software=ONE_VERSION, seconds=SECONDS)
    result = play(plan, tmp_path)
    assert result.mixed == 0
    assert result.went_on >= LEAST_WENT_ON * result.taken_up > 0, result.describe()


def test_streams_of_both_versions_go_on_after_all_instances_were_killed(tmp_path):
    """Guards against streams that are all given up, although workers of their versions serve."""
    result = play(Play((Kills(3.0, at_once=6),), seconds=SECONDS), tmp_path)
    assert result.mixed == 0, result.describe()
    assert result.went_on >= LEAST_KNOWN * result.taken_up > 0, result.describe()


def test_streams_go_on_through_other_instances_at_their_version(tmp_path):
    """Guards against a peer that goes on with a begun stream at another version."""
    result = play(Play((CutPaths(),), LEAVES, seconds=SECONDS), tmp_path)
    assert result.mixed <= MOST_MIXED, result.describe()


def test_streams_whose_last_holder_ends_go_on_at_a_worker_that_loads_the_model(tmp_path):
    """Guards against streams that are lost since only workers of another version hold the model."""
    software = (FIRST, FIRST, OTHER, OTHER)
    plan = Play((WorkerEnds(0, 4.0),), Habits(), software, without_model=(1,), seconds=SECONDS)
    result = play(plan, tmp_path)
    assert result.mixed <= MOST_MIXED, result.describe()
    assert all(one.whole for one in result.held), result.describe()
