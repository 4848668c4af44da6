"""Which instances are issued permits."""

import pytest
from redwingscale_daemon._internal.fleet.rate_limit_messages import RateLimitEntry
from redwingscale_daemon._internal.swaps.permit_issuer import (
    HANDOVER_PAUSE_SECONDS,
    INITIAL_LEVEL_PERMITS,
    PermitIssuer,
)

U = "u"
# When the first permit is available at a limit of one a second.
FIRST_PERMIT_SECONDS = HANDOVER_PAUSE_SECONDS - INITIAL_LEVEL_PERMITS + 1.0


@pytest.fixture
def clock():
    return [0.0]


@pytest.fixture
def issuer(clock):
    return PermitIssuer(lambda: {U: 1.0}, lambda key: key != "gone", lambda: clock[0])


def entries(waiting=0, longest=0.0, wanted=True, per_second=1.0, age=0.0):
    return [RateLimitEntry(U, per_second, age, wanted, waiting, 0.0, longest)]


def issued(issuer):
    return {entry.upstream: entry.permits_by_instance for entry in issuer.issue(all_limits=True)}


def test_instance_with_the_longest_wait_is_issued_permits_first(issuer, clock):
    # Guards against requests that time out behind later ones of a busier instance.
    issuer.receive("late", entries(waiting=1, longest=0.2))
    clock[0] = FIRST_PERMIT_SECONDS
    issuer.receive("late", entries(waiting=1, longest=0.2))
    issuer.receive("early", entries(waiting=1, longest=1.5))
    assert issued(issuer) == {U: {"early": 1}}
    assert issued(issuer) == {U: {}}


def test_permits_without_waiting_requests_are_issued_to_detect_the_end_of_a_limit(issuer, clock):
    # Guards against a limit whose end no instance detects, and against a bucket that is empty
    # when a request has no other upstream.
    issuer.receive("one", entries())
    clock[0] = FIRST_PERMIT_SECONDS
    issuer.receive("one", entries())
    assert issued(issuer) == {U: {}}
    clock[0] += 1.0
    issuer.receive("one", entries())
    assert issued(issuer) == {U: {"one": 1}}


def test_no_permits_are_issued_during_the_handover_pause(issuer, clock):
    # Guards against two leaders that issue the same permits during a handover.
    issuer.begin()
    issuer.receive("one", entries(waiting=3))
    clock[0] = HANDOVER_PAUSE_SECONDS
    issuer.receive("one", entries(waiting=3))
    assert issued(issuer) == {U: {}}


def test_calls_of_the_leader_draw_from_the_same_bucket(issuer, clock):
    # Guards against orders and reports that exceed a limit in addition to the requests.
    assert not issuer.draw(U)
    issuer.receive("one", entries(waiting=1))
    clock[0] = FIRST_PERMIT_SECONDS
    assert issuer.draw(U)
    issuer.receive("one", entries(waiting=1))
    assert issued(issuer) == {U: {}}
    assert issuer.draw("another")


def test_latest_observation_counts(issuer, clock):
    # Guards against an instance that still sends a limit which another one has seen end.
    issuer.receive("one", entries(age=2.0))
    issuer.receive("two", entries(per_second=None, age=0.1))
    issuer.receive("one", entries(age=2.2))
    assert [entry.per_second for entry in issuer.issue(all_limits=True)] == [None]
    assert issuer.draw(U)


def test_no_permits_are_issued_for_an_upstream_that_is_gone(issuer):
    # Guards against a leader that announces limits of upstreams that are gone.
    issuer.receive("one", [RateLimitEntry("gone", 1.0, 0.0, True, 1, 0.0)])
    assert issued(issuer) == {}
