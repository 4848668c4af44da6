"""Digests that owners publish, and plans that they read."""

from redwingscale_daemon._internal.exceptions import PlatformUnavailable
from redwingscale_daemon._internal.models.report import Digest, ResidentUnit
from redwingscale_daemon._internal.placement.digest_filter import REFRESH_SECONDS, DigestFilter
from redwingscale_daemon._internal.placement.plan import Plan
from redwingscale_daemon._internal.placement.plan_follower import PlanFollower
from redwingscale_standins.histories.clock import FakeClock

DIGEST = Digest("e1", 1, False, 10, (ResidentUnit("m@v1", 1, True),), 4, 0, 16)


def test_significant_changes_are_published_at_once_and_others_at_the_refresh():
    clock = FakeClock()
    digest_filter = DigestFilter(clock.read)

    admitted = [
        digest_filter.admit(DIGEST),
        digest_filter.admit(DIGEST),
        digest_filter.admit(DIGEST._replace(running=5)),
        digest_filter.admit(DIGEST._replace(running=6)),
        digest_filter.admit(DIGEST._replace(running=6, leaving=True)),
        digest_filter.admit(DIGEST._replace(running=6, leaving=True)),
    ]
    clock.advance(REFRESH_SECONDS)

    assert admitted == [True, False, False, True, True, False]
    assert digest_filter.admit(DIGEST._replace(running=6, leaving=True))


class CountingStore:
    """A plan store whose reads fail after the first one."""

    def __init__(self):
        self.reads = 0

    def read(self):
        self.reads += 1
        if self.reads > 1:
            raise PlatformUnavailable("down")
        return Plan(1, 1, {})


def test_plan_is_read_once_a_second_and_kept_through_an_outage():
    """Guards against a read per owner and step, and against owners without a plan.

    Every owner of an instance reads the plan at each step; then the table is down. The
    owners continue with the last plan.
    """
    clock, store = FakeClock(), CountingStore()
    follower = PlanFollower(store, clock.read)

    plans = [follower.latest() for _ in range(10)]
    clock.advance(1.0)
    plans += [follower.latest() for _ in range(10)]

    assert plans == [Plan(1, 1, {})] * 20
    assert store.reads == 2
