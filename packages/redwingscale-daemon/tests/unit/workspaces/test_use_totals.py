"""What the leader grants of each workspace's limit."""

from itertools import pairwise

import pytest
from redwingscale_daemon._internal.workspaces.use_messages import DrawnEntry
from redwingscale_daemon._internal.workspaces.use_totals import UseTotals

from .conftest import LIMIT

LIMITS = {"clerks": LIMIT}


def drawn(used, offered=500.0):
    return [DrawnEntry("clerks", offered, used)]


@pytest.fixture
def totals(clock):
    return UseTotals(clock=clock)


def grant(totals):
    granted = totals.grants(LIMITS)
    return granted[0] if granted else None


def play(totals, clock, per_second, seconds, instances=("i1",)):
    """Return the grants while each instance uses ``per_second``."""
    granted = []
    for step in range(int(seconds * 4)):
        clock.now += 0.25
        for one in instances:
            totals.receive(one, drawn(per_second * step / 4, per_second))
        granted.append(grant(totals))
    return [one for one in granted if one]


def test_nothing_is_granted_before_all_instances_sent_updates(totals, clock):
    """Guards against updates by which a limit under a flood seems to be far from reached."""
    totals.receive("i1", drawn(0))
    clock.now += 0.3
    assert totals.grants(LIMITS) is None


def test_use_below_the_limit_is_not_near_it(totals, clock):
    assert not play(totals, clock, 500.0, 20)[-1].near_limit


def test_use_beyond_the_limit_is_near_it_and_recovered(totals, clock):
    play(totals, clock, 500.0, 10)
    granted = play(totals, clock, 6000.0, 2)
    assert granted[-1].near_limit
    assert granted[-1].per_second == 0


def test_grant_has_the_demand_of_all_instances(totals, clock):
    granted = play(totals, clock, 1500.0, 5, ("i1", "i2", "i3"))
    assert granted[-1].offered == 4500.0


def test_total_that_falls_is_counted_as_a_restart(totals, clock):
    """Guards against a restart that refunds what the workspace has used."""
    play(totals, clock, 500.0, 10)
    before = totals.left("clerks")
    totals.receive("i1", drawn(300))
    assert totals.left("clerks") == before - 300


def test_share_of_a_silent_instance_is_reserved(totals, clock):
    """Guards against a limit that is used twice while a failure domain is cut off."""
    play(totals, clock, 2000.0, 4, ("i1", "i2"))
    granted = play(totals, clock, 2000.0, 4, ("i1",))
    assert granted[-1].per_second <= 600


def test_new_leader_reserves_the_shares_of_unseen_instances(totals, clock):
    """Guards against a limit used twice while a failure domain is cut off with the leader."""
    totals.begin(4)
    granted = play(totals, clock, 900.0, 4, ("i1", "i2", "i3"))
    assert max(one.per_second for one in granted) <= 750
    assert play(totals, clock, 100.0, 30, ("i1", "i2", "i3"))[-1].per_second == 2000


def test_share_of_a_removed_instance_is_released(totals, clock):
    play(totals, clock, 450.0, 4, ("i1", "i2"))
    assert play(totals, clock, 450.0, 5, ("i1",))[-1].per_second <= 1500
    assert play(totals, clock, 450.0, 15, ("i1",))[-1].per_second == 2000


def test_grants_far_from_the_limit_are_sent_less_often(totals, clock):
    """Guards against updates that grow with instances times workspaces."""
    play(totals, clock, 300.0, 10)
    sent = [bool(play(totals, clock, 300.0, 0.25)) for _ in range(40)]
    at = [index for index, was_sent in enumerate(sent) if was_sent]
    assert all(later - earlier >= 4 for earlier, later in pairwise(at))
