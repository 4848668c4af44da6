"""What owners tell of an engine, and what they read."""

from redwingscale_daemon._internal.exceptions import PlatformUnavailable
from redwingscale_daemon._internal.models.report import Digest, ResidentUnit
from redwingscale_daemon._internal.placement.digest_filter import REFRESH_SECONDS, DigestFilter
from redwingscale_daemon._internal.placement.plan import Plan
from redwingscale_daemon._internal.placement.plan_follower import PlanFollower
from redwingscale_standins.histories.clock import FakeClock

DIGEST = Digest("e1", 1, False, 10, (ResidentUnit("m@v1", 1, True),), 4, 0, 16)


def test_what_decides_is_told_at_once_and_the_rest_at_the_refresh():
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
    """A plan store that fails from its second read on."""

    def __init__(self):
        self.reads = 0

    def read(self):
        self.reads += 1
        if self.reads > 1:
            raise PlatformUnavailable("down")
        return Plan(1, 1, {})


def test_owners_read_once_a_second_and_keep_the_plan_through_an_outage():
    """
    Every owner of an instance asks for the plan at each step; then the table
    goes down. The owners go on with the plan that they have.
    """
    clock, store = FakeClock(), CountingStore()
    follower = PlanFollower(store, clock.read)

    plans = [follower.latest() for _ in range(10)]
    clock.advance(1.0)
    plans += [follower.latest() for _ in range(10)]

    assert plans == [Plan(1, 1, {})] * 20
    assert store.reads == 2
