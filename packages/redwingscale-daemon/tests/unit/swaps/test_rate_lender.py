"""Who is lent what an upstream in need takes."""

import pytest
from redwingscale_daemon._internal.fleet.rate_messages import RateEntry
from redwingscale_daemon._internal.swaps.rate_lender import FIRST_LEVEL, QUIET_SECONDS, RateLender

U = "u"
# At a rate of one a second.
FIRST_SENDING_SECONDS = QUIET_SECONDS - FIRST_LEVEL + 1.0


@pytest.fixture
def clock():
    return [0.0]


@pytest.fixture
def lender(clock):
    return RateLender(lambda: {U: 1.0}, lambda key: key != "gone", lambda: clock[0])


def told(waiting=0, longest=0.0, wanted=True, per_second=1.0, age=0.0):
    return [RateEntry(U, per_second, age, wanted, waiting, 0.0, longest)]


def lent(lender):
    return {e.upstream: e.sendings_by_instance for e in lender.lend(all_rates=True)}


def test_whoever_has_waited_longest_is_lent_to_first(lender, clock):
    # Guards against requests that time out behind later ones of a busier instance.
    lender.heard("late", told(waiting=1, longest=0.2))
    clock[0] = FIRST_SENDING_SECONDS
    lender.heard("late", told(waiting=1, longest=0.2))
    lender.heard("early", told(waiting=1, longest=1.5))
    assert lent(lender) == {U: {"early": 1}}
    assert lent(lender) == {U: {}}


def test_what_nobody_waits_for_is_lent_to_find_out_the_end(lender, clock):
    # Guards against a need whose end nobody finds out, and against a bucket that is
    # empty when a request has no other upstream.
    lender.heard("one", told())
    clock[0] = FIRST_SENDING_SECONDS
    lender.heard("one", told())
    assert lent(lender) == {U: {}}
    clock[0] += 1.0
    lender.heard("one", told())
    assert lent(lender) == {U: {"one": 1}}


def test_nothing_is_lent_while_another_order_giver_may_have_lent(lender, clock):
    # Guards against two order givers that lend the same rate at the change.
    lender.begin()
    lender.heard("one", told(waiting=3))
    clock[0] = QUIET_SECONDS
    lender.heard("one", told(waiting=3))
    assert lent(lender) == {U: {}}


def test_calls_of_the_order_giver_draw_from_the_same_bucket(lender, clock):
    # Guards against orders and reports beside the requests that use up a rate.
    assert not lender.draw(U)
    lender.heard("one", told(waiting=1))
    clock[0] = FIRST_SENDING_SECONDS
    assert lender.draw(U)
    lender.heard("one", told(waiting=1))
    assert lent(lender) == {U: {}}
    assert lender.draw("another")


def test_newest_observation_counts(lender, clock):
    # Guards against an instance that still tells of a need that another has seen end.
    lender.heard("one", told(age=2.0))
    lender.heard("two", told(per_second=None, age=0.1))
    lender.heard("one", told(age=2.2))
    assert [e.per_second for e in lender.lend(all_rates=True)] == [None]
    assert lender.draw(U)


def test_nothing_is_lent_of_an_upstream_that_has_left(lender):
    # Guards against an order giver that tells of upstreams that are gone.
    lender.heard("one", [RateEntry("gone", 1.0, 0.0, True, 1, 0.0)])
    assert lent(lender) == {}
