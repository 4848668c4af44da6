"""Who is issued permits."""

import pytest
from redwingscale_daemon._internal.fleet.rate_limit_messages import RateLimitEntry
from redwingscale_daemon._internal.swaps.permit_issuer import (
    HANDOVER_PAUSE_SECONDS,
    INITIAL_LEVEL_PERMITS,
    PermitIssuer,
)

U = "u"
# At a rate of one a second.
FIRST_PERMIT_SECONDS = HANDOVER_PAUSE_SECONDS - INITIAL_LEVEL_PERMITS + 1.0


@pytest.fixture
def clock():
    return [0.0]


@pytest.fixture
def issuer(clock):
    return PermitIssuer(lambda: {U: 1.0}, lambda key: key != "gone", lambda: clock[0])


def told(waiting=0, longest=0.0, wanted=True, per_second=1.0, age=0.0):
    return [RateLimitEntry(U, per_second, age, wanted, waiting, 0.0, longest)]


def issued(issuer):
    return {e.upstream: e.permits_by_instance for e in issuer.issue(all_limits=True)}


def test_whoever_has_waited_longest_is_issued_to_first(issuer, clock):
    # Guards against requests that time out behind later ones of a busier instance.
    issuer.receive("late", told(waiting=1, longest=0.2))
    clock[0] = FIRST_PERMIT_SECONDS
    issuer.receive("late", told(waiting=1, longest=0.2))
    issuer.receive("early", told(waiting=1, longest=1.5))
    assert issued(issuer) == {U: {"early": 1}}
    assert issued(issuer) == {U: {}}


def test_what_nobody_waits_for_is_issued_to_find_out_the_end(issuer, clock):
    # Guards against a limit whose end nobody finds out, and against a bucket that is
    # empty when a request has no other upstream.
    issuer.receive("one", told())
    clock[0] = FIRST_PERMIT_SECONDS
    issuer.receive("one", told())
    assert issued(issuer) == {U: {}}
    clock[0] += 1.0
    issuer.receive("one", told())
    assert issued(issuer) == {U: {"one": 1}}


def test_nothing_is_issued_while_another_order_giver_may_have_issued(issuer, clock):
    # Guards against two order givers that issue the same permits at the change.
    issuer.begin()
    issuer.receive("one", told(waiting=3))
    clock[0] = HANDOVER_PAUSE_SECONDS
    issuer.receive("one", told(waiting=3))
    assert issued(issuer) == {U: {}}


def test_calls_of_the_order_giver_draw_from_the_same_bucket(issuer, clock):
    # Guards against orders and reports beside the requests that use up a limit.
    assert not issuer.draw(U)
    issuer.receive("one", told(waiting=1))
    clock[0] = FIRST_PERMIT_SECONDS
    assert issuer.draw(U)
    issuer.receive("one", told(waiting=1))
    assert issued(issuer) == {U: {}}
    assert issuer.draw("another")


def test_newest_observation_counts(issuer, clock):
    # Guards against an instance that still tells of a limit that another has seen end.
    issuer.receive("one", told(age=2.0))
    issuer.receive("two", told(per_second=None, age=0.1))
    issuer.receive("one", told(age=2.2))
    assert [e.per_second for e in issuer.issue(all_limits=True)] == [None]
    assert issuer.draw(U)


def test_nothing_is_issued_of_an_upstream_that_has_left(issuer):
    # Guards against an order giver that tells of upstreams that are gone.
    issuer.receive("one", [RateLimitEntry("gone", 1.0, 0.0, True, 1, 0.0)])
    assert issued(issuer) == {}
