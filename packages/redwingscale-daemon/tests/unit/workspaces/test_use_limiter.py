"""How much of a workspace's limit one instance admits."""

from redwingscale_daemon._internal.workspaces.use_messages import GrantEntry
from redwingscale_daemon._internal.workspaces.workspace import UseLimit, UseUnit, Workspace

from .conftest import LIMIT, WORKSPACE

FAR_FROM_LIMIT = GrantEntry("clerks", 1000.0, 100.0, near_limit=False)


def near_limit(per_second=1000.0, offered=10_000.0):
    return GrantEntry("clerks", per_second, offered, near_limit=True)


def test_instance_may_use_the_whole_limit_far_from_it(instance, clock):
    """Guards against refusals within a limit whose requests all come to one instance."""
    admitted = 0
    for _ in range(20):
        clock.now += 0.25
        instance.limiter.receive([FAR_FROM_LIMIT])
        admitted += instance.count_admitted(100, 10)
    assert 30 <= admitted <= 61


def test_rise_before_the_next_update_is_bounded(instance):
    """Guards against a flood that begins just when the leader is lost."""
    instance.limiter.receive([FAR_FROM_LIMIT])
    assert instance.count_admitted(100, 20) == 2


def test_request_larger_than_the_level_is_admitted_and_delays_the_next(instance, clock):
    """Guards against small limits that admit nothing since each share is below one request."""
    instance.limiter.receive([FAR_FROM_LIMIT])
    assert instance.draw(5000) == 0
    clock.now += 3.9
    instance.limiter.receive([])
    assert instance.draw(10) > 0
    clock.now += 0.2
    assert instance.draw(10) == 0


def test_instance_admits_its_share_near_the_limit(instance, clock):
    """Guards against each of many instances using the whole limit."""
    instance.limiter.receive([near_limit()])
    admitted = 0
    for _ in range(200):
        clock.now += 0.1
        instance.limiter.receive([near_limit()])
        admitted += 100 * instance.count_admitted(100, 1)
    # Its demand is 1000 a second of 10,000 in all: a tenth of the limit, for 20 s.
    assert 1800 <= admitted <= 2500


def test_instance_without_updates_keeps_its_share(instance, clock):
    """Guards against cut-off instances that use what the other instances use too."""
    instance.limiter.receive([FAR_FROM_LIMIT])
    instance.draw(100)
    clock.now += 0.25
    instance.limiter.updates()
    instance.limiter.receive([GrantEntry("clerks", 1000.0, 500.0, near_limit=False)])
    clock.now += 5.0
    admitted = 0
    for _ in range(100):
        clock.now += 0.1
        admitted += 100 * instance.count_admitted(100, 5)
    # Its share was 110 of 500: ten seconds of the rate, and of the burst.
    assert 1000 <= admitted <= 2900


def test_restarted_instance_has_an_even_share(instance, clock):
    """Guards against a limit used many times over, or hardly at all, after all restart."""
    admitted = 0
    for _ in range(1000):
        clock.now += 0.1
        admitted += 100 * instance.count_admitted(100, 5)
    assert 9000 <= admitted <= 11_000


def test_instance_without_earlier_requests_has_a_third_of_an_even_share(instance, clock):
    instance.limiter.receive([])
    clock.now += 2
    admitted = 0
    for _ in range(1000):
        clock.now += 0.1
        admitted += 100 * instance.count_admitted(100, 5)
    assert 2400 <= admitted <= 3700


def test_lowered_limit_applies_at_once(instance, clock):
    instance.limiter.receive([FAR_FROM_LIMIT])
    instance.draw(100)
    lowered = Workspace("clerks", 1, LIMIT._replace(per_second=10.0, burst=10.0))
    clock.now += 0.1
    assert instance.draw(100, lowered) == 0
    assert instance.draw(100, lowered) > 0


def test_refunded_units_are_available_to_the_next_request(instance):
    """Guards against requests that use up the limit without having run."""
    instance.limiter.receive([FAR_FROM_LIMIT])
    drawn = instance.limiter.draw(WORKSPACE, 5000).units
    assert instance.draw(10) > 0
    instance.limiter.refund(WORKSPACE, drawn)
    assert instance.draw(10) == 0


def test_refused_callers_get_successive_retry_times(instance):
    """Guards against all refused callers retrying for the same units."""
    instance.limiter.receive([FAR_FROM_LIMIT])
    instance.draw(2000)
    retry_after = [instance.draw(500) for _ in range(4)]
    assert [round(seconds, 2) for seconds in retry_after] == [1.0, 1.5, 2.0, 2.5]


def test_each_request_counts_one_where_requests_are_limited(instance):
    calls = Workspace("calls", 1, UseLimit(UseUnit.REQUESTS, 2.0, 2.0))
    instance.limiter.receive([])
    assert [instance.draw(9000, calls) == 0 for _ in range(4)] == [True, True, False, False]


def test_all_requests_are_admitted_without_a_limit(instance):
    free = Workspace("free", 1, None)
    assert all(instance.draw(10**9, free) == 0 for _ in range(100))
    assert instance.limiter.updates() == []


def test_use_is_announced_only_after_it_changed(instance, clock):
    instance.limiter.receive([FAR_FROM_LIMIT])
    instance.draw(300)
    (entry,) = instance.limiter.updates()
    assert (entry.workspace, entry.used) == ("clerks", 300)
    clock.now += 30
    instance.limiter.updates()
    assert instance.limiter.updates() == []
